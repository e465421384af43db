"""Rates of incoming requests by priority."""

import math


class ArrivalRates:
    """Exponentially decaying request rates by service and priority.

    Parameters
    ----------
    settings : LoadControlSettings
        How long a priority counts as requested.
    memory_s : float
        Averaging time of the rates, seconds.
    clock : siskinthread.timing.Clock
        Clock of the rates.
    """

    __slots__ = ("_clock", "_memory_s", "_rates", "_settings")

    def __init__(self, settings, memory_s, clock):
        self._settings = settings
        self._memory_s = memory_s
        self._clock = clock
        # Rate per second and its time, monotonic seconds, by service and priority.
        self._rates = {}

    def note(self, service_name, priority):
        """Count an incoming request."""
        now_s = self._clock.monotonic_s()
        rates = self._rates.setdefault(service_name, {})
        rate_per_s = self._decayed(rates.get(priority), now_s)
        rates[priority] = (rate_per_s + 1 / self._memory_s, now_s)

    def more_urgent_per_s(self, service_name, priority):
        """Return the requests per second of all priorities more urgent than one.

        Returns
        -------
        float
            0 if none was requested within the priority memory.
        """
        now_s = self._clock.monotonic_s()
        return sum(
            self._decayed(rate, now_s)
            for rank, rate in self._rates.get(service_name, {}).items()
            if rank < priority and self._is_recent(rate, now_s)
        )

    def per_s(self, service_name, priority):
        """Return the requests per second of one priority; 0 if none is recent."""
        rate = self._rates.get(service_name, {}).get(priority)
        now_s = self._clock.monotonic_s()
        if rate is None or not self._is_recent(rate, now_s):
            return 0.0
        return self._decayed(rate, now_s)

    def all_per_s(self, service_name):
        """Return the requests per second of all priorities."""
        now_s = self._clock.monotonic_s()
        rates = self._rates.get(service_name, {}).values()
        return sum(self._decayed(rate, now_s) for rate in rates)

    def has_less_urgent(self, service_name, priority):
        """Return whether a less urgent priority was requested recently."""
        now_s = self._clock.monotonic_s()
        return any(
            rank > priority and self._is_recent(rate, now_s)
            for rank, rate in self._rates.get(service_name, {}).items()
        )

    def _is_recent(self, rate, now_s):
        return now_s - rate[1] <= self._settings.priority_memory_s

    def _decayed(self, rate, now_s):
        if rate is None:
            return 0.0
        rate_per_s, at_s = rate
        return rate_per_s * math.exp((at_s - now_s) / self._memory_s)
