"""Rates and priorities of callers' requests."""

import math


class RequestRates:
    """Rate of callers' requests to this host, by service.

    Parameters
    ----------
    memory_s : float
        Time constant of the average, seconds.
    clock : siskinthread.timing.Clock
        Clock of the rates.
    """

    __slots__ = ("_clock", "_memory_s", "_rates")

    def __init__(self, memory_s, clock):
        self._memory_s = memory_s
        self._clock = clock
        # Rate and the time of its last update, monotonic seconds, by service.
        self._rates = {}

    def note(self, service_name):
        """Count a request."""
        now_s = self._clock.monotonic_s()
        rate_per_s = self.rate_per_s(service_name) + 1 / self._memory_s
        self._rates[service_name] = (rate_per_s, now_s)

    def rate_per_s(self, service_name):
        """Return the exponentially weighted mean rate, requests a second."""
        known = self._rates.get(service_name)
        if known is None:
            return 0.0
        rate_per_s, at_s = known
        age_s = self._clock.monotonic_s() - at_s
        return rate_per_s * math.exp(-age_s / self._memory_s)


class TopPriority:
    """The most urgent priority among recent requests of callers, by service.

    Parameters
    ----------
    memory_s : float
        How long a priority counts after its last request, seconds.
    clock : siskinthread.timing.Clock
        Clock of the times.
    """

    __slots__ = ("_clock", "_known", "_memory_s")

    def __init__(self, memory_s, clock):
        self._memory_s = memory_s
        self._clock = clock
        # Priority, 0 first, and the time of its last request, monotonic seconds.
        self._known = {}

    def note(self, service_name, priority):
        """Record the priority of a request."""
        if self.is_top(service_name, priority):
            self._known[service_name] = (priority, self._clock.monotonic_s())

    def is_top(self, service_name, priority):
        """Return whether no recent request had a more urgent priority."""
        known = self._known.get(service_name)
        if known is None:
            return True
        most_urgent, at_s = known
        is_expired = self._clock.monotonic_s() - at_s > self._memory_s
        return is_expired or priority <= most_urgent
