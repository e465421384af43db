"""The router compared to a naive scorer, and with failures."""

import random

from hypothesis import given, settings, strategies

from siskinthread.routing.tests._fakes import agent, RoutingBench

DOMAINS = {"h1": "a", "h2": "a", "h3": "b", "h4": "c"}
MANY_DRAWS = 64

works = strategies.lists(
    strategies.tuples(strategies.integers(0, 20), strategies.integers(0, 3)),
    min_size=len(DOMAINS),
    max_size=len(DOMAINS),
)


def naive_loads(reported, own):
    """Return the load of every host, from own work and others' reported work."""
    others = {host: max(0, reported[host]) for host in DOMAINS}
    overall = sum(others.values()) / len(others)
    loads = {}
    for host, domain in DOMAINS.items():
        peers = [others[peer] for peer in DOMAINS if DOMAINS[peer] == domain]
        mean = overall + 0.6 * (sum(peers) / len(peers) - overall)
        work = own[host] + mean + 0.25 * (others[host] - mean)
        loads[host] = (work + 1) / 16
    return loads


@given(works, strategies.integers(0, 1000))
@settings(derandomize=True, deadline=None, max_examples=150)
def test_router_agrees_with_naive_scorer(work, seed):
    """With enough samples to include every host, the choice is the naive scorer's."""
    bench = RoutingBench(DOMAINS, random.Random(seed), choice_count=MANY_DRAWS)
    reported = dict(zip(DOMAINS, [running for running, _ in work], strict=True))
    own = dict(zip(DOMAINS, [count for _, count in work], strict=True))
    for host in DOMAINS:
        bench.report(host, reported[host])
        bench.router.choose(bench.request())
    bench.clock.advance(0.2)
    for host, count in own.items():
        for _ in range(count):
            bench.router.started(host, bench.request())
    loads = naive_loads(reported, own)
    best_own = min(loads[host] for host in ("h1", "h2"))
    best_other = min(loads[host] for host in ("h3", "h4"))
    prefers_own = best_own <= max(best_other, min(best_other + 0.2, 0.7))
    expected = best_own if prefers_own else best_other
    sides = ("h1", "h2") if prefers_own else ("h3", "h4")
    drawn = [bench.router.choose(bench.request()) for _ in range(8)]
    assert {loads[host] for host in drawn} <= {loads[host] for host in sides}
    assert min(loads[host] for host in drawn) == expected


@given(
    strategies.lists(
        strategies.sampled_from(
            ["down", "leaving", "said_leaving", "listed", "stalled"]
        ),
        max_size=4,
    ),
    strategies.sets(strategies.sampled_from(sorted(DOMAINS))),
)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_no_unusable_host_is_chosen(faults, excluded):
    """Down, leaving, stalled and excluded hosts get nothing, even with an old pool."""
    bench = RoutingBench(DOMAINS, random.Random(1))
    bench.router.choose(bench.request())
    unusable = set(excluded)
    for host, fault in zip(DOMAINS, faults, strict=False):
        unusable.add(host)
        status = bench.links.statuses[host]
        if fault == "down":
            status.connected = False
        elif fault == "leaving":
            status.leaving = True
        elif fault == "listed":
            listed = [
                agent(name, DOMAINS[name], name in unusable - excluded and name == host)
                for name in DOMAINS
            ]
            for entry in listed:
                entry.leaving = entry.leaving or bench.membership.is_leaving(entry.host)
            bench.membership.replace(listed)
        else:
            marks = {"stalled": True} if fault == "stalled" else {"leaving": True}
            bench.report(host, 0, **marks)
    for priority in (0, 2):
        host = bench.router.choose(bench.request(priority=priority), excluded)
        assert host not in unusable
        assert (host is None) == (unusable >= set(DOMAINS))


def test_own_domain_first_and_spill_beyond_the_bound():
    """Equal loads stay in the own domain; 20 percent more of its capacity spills."""
    bench = RoutingBench(DOMAINS, random.Random(1), choice_count=MANY_DRAWS)
    for host in DOMAINS:
        bench.report(host, 0)
    assert bench.send()[0] in ("h1", "h2")
    for host in ("h1", "h2"):
        for _ in range(4):
            bench.router.started(host, bench.request())
    assert bench.send()[0] in ("h3", "h4")


def test_full_own_domain_spills_at_once():
    """Near its capacity, the own domain gets nothing if another one has more room."""
    bench = RoutingBench(DOMAINS, random.Random(1), choice_count=MANY_DRAWS)
    for host, domain in DOMAINS.items():
        bench.report(host, 13 if domain == "a" else 11)
    assert bench.send()[0] in ("h3", "h4")


def test_alert_goes_to_the_shortest_queue():
    """An alert waited in a queue although another target could start it at once.

    The own domain's targets are large and full, a target elsewhere is small and has
    free capacity.  Placed by load, as a draft is, the alert went to the former.
    """
    bench = RoutingBench(DOMAINS, random.Random(1))
    for host in ("h1", "h2", "h3"):
        bench.report(host, 16, waiting=1)
    bench.report("h4", 2, capacity=2)
    assert bench.send(priority=0)[0] == "h4"
    assert bench.send()[0] != "h4"


def test_prefix_stays_while_load_is_near_the_best():
    """A prefix stays on its last target until its load exceeds the bound."""
    bench = RoutingBench(DOMAINS, random.Random(1), choice_count=MANY_DRAWS)
    for host in DOMAINS:
        bench.report(host, 0)
    first, _ = bench.send(prefix_key="p")
    assert [bench.send(prefix_key="p")[0] for _ in range(3)] == [first] * 3
    for _ in range(4):
        bench.router.started(first, bench.request())
    assert bench.send(prefix_key="p")[0] != first


def test_lagging_report_does_not_attract_a_burst():
    """A whole burst was sent to one target and queued there.

    The last report showed the target nearly idle, and a burst arrived before the next
    report.  Choices relied on the report alone, which lacks the requests sent since.
    """
    hosts = {f"h{index}": "a" for index in range(4)}
    bench = RoutingBench(hosts, random.Random(1), others_weight=1.0)
    for host in hosts:
        bench.report(host, 0 if host == "h0" else 4)
    sent = [bench.send()[0] for _ in range(20)]
    assert sent.count("h0") <= 8


def test_own_requests_in_a_report_are_not_counted_twice():
    """An entry host avoided targets because it counted its own requests twice.

    A report that included the own requests arrived, and its total was added to the own
    count.
    """
    bench = RoutingBench({"h1": "a"}, random.Random(1))
    bench.report("h1", 0)
    for _ in range(4):
        bench.send()
    bench.clock.advance(1.0)
    bench.report("h1", 6, age_ms=500)
    assert bench.router.service_load("triage-llm") == (4 + 0.2 * 2) / 16


def test_targets_without_reports_do_not_count_as_overloaded():
    """Drafts were refused as ``overloaded`` in the first second of an entry host.

    Requests were in flight before any target had reported, and the unknown capacity
    counted as one request.
    """
    bench = RoutingBench({"h1": "a", "h2": "a"}, random.Random(1))
    for _ in range(8):
        bench.send()
    assert bench.router.service_load("triage-llm") is None
    bench.report("h1", 8)
    bench.clock.advance(0.2)
    assert bench.router.service_load("triage-llm") == 0.5
