"""Request durations at each target, as measured by this host.

Targets of a service may become 3 to 12 times slower for some seconds, or slow down when
nearly full, while their health checks pass. With placement by load alone, requests fill
the slots of such a target, and are late. A target that has just become slower answers
nothing at first, so running requests that exceed the typical duration count too.
"""

import math

from siskinthread.load_control._baseline_times import BaselineTimes, size_class
from siskinthread.load_control._speed_statement import SpeedStatement
from siskinthread.load_control._target_measurements import (
    TargetMeasurements,
    TimedRequest,
)

# Weight below which a measurement is ignored.
MIN_WEIGHT = 0.2
# Spread of the log durations of a service before it is known, its minimum, and the
# weight of a new sample. Durations of equal requests vary by about a tenth.
FIRST_SPREAD = 0.3
MIN_SPREAD = 0.1
SPREAD_WEIGHT = 0.05
# Factor applied to the weight of own measurements once peers report a change.
OUTDATED_FACTOR = 0.1
# Maximum number of measured targets; the largest deployments have 192.
TARGETS_LIMIT = 1024
# Standard deviations per mean absolute deviation, which is 0.8 of a standard deviation
# in a normal distribution.
DEVIATIONS_PER_DISTANCE = 1.25


class TargetSpeeds:
    """Durations of this host's requests at each target, relative to typical ones.

    Parameters
    ----------
    settings : SpeedSettings
        Averaging times and limits.
    clock : siskinthread.timing.Clock
        Clock of the times.

    Attributes
    ----------
    group_of : callable
        Returns the name of the group of a target by its instance id, or None. Ranks of
        a group run in lock-step, so the duration at one rank says nothing about that
        rank.
    slowness_of : callable
        Returns the slowness of a target by service name and instance id, as measured by
        all hosts.
    """

    __slots__ = (
        "_baselines",
        "_clock",
        "_measurements",
        "_running",
        "_settings",
        "_spreads",
        "_suspects",
        "group_of",
        "slowness_of",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._baselines = BaselineTimes()
        self._measurements = {}
        # Running requests by service, and targets that seem to deviate, by service.
        self._running = {}
        self._suspects = {}
        self._spreads = {}
        self.group_of = _no_group
        self.slowness_of = _no_slowness

    def started(self, request, instance_id, load):
        """Return the `TimedRequest` of a request that is sent to a target.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        instance_id : str
            The target.
        load : float
            Requests per slot of the target, this one included.

        Returns
        -------
        TimedRequest or None
            None if the request is not measured.
        """
        if not self._settings.is_enabled or self.group_of(instance_id) is not None:
            return None
        now_s = self._clock.monotonic_s()
        name = request.service_name
        kind = (request.route.name, size_class(request.facts.token_counts), False)
        typical_s = self._baselines.typical_s(kind)
        due_s = math.inf
        if typical_s is not None:
            ratio = math.exp(self._mean(instance_id)) * max(1.0, load)
            due_s = now_s + typical_s * ratio * self._settings.overdue_ratio
        timed = TimedRequest(self, name, instance_id, kind, now_s, due_s, load)
        self._running.setdefault(name, set()).add(timed)
        return timed

    def first_event(self, timed):
        """Record the time to the first event of a stream, and return the time now."""
        now_s = self._clock.monotonic_s()
        self._remove_running(timed)
        self._note(timed, timed.kind, now_s - timed.started_s, now_s)
        return now_s

    def ended(self, timed, is_served, is_failed, event_count):
        """Record the end of a request; see `TimedRequest.ended` for the parameters."""
        now_s = self._clock.monotonic_s()
        self._remove_running(timed)
        if is_failed:
            self._measurements_of(timed.instance_id).failures.note(1.0, now_s)
            self._measurements_of(timed.instance_id).newest_s = now_s
            self._suspects.setdefault(timed.service_name, set()).add(timed.instance_id)
        elif is_served:
            self._measurements_of(timed.instance_id).failures.note(0.0, now_s)
        if timed.event_s is None and (is_served or now_s > timed.due_s):
            # Callers abandon late requests; the time until then is a lower bound.
            self._note(timed, timed.kind, now_s - timed.started_s, now_s)
        elif is_served and event_count > 1:
            event_interval_s = (now_s - timed.event_s) / (event_count - 1)
            self._note(timed, (*timed.kind[:2], True), event_interval_s, now_s)

    def forget(self, instance_id):
        """Drop the state of a target that is gone."""
        self._measurements.pop(instance_id, None)
        for ids in self._suspects.values():
            ids.discard(instance_id)

    def services(self):
        """Return the services with targets that may seem to deviate, as a set."""
        running = {name for name, requests in self._running.items() if requests}
        return running.union(name for name, ids in self._suspects.items() if ids)

    def spread(self, service_name):
        """Return the standard deviation of the log durations at one target."""
        spread = self._spreads.get(service_name, FIRST_SPREAD)
        return max(MIN_SPREAD, DEVIATIONS_PER_DISTANCE * spread)

    def suspects(self, service_name):
        """Return the targets of a service that seem to deviate to this host."""
        known = self._suspects.get(service_name)
        now_s = self._clock.monotonic_s()
        suspects = set()
        for instance_id in known or ():
            measurements = self._measurements[instance_id]
            measurements.decay(now_s)
            if self._is_suspect(service_name, measurements):
                suspects.add(instance_id)
        if known:
            self._suspects[service_name] = set(suspects)
        running = self._running.get(service_name, ())
        suspects.update(r.instance_id for r in running if r.due_s < now_s)
        return suspects

    def statement(self, service_name, instance_id):
        """Return the `SpeedStatement` of a target, or None without measurements."""
        now_s = self._clock.monotonic_s()
        measurements = self._measurements.get(instance_id)
        known = None if measurements is None else measurements.statement(now_s)
        overdue = [
            self._ratio(timed, now_s - timed.started_s)
            for timed in self._running.get(service_name, ())
            if timed.due_s < now_s and timed.instance_id == instance_id
        ]
        mean = self._mean(instance_id)
        if overdue and self._is_change(service_name, overdue, mean):
            known_or_empty = known or SpeedStatement()
            count = len(overdue)
            return SpeedStatement(
                count,
                sum(overdue),
                0.0,
                0.0,
                known_or_empty.tries,
                known_or_empty.failures,
                0.0,
            )
        return known

    def outdate(self, instance_id):
        """Reduce the weight of earlier measurements after peers report a change."""
        measurements = self._measurements.get(instance_id)
        if measurements is not None:
            measurements.low.discount(OUTDATED_FACTOR)
            measurements.high.discount(OUTDATED_FACTOR)

    def _is_change(self, service_name, overdue, mean):
        """Return whether overdue requests show that a target has become slower."""
        limit = self._change_limit(service_name)
        late = [ratio for ratio in overdue if ratio - mean > limit]
        return len(late) > 1 or any(ratio - mean > 2 * limit for ratio in late)

    def _change_limit(self, service_name):
        """Return the log distance beyond random variation."""
        deviations = self._settings.least_deviations * self.spread(service_name)
        return max(math.log(self._settings.overdue_ratio), deviations)

    def _is_suspect(self, service_name, measurements):
        if measurements.failures.total >= MIN_WEIGHT:
            return True
        spread = self.spread(service_name) * self._settings.least_deviations
        least = math.log(self._settings.least_ratio)
        return any(
            average.weight >= MIN_WEIGHT
            and abs(average.mean()) > max(least, spread / math.sqrt(average.weight))
            for average in (measurements.low, measurements.high)
        )

    def _note(self, timed, kind, took_s, now_s):
        """Record a duration of a kind of requests."""
        took_s /= max(1.0, timed.load)
        name, instance_id = timed.service_name, timed.instance_id
        ratio = self._baselines.note(kind, took_s, self.slowness_of(name, instance_id))
        if ratio is None:
            return
        measurements = self._measurements_of(instance_id)
        is_nearly_full = timed.load > self._settings.near_full_load
        mean = measurements.high if is_nearly_full else measurements.low
        if mean.weight >= MIN_WEIGHT:
            limit = self._change_limit(name)
            deviation = min(abs(ratio - mean.mean()), limit)
            spread = self._spreads.get(name, FIRST_SPREAD)
            self._spreads[name] = spread + SPREAD_WEIGHT * (deviation - spread)
        mean.note(ratio, now_s, self._change_limit(name))
        measurements.newest_s = now_s
        if self._is_suspect(name, measurements):
            self._suspects.setdefault(name, set()).add(instance_id)

    def _ratio(self, timed, elapsed_s):
        typical_s = self._baselines.typical_s(timed.kind)
        return math.log(elapsed_s / max(1.0, timed.load) / typical_s)

    def _mean(self, instance_id):
        measurements = self._measurements.get(instance_id)
        if measurements is None:
            return 0.0
        return max(measurements.low.mean(), measurements.high.mean())

    def _measurements_of(self, instance_id):
        measurements = self._measurements.get(instance_id)
        if measurements is None:
            if len(self._measurements) >= TARGETS_LIMIT:
                # Requests that end after their target is gone leave measurements
                # behind.
                self.forget(next(iter(self._measurements)))
            measurements = self._measurements[instance_id] = TargetMeasurements(
                self._settings
            )
        return measurements

    def _remove_running(self, timed):
        running = self._running.get(timed.service_name)
        if running is not None:
            running.discard(timed)


def _no_group(instance_id):
    return None


def _no_slowness(service_name, instance_id):
    return 1.0
