"""Outages of whole services, inferred from failed requests and silent streams.

Used for services whose targets are not ranks of groups, so that there are no reports of
groups.
"""

from siskinthread.load_control import OutageDurations
from siskinthread.observability import part_logger

_logger = part_logger("gateway")


class Outage:
    """Period in which no target of a service is usable.

    Parameters
    ----------
    began_at_s : float
        When the outage was first observed, monotonic seconds.
    """

    __slots__ = ("began_at_s", "seen_at_s")

    def __init__(self, began_at_s):
        self.began_at_s = began_at_s
        self.seen_at_s = began_at_s


class InferredOutages:
    """Services all of whose targets are ejected.

    Parameters
    ----------
    settings : WaitingSettings
        Time after which an outage without new evidence is forgotten.
    clock : siskinthread.timing.Clock
        Clock for outages.

    Attributes
    ----------
    lengths : siskinthread.load_control.OutageDurations
        Lengths of earlier outages, by service.

    Notes
    -----
    The ejection of a failing target ends after a time, without evidence that the target
    serves again.  So an outage ends with an answer or an event, not with the end of an
    ejection.
    """

    __slots__ = ("_clock", "_listeners", "_outages", "_settings", "lengths")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._outages = {}
        self._listeners = []
        self.lengths = OutageDurations(settings, clock)

    def listen(self, callback):
        """Register a callback for the name of each service that is usable again."""
        self._listeners.append(callback)

    def note_all_ejected(self, service_name):
        """Note that all targets of a service are ejected at this moment."""
        now_s = self._clock.monotonic_s()
        outage = self.service_outage(service_name)
        if outage is not None:
            outage.seen_at_s = now_s
            return
        self._outages[service_name] = Outage(now_s)
        _logger.event("service has no usable target", service=service_name)

    def note_served(self, service_name):
        """Note an answer or an event from a target of a service."""
        if service_name not in self._outages:
            return
        outage = self._outages.pop(service_name)
        length_s = self._clock.monotonic_s() - outage.began_at_s
        self.lengths.note_ended(service_name, length_s)
        _logger.event(
            "service is usable again",
            service=service_name,
            lasted_s=round(length_s, 3),
        )
        for callback in self._listeners:
            callback(service_name)

    def service_outage(self, service_name):
        """Return the `Outage` of a service, or None if it is usable."""
        outage = self._outages.get(service_name)
        if outage is None:
            return None
        unseen_s = self._clock.monotonic_s() - outage.seen_at_s
        if unseen_s > self._settings.outage_forgotten_s:
            del self._outages[service_name]
            return None
        return outage
