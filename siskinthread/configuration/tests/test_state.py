"""Tests of selectors, and of the lookups of a state against a naive scan."""

import pytest
from hypothesis import given, settings, strategies as st

from siskinthread.configuration import (
    Account,
    digest_key,
    Host,
    Limits,
    Placement,
    Policy,
    Selector,
    Service,
    State,
)


@pytest.mark.parametrize(
    ("text", "labels", "expected"),
    [
        ("", {}, True),
        ("a=1", {"a": "1"}, True),
        ("a == 1", {"a": "2"}, False),
        ("a!=1", {}, True),
        ("a in (1, 2),b", {"a": "2", "b": ""}, True),
        ("a in (1,2),b", {"a": "2"}, False),
        ("a notin (1,2)", {"a": "3"}, True),
        ("a notin (1,2)", {}, True),
        ("!a", {"a": ""}, False),
        (" ! a , b = x ", {"b": "x"}, True),
        ("a=", {"a": ""}, True),
        ("in in (in)", {"in": "in"}, True),
    ],
)
def test_selector(text, labels, expected):
    """A selector matches labels as in Kubernetes."""
    assert Selector(text).matches(labels) is expected


@pytest.mark.parametrize(
    ("text", "place"),
    [("a=1,", 5), ("a in (1", 1), ("a=1,b in (x y)", 11), ("a=1, b ~ c", 5), (",", 1)],
)
def test_unreadable_selector_names_the_place(text, place):
    """The message gives the position of the syntax error."""
    with pytest.raises(ValueError, match=f"character {place}( |$)"):
        Selector(text)


LABELS = st.fixed_dictionaries({"z": st.sampled_from("ab"), "t": st.sampled_from("xy")})
SELECTORS = st.sampled_from(
    ["", "z=a", "z in (a,b),t!=x", "t notin (x)", "!z", "z,t=y"]
).map(Selector)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.lists(LABELS, max_size=4),
    LABELS,
    LABELS,
    st.lists(st.tuples(SELECTORS, SELECTORS), max_size=3),
    st.lists(st.tuples(SELECTORS, SELECTORS, SELECTORS, st.integers(0, 3)), max_size=3),
)
def test_allowed_hosts_agree_with_a_naive_scan(
    hosts, service, account, placements, policies
):
    """Allowed hosts are those placed for the service and allowed by any policy."""
    objects = [Host(f"h{index}", labels) for index, labels in enumerate(hosts)]
    objects += [Service("s", service, "plain"), Account("a", account, [])]
    objects += [
        Placement(f"p{index}", {}, *selectors)
        for index, selectors in enumerate(placements)
    ]
    objects += [
        Policy(f"q{index}", {}, *arguments) for index, arguments in enumerate(policies)
    ]
    placed, allowed, priorities = set(), set(), []
    for services, on_hosts in placements:
        if services.matches(service):
            placed |= {i for i, labels in enumerate(hosts) if on_hosts.matches(labels)}
    for accounts, services, on_hosts, priority in policies:
        if accounts.matches(account) and services.matches(service):
            priorities.append(priority)
            allowed |= {i for i, labels in enumerate(hosts) if on_hosts.matches(labels)}
    state = State(0, objects)
    for _ in range(2):
        assert state.service_hosts("s") == [f"h{i}" for i in sorted(placed)]
        expected = frozenset(f"h{i}" for i in placed & allowed)
        assert state.allowed_hosts("a", "s") == expected
        assert state.priority("a", "s") == min(priorities, default=None)
    assert state.allowed_hosts("none", "s") == state.allowed_hosts("a", "none") == set()


def test_strictest_limits_and_keys():
    """Each rate is the minimum over matching limits; keys map to their account."""
    limits = [
        Limits("a", {}, Selector(""), 5.0, 900.0, 2.0),
        Limits("b", {}, Selector("z=a"), 9.0, 100.0, 1.0),
        Limits("c", {}, Selector("z=b"), 1.0, 1.0, 1.0),
    ]
    account = Account("acc", {"z": "a"}, [digest_key("old"), digest_key("new")])
    service = Service("s", {}, "engine", ["m"])
    state = State(0, [*limits, account, service])
    found = state.account_limits("acc")
    rates = (found.requests_per_s, found.tokens_per_s, found.burst_s)
    assert rates == (5.0, 100.0, 1.0)
    assert state.account_for_key("old") is state.account_for_key("new") is account
    assert state.account_for_key(digest_key("old")) is None
    assert state.service_for_model("m") is service
    assert state.account_limits("none") is None
