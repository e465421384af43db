"""Tests of the membership view under faults of the host list."""

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.membership import (
    follow_host_list,
    MembershipSettings,
    MembershipView,
)
from siskinthread.observability import Metrics
from siskinthread.settings import Address
from siskinthread.shared_services import HostEntry, PlatformSettings
from siskinthread.timing import ManualClock

DOMAINS = ("trondheim-a", "trondheim-b", "steinkjer")


def host_entries(agent_count=12, entry_count=6, leaving=()):
    """Return a complete host list."""
    agents = [
        HostEntry(f"agent-{i}", "agent", "127.0.0.1", 1, DOMAINS[i % 3], False)
        for i in range(agent_count)
    ]
    entries = [
        HostEntry(f"entry-{i}", "entry", "127.0.0.1", 1, DOMAINS[i % 3], False)
        for i in range(entry_count)
    ]
    for entry in agents:
        entry.leaving = entry.host in leaving
    return agents + entries


def without(hosts, listed):
    """Return a host list without the given hosts."""
    return [entry for entry in listed if entry.host not in hosts]


@pytest.fixture
def clock():
    """Return a clock that the test advances."""
    return ManualClock()


@pytest.fixture
def connected():
    """Return the set of hosts whose links are alive."""
    return set()


@pytest.fixture
def view(clock, connected):
    """Return a view of 12 agents and 6 entry hosts."""
    view = MembershipView(MembershipSettings(), clock, lambda host: host in connected)
    assert view.replace(host_entries())
    return view


def test_empty_list_removes_nobody(view):
    """Guards against refusing every request with ``no_target``.

    If an empty answer of the host list were applied, all links would be closed.
    """
    assert not view.replace([])
    assert len(view.agents()) == 12
    assert len(view.entries()) == 6


def test_empty_list_removes_no_lone_host(clock):
    """An empty list removes no host, even where a single host may always vanish."""
    view = MembershipView(MembershipSettings(), clock)
    view.replace(host_entries(agent_count=1, entry_count=0))
    assert not view.replace([])
    assert set(view.agents()) == {"agent-0"}


def test_cut_short_list_removes_nobody(view, clock, connected):
    """Guards against closing the links to running agents.

    The host list is truncated for many answers in a row.  Hosts with a live link must
    stay all that time, hosts without a link until ``shrunken_hold_s`` has passed.
    """
    connected.update(f"agent-{i}" for i in range(11))
    for _ in range(200):
        assert not view.replace(host_entries(agent_count=3))
        clock.advance(1.0)
    assert set(view.agents()) == {f"agent-{i}" for i in range(11)}
    assert not any(view.is_leaving(host) for host in view.agents())


def test_list_that_decays_step_by_step_is_not_believed(view, clock):
    """Guards against removing running agents step by step.

    Each answer lacks one more host, which is plausible for each step alone.
    """
    for count in range(11, 0, -1):
        view.replace(host_entries(agent_count=count))
        clock.advance(2.0)
    assert len(view.agents()) >= 8


def test_list_without_a_whole_failure_domain_keeps_its_hosts(view, connected):
    """A partition between the list and a failure domain removes no host of it."""
    lost = {
        entry.host for entry in host_entries() if entry.failure_domain == "steinkjer"
    }
    connected.update(lost)
    view.replace(without(lost, host_entries()))
    assert lost <= set(view.agents()) | set(view.entries())


def test_stale_list_does_not_cut_off_what_runs(view, clock, connected):
    """Guards against breaking requests in flight on a host that is being removed.

    The list drops a host whose streams still run.  The host must get no new work, but
    keep its link for the grace period.
    """
    connected.add("agent-3")
    listed = without({"agent-3"}, host_entries())
    assert view.replace(listed)
    assert "agent-3" in view.agents()
    assert view.is_leaving("agent-3")
    clock.advance(31.0)
    view.replace(listed)
    assert "agent-3" not in view.agents()


def test_dead_host_that_the_list_drops_is_removed(view):
    """A host without a live link is removed at once by a plausible list."""
    view.replace(without({"agent-3"}, host_entries()))
    assert "agent-3" not in view.agents()


def test_announced_leaving_in_any_number_is_believed(view):
    """Hosts that were listed as leaving may vanish together."""
    leaving = {f"agent-{i}" for i in range(8)}
    view.replace(host_entries(leaving=leaving))
    assert all(view.is_leaving(host) for host in leaving)
    assert view.replace(without(leaving, host_entries()))
    assert set(view.agents()) == {f"agent-{i}" for i in range(8, 12)}


def test_host_that_comes_back_is_whole_again(view, connected):
    """A host that was missing from the list and is listed again gets new work."""
    connected.add("agent-3")
    view.replace(without({"agent-3"}, host_entries()))
    view.replace(host_entries())
    assert not view.is_leaving("agent-3")


def test_entries_that_vanished_count_for_limits(view, clock):
    """Guards against exceeding an account's limit during a partition.

    The entry hosts can't see each other; each would divide the limit by the number of
    entry hosts that it sees.
    """
    gone = {f"entry-{i}" for i in range(1, 6)}
    view.replace(without(gone, host_entries()))
    clock.advance(500.0)
    view.replace(without(gone, host_entries()))
    assert view.entry_host_count() == 6


def test_entries_count_through_an_outage_of_any_length(view, clock):
    """Guards against admitting every account's whole limit on each entry host.

    The host list is down for longer than ``entry_memory_s``; present hosts would expire
    if their time ran from the last answer.
    """
    clock.advance(10_000.0)
    assert view.entry_host_count() == 6


def test_unchanged_answer_still_ends_a_grace(view, clock, connected):
    """An unchanged answer removes a kept host once its grace period has passed."""
    connected.add("agent-3")
    answer = without({"agent-3"}, host_entries())
    view.replace(answer)
    clock.advance(31.0)
    view.replace(answer)
    assert "agent-3" not in view.agents()


def test_entry_host_count_follows_in_the_end(view, clock):
    """Vanished entry hosts no longer count after ``entry_memory_s``."""
    gone = {"entry-5"}
    view.replace(without(gone, host_entries()))
    for _ in range(7):
        clock.advance(100.0)
        view.replace(without(gone, host_entries()))
    assert view.entry_host_count() == 5


def test_listeners_hear_of_changes_only(view):
    """A listener is called once for a change and not for an equal answer."""
    notified = []
    view.listen(notified.append)
    view.replace(host_entries())
    assert notified == []
    view.replace(host_entries(leaving={"agent-1"}))
    assert notified == [view]


class ScriptEndError(Exception):
    """No scripted answer is left."""


class ScriptedClient:
    """A host list client that returns given answers; None simulates an outage."""

    def __init__(self, answers):
        self._answers = iter(answers)

    async def fetch(self):
        """Return the next answer, or raise if it is an outage or none is left."""
        for answer in self._answers:
            if answer is None:
                raise PlatformUnavailableError("no answer")
            return answer
        raise ScriptEndError


def test_outage_keeps_the_last_list(clock):
    """Guards against a frozen membership or lost hosts after an outage of the list.

    The list is unavailable, answers, is unavailable, is empty, is unavailable and
    answers again.  The task must not end with an outage nor treat it as an empty list.
    """
    settings = PlatformSettings(
        log=Address("127.0.0.1", 1),
        host_list=Address("127.0.0.1", 1),
        host_list_interval_s=0.0,
    )
    view = MembershipView(MembershipSettings(), clock)
    sizes = []
    view.listen(lambda view: sizes.append(len(view.agents())))
    client = ScriptedClient(
        [None, host_entries(), None, [], None, host_entries(agent_count=13)]
    )
    with pytest.raises(ScriptEndError):
        curio.run(follow_host_list, client, view, settings, clock, Metrics())
    assert sizes == [12, 13]
