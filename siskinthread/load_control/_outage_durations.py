"""Estimates the remaining duration of a service outage."""

import statistics
from collections import deque

# Maximum number of services with history; a deployment has a few.
SERVICES_LIMIT = 64


class OutageDurations:
    """Durations of earlier outages, and an estimate for the current one.

    Parameters
    ----------
    settings : WaitingSettings
        How many outages are remembered.
    clock : siskinthread.timing.Clock
        Clock of the durations.

    Notes
    -----
    At its start a short outage can't be distinguished from a long one. If durations
    vary over several orders of magnitude, the expected rest is about the time elapsed
    so far; earlier outages only raise that estimate.
    """

    __slots__ = ("_clock", "_known", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._known = {}

    def note_ended(self, service_name, length_s):
        """Record an outage of `length_s` seconds that has ended."""
        lengths = self._known.get(service_name)
        if lengths is None:
            if len(self._known) >= SERVICES_LIMIT:
                del self._known[next(iter(self._known))]
            lengths = deque(maxlen=self._settings.outage_memory_count)
            self._known[service_name] = lengths
        lengths.append(length_s)

    def expected_left_s(self, service_name, began_at_s):
        """Return the expected remaining duration of an outage, seconds.

        Parameters
        ----------
        service_name : str
            The service.
        began_at_s : float
            Start of the outage, monotonic seconds.
        """
        elapsed_s = max(0.0, self._clock.monotonic_s() - began_at_s)
        lengths = self._known.get(service_name)
        usual_s = statistics.median(lengths) if lengths else 0.0
        return max(elapsed_s, usual_s - elapsed_s)
