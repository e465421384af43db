"""Detects whether the targets of a service queue requests."""

from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("load_control")


class QueueSupport:
    """Records the services whose targets decline requests instead of queueing them.

    Parameters
    ----------
    settings : LoadControlSettings
        How long a decline is remembered.
    clock : siskinthread.timing.Clock
        Clock of the times.
    """

    __slots__ = ("_clock", "_settings", "_unavailable")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._unavailable = {}

    def note_declined(self, service_name, load):
        """Process the load of a target that has declined a request.

        Parameters
        ----------
        service_name : str
            Service of the target.
        load : LoadReport or None
            The load that the target reported.
        """
        if load is None or load.waiting or load.running < load.slot_count:
            return
        if self.is_available(service_name):
            _logger.event("targets let no request wait", waiting_service=service_name)
        wait_s = self._settings.queue_memory_s
        self._unavailable[service_name] = Deadline.after(self._clock, wait_s)

    def is_available(self, service_name):
        """Return whether no target has recently declined an additional request."""
        expiry = self._unavailable.get(service_name)
        return expiry is None or expiry.passed()
