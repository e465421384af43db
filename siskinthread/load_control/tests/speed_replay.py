"""Simulations of targets of unequal speed, and placement methods to compare."""

import math

from siskinthread.gateway import RequestKind
from siskinthread.load_control import add_speeds
from siskinthread.load_control._placement import Preference, SpeedPlacement
from siskinthread.load_control.tests.replay import Kind, Replay, SimulatedPeers
from siskinthread.peer_news._message import add_counts

DOMAINS = ("a", "b", "c")
NEAR_S, FAR_S = 0.0002, 0.001
BEGIN_S, END_S = 4.0, 13.0


def typical(now_s, running):
    """Return the slowness of a target of typical speed."""
    return 1.0


def four_times_slower(now_s, running):
    """Return the slowness of a target that is always four times slower."""
    return 4.0


def twelve_times_slower_for_9_s(now_s, running):
    """Return the slowness of a target that is 12 times slower for 9 s."""
    return 12.0 if BEGIN_S <= now_s < END_S else 1.0


def slow_when_nearly_full(now_s, running):
    """Return the slowness of a target that is slow with its last two slots."""
    return 4.0 if running > 4 else 1.0


class SpeedReplay(Replay):
    """Hosts in three failure domains, with one target in each.

    Parameters
    ----------
    slowness : sequence of callable
        Slowness of each target as a function of the time since the start, seconds, and
        its number of running requests.
    failing : dict of int to float
        Fraction of the requests that targets fail, by target number.
    report_delay_s : float
        Time until peers receive the report of a host, seconds.
    """

    def __init__(self, slowness, failing=(), report_delay_s=0.1, **shape):
        self._slowness = dict(zip(map("i-{}".format, range(9)), slowness, strict=False))
        self._failing = {f"i-{number}": part for number, part in dict(failing).items()}
        self._report_delay_s = report_delay_s
        self.served = dict.fromkeys(self._slowness, 0)
        shape = {"slots": 6, "queue": 6, "service_s": 0.022} | shape
        super().__init__(target_count=len(slowness), domains=DOMAINS, **shape)

    def use_domain_summaries(self):
        """Let hosts receive frequent reports only from their own failure domain."""
        for host in self.hosts:
            parts = host.parts
            peers = DomainSummaryPeers(self.hosts, host, self.interval_s)
            parts.loads.peers = parts.load_control.speeds.peers = peers
            parts.accounts.peers = peers

    def use_placement(self, build):
        """Let all hosts use a placement method, built like `SpeedPlacement`."""
        for host in self.hosts:
            parts = host.parts
            speeds = parts.load_control.speeds
            speeds.placement = build(parts.settings.speeds, parts.clock, parts.random)

    def _report(self, host):
        before = host.reported, host.reported_speeds
        super()._report(host)
        reported = host.reported, host.reported_speeds
        host.reported, host.reported_speeds = before
        self.at(self.now_s() + self._report_delay_s, self._deliver, host, reported)

    def _deliver(self, host, reported):
        host.reported, host.reported_speeds = reported

    def _attempt(self, host, request, call):
        call.domain = host.domain
        call.request = request
        return super()._attempt(host, request, call)

    def _run(self, host, running, call, target):
        target.running += 1
        name = target.entry.instance_id
        slowness = self._slowness[name](self.now_s(), target.running)
        took_s = self.service_s * slowness * self.random.uniform(0.8, 1.2)
        is_failed = self.random.random() < self._failing.get(name, 0.0)
        if is_failed:
            took_s /= 4
        is_near = target.entry.failure_domain == host.domain
        took_s += NEAR_S if is_near else FAR_S
        at_s = self.now_s() + took_s
        self.at(at_s, self._end, host, running, call, target, is_failed)

    def _end(self, host, running, call, target, is_failed):
        name = target.entry.instance_id
        if not is_failed:
            self.served[name] += 1
            host.parts.health.succeeded(name)
            super()._end(host, running, call, target)
            return
        target.running -= 1
        running.ended(False, True)
        host.parts.loads.ended(name)
        host.parts.health.failed(name, "status 500")
        if target.queue:
            self._run(*target.queue.pop(0), target)
        is_repeatable = call.kind.route.kind.is_repeatable
        if is_repeatable and not hasattr(call, "is_repeated"):
            call.is_repeated = True
            self._attempt(host, call.request, call)


class LeastTime(SpeedPlacement):
    """Prefers the target with the shortest expected time at any age of the loads."""

    def prefer(self, candidates, unseen_count, fleet_per_s, max_load=1.0):
        """Return the `Preference` among some targets; see `SpeedPlacement.prefer`."""
        return super().prefer(candidates, 0.0, fleet_per_s, max_load)


class DomainSummaryPeers(SimulatedPeers):
    """Peers of which only those of the own failure domain report frequently.

    Each other domain reports a sum of its loads and speeds once per second.
    """

    def __init__(self, hosts, own, interval_s):
        self._near = [one for one in hosts if one.domain == own.domain]
        self._far = [one for one in hosts if one.domain != own.domain]
        super().__init__(self._near, own, interval_s * len(self._near) / 8)
        self._summary_at_s = -math.inf
        self._counts = {}
        self._speeds = {}

    def is_crowded(self):
        """Return that there are too many hosts for frequent reports of all."""
        return True

    def counts(self, instance_id):
        """Return the last reported number of requests at a target."""
        self._take_sums()
        return super().counts(instance_id) + self._counts.get(instance_id, 0)

    def speeds(self):
        """Return the last reported speeds of targets."""
        self._take_sums()
        by_s = self._own.parts.clock.monotonic_s() - self._summary_at_s
        sums = {one: reported.aged(by_s) for one, reported in self._speeds.items()}
        add_speeds(sums, super().speeds())
        return sums

    def _take_sums(self):
        now_s = self._own.parts.clock.monotonic_s()
        if now_s - self._summary_at_s < 1.0:
            return
        self._summary_at_s = now_s
        self._counts, self._speeds = {}, {}
        for host in self._far:
            add_counts(self._counts, host.reported)
            add_speeds(self._speeds, host.reported_speeds)


class TwoCandidates(SpeedPlacement):
    """Draws two targets by speed, and prefers the one expected to be faster."""

    def prefer(self, candidates, unseen_count, fleet_per_s, max_load=1.0):
        """Return the `Preference` among some targets; see `SpeedPlacement.prefer`."""
        weights = [1 / self.time_at_unknown_load(one) for one in candidates]
        drawn = self._random.choices(candidates, weights, k=2)
        best = min(drawn, key=lambda one: self.expected_time(one, one.count))
        return Preference([best.entry])


class SpeedShares(SpeedPlacement):
    """Draws a target in proportion to its speed."""

    def prefer(self, candidates, unseen_count, fleet_per_s, max_load=1.0):
        """Return the `Preference` among some targets; see `SpeedPlacement.prefer`."""
        weights = [1 / self.time_at_unknown_load(one) for one in candidates]
        return Preference([self._random.choices(candidates, weights)[0].entry])


METHODS = {
    "load": None,
    "time": LeastTime,
    "two": TwoCandidates,
    "shares": SpeedShares,
    "kept": SpeedPlacement,
}


class Outcome:
    """Outcome of the requests of a replay between two times."""

    def __init__(self, replay, kind, from_s, to_s, speeds):
        calls = replay.calls_of(kind, from_s, to_s)
        self.refused = sum(bool(one.causes) for one in calls) / len(calls)
        self.lost = sum(
            not one.causes and one.answered_at_s is None for one in calls
        ) / len(calls)
        times_s = sorted(one.took_s for one in calls if math.isfinite(one.took_s))
        self.in_time = replay.share_within(kind, kind.route.objective_s, from_s, to_s)
        self.mean_s = sum(times_s) / len(times_s)
        self.p99_s = times_s[int(0.99 * len(times_s))]
        loads = [
            count / speed
            for count, speed in zip(replay.served.values(), speeds, strict=True)
        ]
        self.jain = sum(loads) ** 2 / (len(loads) * sum(one**2 for one in loads))
        self.served = list(replay.served.values())
        by_domain = [
            [
                one.took_s <= kind.route.objective_s
                for one in calls
                if one.domain == name
            ]
            for name in {one.domain for one in calls}
        ]
        self.worst_domain = min(sum(one) / len(one) for one in by_domain)

    def __str__(self):
        """Return the outcome as a line of text."""
        return (
            f"in time {self.in_time:.4f}  refused {self.refused:.4f}  "
            f"lost {self.lost:.4f}  "
            f"mean {self.mean_s * 1000:.1f} ms  "
            f"p99 {self.p99_s * 1000:.1f} ms  jain {self.jain:.3f}  "
            f"worst domain {self.worst_domain:.4f}  served {self.served}"
        )


def play(method, slowness, per_s, speeds, host_count=12, to_s=14.0, **shape):
    """Return the `Outcome` of requests at a rate from all hosts."""
    is_enabled = method != "load"
    objective_s = shape.pop("objective_s", 0.15)
    is_crowded = shape.pop("is_crowded", False)
    request_kind = shape.pop("request_kind", RequestKind.IDEMPOTENT)
    kind = Kind("small", 1, objective_s, request_kind=request_kind)
    replay = SpeedReplay(
        slowness,
        host_count=host_count,
        speeds={"is_enabled": is_enabled, **shape.pop("settings", {})},
        **shape,
    )
    if is_crowded:
        replay.use_domain_summaries()
    if METHODS[method] is not None:
        replay.use_placement(METHODS[method])
    replay.ask(kind, per_s, 0.0, to_s)
    replay.run(to_s + 3.0)
    return Outcome(replay, kind, 0.0, to_s, speeds)
