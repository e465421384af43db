"""Measurements of one target by this host, and the requests measured."""

import math

from siskinthread.load_control._decayed_mean import DecayedMean
from siskinthread.load_control._speed_statement import SpeedStatement


class TargetMeasurements:
    """Measurements of one target by this host.

    Attributes
    ----------
    low, high : DecayedMean
        Logarithms of request durations relative to typical ones, where slots are free
        and where the target is nearly full.
    failures : DecayedMean
        0 for each request that was served, 1 for each that failed.
    newest_s : float
        End of the newest request, monotonic seconds.
    """

    __slots__ = ("failures", "high", "low", "newest_s")

    def __init__(self, settings):
        self.low = DecayedMean(settings.memory_s, settings.weight_limit)
        self.high = DecayedMean(settings.memory_s, settings.weight_limit)
        self.failures = DecayedMean(settings.failure_memory_s, math.inf)
        self.newest_s = -math.inf

    def decay(self, now_s):
        """Decay all weights until `now_s`, monotonic seconds."""
        self.low.decay(now_s)
        self.high.decay(now_s)
        self.failures.decay(now_s)

    def statement(self, now_s):
        """Return the measurements as a `SpeedStatement`."""
        self.decay(now_s)
        return SpeedStatement(
            self.low.weight,
            self.low.total,
            self.high.weight,
            self.high.total,
            self.failures.weight,
            self.failures.total,
            now_s - self.newest_s,
        )


class TimedRequest:
    """A request at a target, whose duration is measured.

    Parameters
    ----------
    speeds : TargetSpeeds
        Receives the measurements.
    service_name, instance_id : str
        Service and target.
    kind : tuple
        Route and size class, on which the typical duration depends.
    started_s : float
        Start of the request, monotonic seconds.
    due_s : float
        Time from which the request counts as overdue, monotonic seconds.
    load : float
        Requests per slot of the target, this request included.
    """

    __slots__ = (
        "_speeds",
        "due_s",
        "event_s",
        "instance_id",
        "kind",
        "load",
        "service_name",
        "started_s",
    )

    def __init__(self, speeds, service_name, instance_id, kind, started_s, due_s, load):
        self._speeds = speeds
        self.service_name = service_name
        self.instance_id = instance_id
        self.kind = kind
        self.started_s = started_s
        self.due_s = due_s
        self.load = load
        # Time of its first event, monotonic seconds.
        self.event_s = None

    def event_came(self):
        """Record an event of a stream; the first one ends the timing of its start."""
        if self.event_s is None:
            self.event_s = self._speeds.first_event(self)

    def ended(self, is_served, is_failed, event_count):
        """Record its end.

        Parameters
        ----------
        is_served : bool
            Whether the target has answered it completely.
        is_failed : bool
            Whether the target failed it.
        event_count : int
            Events of its stream.
        """
        self._speeds.ended(self, is_served, is_failed, event_count)
