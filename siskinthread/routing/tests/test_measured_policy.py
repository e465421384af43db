"""One short run of the comparison of routing policies with queueing targets."""

from siskinthread.measurement._routing import compare_policies, ROUTER
from siskinthread.measurement._routing_policies import offer_by_shares
from siskinthread.measurement._routing_scenario import Scenario


def test_router_beats_the_baselines_with_a_slow_target():
    """One request in a hundred waited several times as long as the rest.

    One target is four times slower, and load reports lag by up to 1.5 s.  Requests
    still went to the slow target, or accumulated where an old report showed free
    capacity.
    """
    comparison = compare_policies(Scenario(end_s=15.0), seeds=(1,))
    assert comparison.p99_ratio <= 0.8
    assert comparison.figures[ROUTER].domain_excess <= 0.2


def test_offers_follow_the_reference():
    """The baseline offers 10 targets to 2 for 90 percent of the capacity."""
    hosts = {f"a-{i}": "a" for i in range(10)} | {f"b-{i}": "b" for i in range(2)}
    offers = offer_by_shares(hosts, {"a": 0.9, "b": 0.1})
    counts = [list(offers.values()).count(domain) for domain in ("a", "b")]
    assert sum(counts) == 12
    assert counts[0] >= 9
    assert offer_by_shares({"a-0": "a", "a-1": "a"}, {"a": 1.0}) == {}
