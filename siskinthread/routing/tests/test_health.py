"""Ejection of slow, stalled and failing targets."""

import random

from siskinthread.outcomes import Outcome
from siskinthread.routing.tests._fakes import agent, RoutingBench

DOMAINS = {"h1": "a", "h2": "a", "h3": "b", "h4": "c"}


def answer(bench, host, request, first_byte_s):
    """Answer an attempt."""
    bench.router.first_byte(host, request, first_byte_s)
    bench.router.ended(host, request, Outcome.ANSWERED, None)


def run_answered(bench, count, slow_hosts, slow_s=0.3):
    """Send requests one after the other; return how many each host got."""
    counts = dict.fromkeys(bench.links.statuses, 0)
    for _ in range(count):
        host, request = bench.send()
        counts[host] += 1
        answer(bench, host, request, slow_s if host in slow_hosts else 0.03)
        bench.clock.advance(0.01)
    return counts


def test_slow_target_is_avoided_and_readmitted():
    """A few requests in a hundred got their first byte ten times later than the rest.

    One of eight targets became slow, but its counts were like the others', as load
    counts don't show the speed of a target.
    """
    hosts = {f"h{index}": "a" for index in range(8)}
    bench = RoutingBench(hosts, random.Random(1))
    run_answered(bench, 400, slow_hosts={"h3"})
    slow_share = run_answered(bench, 1000, slow_hosts={"h3"})["h3"] / 1000
    assert slow_share < 0.01
    bench.clock.advance(60.0)
    run_answered(bench, 100, slow_hosts=())
    assert run_answered(bench, 400, slow_hosts=())["h3"] > 20


def test_ejections_are_bounded():
    """However many targets become slow, at most a quarter is ejected."""
    hosts = {f"h{index}": "a" for index in range(8)}
    bench = RoutingBench(hosts, random.Random(1))
    slow_hosts = {"h0", "h1", "h2"}
    run_answered(bench, 800, slow_hosts)
    counts = run_answered(bench, 400, slow_hosts)
    assert sum(1 for host in slow_hosts if counts[host] < 10) == 2


def test_busy_target_does_not_count_as_slow():
    """Under load, healthy targets were ejected and the others overloaded.

    Targets are nearly full, and half of the requests to one wait in its queue, two in a
    row.  A mean, or the last times alone, include the waiting.
    """
    hosts = {f"h{index}": "a" for index in range(16)}
    bench = RoutingBench(hosts, random.Random(1))
    counts = dict.fromkeys(hosts, 0)
    for _ in range(1600):
        for host in hosts:
            bench.report(host, 13)
        host, request = bench.send()
        counts[host] += 1
        waits = host == "h0" and counts[host] % 4 < 2
        answer(bench, host, request, 0.15 if waits else 0.03)
        bench.clock.advance(0.01)
    assert counts["h0"] > 60


def test_slow_target_with_free_capacity_is_ejected_soon():
    """Each entry host spent many requests to detect that a target is slow.

    A target with free capacity became slow.  As many slow answers were awaited as are
    needed to distinguish a slow target from a busy one.
    """
    hosts = {f"h{index}": "a" for index in range(8)}
    bench = RoutingBench(hosts, random.Random(1), review_interval_s=0.0)
    run_answered(bench, 200, slow_hosts=())
    assert run_answered(bench, 180, slow_hosts={"h3"})["h3"] == 2


class StallBench:
    """Streams of two seconds on four targets; stuck ones are given up after four.

    Both keep the counts of requests similar, so that load alone does not show the
    stalled target.
    """

    def __init__(self):
        hosts = {f"h{index}": "a" for index in range(4)}
        self._bench = RoutingBench(hosts, random.Random(1))
        self._running = []
        self.stalled_host = None

    def run(self, count):
        """Send requests, one every 10 ms; return how many the host h2 got."""
        return sum(self._step() == "h2" for _ in range(count))

    def _step(self):
        bench = self._bench
        host, request = bench.send()
        is_stuck = host == self.stalled_host
        if not is_stuck:
            bench.router.first_byte(host, request, 0.03)
        outcome = Outcome.UNKNOWN if is_stuck else Outcome.ANSWERED
        end_s = bench.clock.monotonic_s() + (4.0 if is_stuck else 2.0)
        self._running.append((end_s, host, request, outcome))
        bench.clock.advance(0.01)
        now_s = bench.clock.monotonic_s()
        for _, *ended in [run for run in self._running if run[0] <= now_s]:
            bench.router.ended(*ended, None)
        self._running = [run for run in self._running if run[0] > now_s]
        return host


def test_stalled_target_is_avoided_until_it_answers():
    """Requests kept going to a target that answered none, up to their deadlines.

    The target made no progress; its agent had not noticed, so reports and heartbeats
    continued, and the requests were given up in the end.  Nothing compared the sent
    requests with the answers, or answers from before the stall counted as recovery.
    """
    bench = StallBench()
    assert bench.run(400) > 80
    bench.stalled_host = "h2"
    bench.run(400)
    assert bench.run(1200) <= 4
    bench.stalled_host = None
    bench.run(2000)
    assert bench.run(400) > 80


def test_target_that_fails_at_once_attracts_no_requests():
    """Most requests failed although only one target was broken.

    A target that refuses each request at once has the least work, and the least loaded
    target was chosen.
    """
    hosts = {f"h{index}": "a" for index in range(4)}
    bench = RoutingBench(hosts, random.Random(1))
    failed_count = 0
    for _ in range(400):
        host, request = bench.send()
        if host == "h1":
            failed_count += 1
            bench.router.ended(host, request, Outcome.FAILED_RAN, None)
        elif len(request.request_id) % 2:
            answer(bench, host, request, 0.03)
        bench.clock.advance(0.01)
    assert failed_count < 60


def test_departed_hosts_are_forgotten():
    """The router's memory does not grow with the number of replaced hosts."""
    bench = RoutingBench(DOMAINS, random.Random(1))
    run_answered(bench, 50, slow_hosts=())
    leaving = [agent(host, domain, leaving=True) for host, domain in DOMAINS.items()]
    bench.membership.replace([*leaving, agent("h9", "a")])
    bench.membership.replace([agent("h9", "a")])
    assert not bench.router._loads._works
    assert not bench.router._service_health("triage-llm")._targets
