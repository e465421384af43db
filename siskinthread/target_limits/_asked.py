"""How many requests callers ask for."""

import math


class AskedRates:
    """Rate of callers' requests at this entry, by service.

    Parameters
    ----------
    memory_s : float
        Time over which a rate is averaged, seconds.
    clock : siskinthread.timing.Clock
        Clock of the rates.
    """

    __slots__ = ("_clock", "_memory_s", "_rates")

    def __init__(self, memory_s, clock):
        self._memory_s = memory_s
        self._clock = clock
        # Rate and when it was reckoned, monotonic seconds, by service.
        self._rates = {}

    def note(self, service_name):
        """Count a request."""
        now_s = self._clock.monotonic_s()
        rate_per_s = self.rate_per_s(service_name) + 1 / self._memory_s
        self._rates[service_name] = (rate_per_s, now_s)

    def rate_per_s(self, service_name):
        """Return the requests a second, the last ones counting most."""
        known = self._rates.get(service_name)
        if known is None:
            return 0.0
        rate_per_s, at_s = known
        age_s = self._clock.monotonic_s() - at_s
        return rate_per_s * math.exp(-age_s / self._memory_s)


class MostUrgent:
    """The most urgent rank of callers' requests lately, by service.

    Parameters
    ----------
    memory_s : float
        How long a rank counts after its last request, seconds.
    clock : siskinthread.timing.Clock
        Clock of the times.
    """

    __slots__ = ("_clock", "_known", "_memory_s")

    def __init__(self, memory_s, clock):
        self._memory_s = memory_s
        self._clock = clock
        # Rank, 0 first, and when it was asked for last, monotonic seconds.
        self._known = {}

    def note(self, service_name, priority):
        """Note the rank of a request."""
        if self.includes(service_name, priority):
            self._known[service_name] = (priority, self._clock.monotonic_s())

    def includes(self, service_name, priority):
        """Return whether no request of a more urgent rank came lately."""
        known = self._known.get(service_name)
        if known is None:
            return True
        most_urgent, at_s = known
        is_over = self._clock.monotonic_s() - at_s > self._memory_s
        return is_over or priority <= most_urgent
