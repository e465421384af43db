"""Ejection and readmission of slow, stalled and failing targets."""

import statistics

from siskinthread.routing._target_health import TargetHealth
from siskinthread.timing import Deadline

COMPARED_COUNT_MINIMUM = 3


class ServiceHealth:
    """Detects unhealthy targets of one service.

    Parameters
    ----------
    settings : RoutingSettings
        Ratios, bounds and intervals.
    loads : siskinthread.routing._loads.TargetLoads
        Shows whether the other targets can carry an ejected target's load.
    clock : siskinthread.timing.Clock
        Clock of the deadlines.

    Notes
    -----
    Load counts don't show a slow target until its queue has grown, and each request
    sent meanwhile waits there; the symptom is a few requests in a hundred with a first
    byte several times later than the rest.  A target that fails at once looks idle and
    attracts all requests.  Ejection keeps requests from both.  At most
    ``ejection_limit_fraction`` of the targets is ejected, and none if the load of the
    others would exceed ``ejection_load_limit``, unless the target is stalled or
    failing.  An ejected target gets one request at a time as a probe, at intervals that
    double, and is readmitted after a fast answer.
    """

    __slots__ = (
        "_clock",
        "_ejected",
        "_has_live_first_bytes",
        "_loads",
        "_next_review",
        "_settings",
        "_targets",
    )

    def __init__(self, settings, loads, clock):
        self._settings = settings
        self._loads = loads
        self._clock = clock
        self._targets = {}
        self._ejected = {}
        self._next_review = Deadline.after(clock, 0.0)
        self._has_live_first_bytes = False

    def is_ejected(self, host):
        """Return whether a host is ejected."""
        return host in self._ejected

    def forget_all_but(self, hosts):
        """Drop the state of all hosts except `hosts`."""
        for host in self._targets.keys() - set(hosts):
            del self._targets[host]
            self._ejected.pop(host, None)

    def note_start(self, host, request):
        """Record that an attempt was sent to a host."""
        now_s = self._clock.monotonic_s()
        self._target(host).note_start(request.request_id, now_s)

    def note_first_byte(self, host, request, first_byte_s, is_live=True):
        """Record a first-byte time; `is_live` if reported when the byte arrives."""
        self._has_live_first_bytes = self._has_live_first_bytes or is_live
        now_s = self._clock.monotonic_s()
        self._target(host).note_first_byte(request.request_id, first_byte_s, now_s)

    def note_no_first_byte(self, host, request, failed):
        """Record that an attempt ended before its first byte."""
        self._target(host).note_no_first_byte(request.request_id, failed)

    def due_probe(self, hosts):
        """Return an ejected host of `hosts` that is due for a probe, or None."""
        for host, target in self._ejected.items():
            is_due = target.probe.passed() and not target.has_pending_attempt()
            if is_due and host in hosts:
                return host
        return None

    def note_probe(self, host):
        """Record that a probe is being sent, and postpone the next one."""
        limit_s = self._settings.probe_interval_limit_s
        self._target(host).postpone_probe(limit_s, self._clock)

    def review(self, hosts):
        """Compare the targets if a review is due, and eject or readmit them."""
        if not self._next_review.passed():
            return
        self._next_review = Deadline.after(
            self._clock, self._settings.review_interval_s
        )
        known = {host: self._targets[host] for host in hosts if host in self._targets}
        slow_limit_s, fast_limit_s = self._limits_s(known.values())
        for host, target in known.items():
            if target.ejected and self._has_recovered(target, fast_limit_s):
                target.readmit()
                self._ejected.pop(host, None)
        candidates = [
            host
            for host, target in known.items()
            if not target.ejected and self._should_eject(host, slow_limit_s)
        ]
        candidates.sort(key=lambda host: self._severity(known[host]), reverse=True)
        self._eject(candidates, hosts)

    def _limits_s(self, targets):
        settings = self._settings
        times_s = [
            target.first_byte_s
            for target in targets
            if target.has_enough_samples(settings)
        ]
        if len(times_s) < COMPARED_COUNT_MINIMUM:
            return float("inf"), float("inf")
        median_s = statistics.median(times_s)
        slow_s = max(settings.slow_ratio * median_s, median_s + settings.slow_margin_s)
        fast_s = max(
            settings.recovered_ratio * median_s, median_s + settings.slow_margin_s
        )
        return slow_s, fast_s

    def _should_eject(self, host, slow_limit_s):
        target = self._targets[host]
        if self._is_stalled(target) or self._is_failing(target):
            return True
        if not target.has_enough_samples(self._settings):
            return False
        is_calm = self._loads.load_without([host], ()) < self._settings.calm_load
        return target.is_slow(slow_limit_s, is_calm)

    def _is_stalled(self, target):
        # A dispatcher that reports first bytes only at the end of a stream makes every
        # long stream look like a stall.
        if not self._has_live_first_bytes:
            return False
        silence_s = target.silence_s(self._clock.monotonic_s())
        return silence_s > self._settings.stall_limit_s

    def _is_failing(self, target):
        return target.failure_count >= self._settings.failure_limit_count

    def _has_recovered(self, target, fast_limit_s):
        if target.failure_count or self._is_stalled(target):
            return False
        return target.first_byte_s is not None and target.first_byte_s <= fast_limit_s

    def _severity(self, target):
        is_dead = self._is_stalled(target) or self._is_failing(target)
        return is_dead, target.first_byte_s or 0.0

    def _eject(self, candidates, hosts):
        settings = self._settings
        ejected = self._ejected.keys() & set(hosts)
        limit_count = max(1, int(settings.ejection_limit_fraction * len(hosts)))
        for host in candidates:
            if len(ejected) >= limit_count or len(ejected) + 1 >= len(hosts):
                return
            ejected.add(host)
            load = self._loads.load_without(hosts, ejected)
            is_dead = self._severity(self._targets[host])[0]
            if load > settings.ejection_load_limit and not is_dead:
                return
            target = self._targets[host]
            target.eject(settings.probe_interval_s, self._clock)
            self._ejected[host] = target

    def _target(self, host):
        target = self._targets.get(host)
        if target is None:
            target = self._targets[host] = TargetHealth()
        return target
