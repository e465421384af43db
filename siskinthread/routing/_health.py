"""Ejection of slow, stalled and failing targets, and their way back."""

import statistics

from siskinthread.routing._target_health import TargetHealth
from siskinthread.timing import Deadline

JUDGED_COUNT_MINIMUM = 3


class ServiceHealth:
    """Judges the targets of one service.

    Parameters
    ----------
    settings : RoutingSettings
        Ratios, bounds and intervals.
    loads : siskinthread.routing._loads.TargetLoads
        Tells whether the others can carry an ejected target's load.
    clock : siskinthread.timing.Clock
        Clock of the deadlines.

    Notes
    -----
    A slow target is invisible to load counts until its queue has grown, and each
    request sent meanwhile waits there; one would notice a few requests in a hundred
    with a first byte several times later than the rest.  A target that fails at once
    looks idle and draws all requests.  Ejection keeps requests off both.  No more than
    ``ejection_limit_fraction`` of the targets is ejected, and none if the others
    would be loaded beyond ``ejection_load_limit``.  An ejected target gets one request
    at a time as a probe, at intervals that double, and comes back after a fast answer.
    """

    __slots__ = (
        "_clock",
        "_ejected",
        "_hears_first_bytes",
        "_loads",
        "_review",
        "_settings",
        "_targets",
    )

    def __init__(self, settings, loads, clock):
        self._settings = settings
        self._loads = loads
        self._clock = clock
        self._targets = {}
        self._ejected = {}
        self._review = Deadline.after(clock, 0.0)
        self._hears_first_bytes = False

    def is_ejected(self, host):
        """Return whether a host is ejected."""
        return host in self._ejected

    def forget_all_but(self, hosts):
        """Drop what is known of hosts that are gone."""
        for host in self._targets.keys() - set(hosts):
            del self._targets[host]
            self._ejected.pop(host, None)

    def note_start(self, host, request):
        """Note that an attempt was sent to a host."""
        now_s = self._clock.monotonic_s()
        self._target(host).note_start(request.request_id, now_s)

    def note_first_byte(self, host, request, first_byte_s, at_once=True):
        """Take in a first-byte time; `at_once` if it is told as it comes."""
        self._hears_first_bytes = self._hears_first_bytes or at_once
        now_s = self._clock.monotonic_s()
        self._target(host).note_first_byte(request.request_id, first_byte_s, now_s)

    def note_no_first_byte(self, host, request, failed):
        """Note that an attempt ended before its first byte."""
        self._target(host).note_no_first_byte(request.request_id, failed)

    def due_probe(self, hosts):
        """Return an ejected host of `hosts` that shall get a probe now, or None."""
        for host, target in self._ejected.items():
            is_due = target.probe.passed() and not target.has_probe_under_way()
            if is_due and host in hosts:
                return host
        return None

    def note_probe(self, host):
        """Note that a probe is being sent, and put off the next one."""
        limit_s = self._settings.probe_interval_limit_s
        self._target(host).put_off_probe(limit_s, self._clock)

    def review(self, hosts):
        """Compare the targets, if that is due, and eject or let back in."""
        if not self._review.passed():
            return
        self._review = Deadline.after(self._clock, self._settings.review_interval_s)
        known = {host: self._targets[host] for host in hosts if host in self._targets}
        slow_limit_s, fast_limit_s = self._limits_s(known.values())
        for host, target in known.items():
            if target.ejected and self._has_recovered(target, fast_limit_s):
                target.let_back()
                self._ejected.pop(host, None)
        bad = [
            host
            for host, target in known.items()
            if not target.ejected and self._is_bad(host, slow_limit_s)
        ]
        bad.sort(key=lambda host: self._badness(known[host]), reverse=True)
        self._eject(bad, hosts)

    def _limits_s(self, targets):
        settings = self._settings
        times_s = [
            target.first_byte_s for target in targets if target.is_judged(settings)
        ]
        if len(times_s) < JUDGED_COUNT_MINIMUM:
            return float("inf"), float("inf")
        median_s = statistics.median(times_s)
        slow_s = max(settings.slow_ratio * median_s, median_s + settings.slow_margin_s)
        fast_s = max(
            settings.recovered_ratio * median_s, median_s + settings.slow_margin_s
        )
        return slow_s, fast_s

    def _is_bad(self, host, slow_limit_s):
        target = self._targets[host]
        if self._is_silent(target) or self._is_failing(target):
            return True
        if not target.is_judged(self._settings):
            return False
        is_calm = self._loads.load_without([host], ()) < self._settings.calm_load
        return target.is_slow(slow_limit_s, is_calm)

    def _is_silent(self, target):
        # A dispatcher that tells first bytes only at the end of a stream makes every
        # long stream look like silence.
        if not self._hears_first_bytes:
            return False
        silence_s = target.silence_s(self._clock.monotonic_s())
        return silence_s > self._settings.stall_limit_s

    def _is_failing(self, target):
        return target.failure_count >= self._settings.failure_limit_count

    def _has_recovered(self, target, fast_limit_s):
        if target.failure_count or self._is_silent(target):
            return False
        return target.first_byte_s is not None and target.first_byte_s <= fast_limit_s

    def _badness(self, target):
        is_dead = self._is_silent(target) or self._is_failing(target)
        return is_dead, target.first_byte_s or 0.0

    def _eject(self, bad, hosts):
        settings = self._settings
        ejected = self._ejected.keys() & set(hosts)
        limit_count = max(1, int(settings.ejection_limit_fraction * len(hosts)))
        for host in bad:
            if len(ejected) >= limit_count or len(ejected) + 1 >= len(hosts):
                return
            ejected.add(host)
            load = self._loads.load_without(hosts, ejected)
            is_dead = self._badness(self._targets[host])[0]
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
