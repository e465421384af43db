"""Which priorities were requested recently."""

# Maximum number of pairs of service and priority.
ENTRIES_LIMIT = 256


class RecentPriorities:
    """Time of the last request of each priority, by service.

    Parameters
    ----------
    settings : WaitingSettings
        How long a request counts as recent.
    clock : siskinthread.timing.Clock
        Clock of the times.
    """

    __slots__ = ("_clock", "_seen_s", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._seen_s = {}

    def note(self, service_name, priority):
        """Record an incoming request."""
        key = (service_name, priority)
        if key not in self._seen_s and len(self._seen_s) >= ENTRIES_LIMIT:
            self._seen_s.clear()
        self._seen_s[key] = self._clock.monotonic_s()

    def has_less_urgent(self, service_name, priority):
        """Return whether less urgent requests came recently."""
        oldest_s = self._clock.monotonic_s() - self._settings.priority_memory_s
        return any(
            name == service_name and rank > priority and seen_s >= oldest_s
            for (name, rank), seen_s in self._seen_s.items()
        )
