"""How long a request is expected to take, by the others on its route."""

from siskinthread.gateway._table import RequestKind

# Deviations from the mean within which a request is expected to end.  One that must not
# run twice is lost to its caller if it is aborted.
DEVIATIONS = {
    RequestKind.ONCE: 6.0,
    RequestKind.IDEMPOTENT: 2.0,
    RequestKind.STREAM_ONCE: 0.0,
    RequestKind.STREAM_RESUMABLE: 0.0,
}
# Weights of the latest time, and deviation of a single one, as in RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
FIRST_DEVIATION = 1 / 2
# Maximum number of routes whose times are known.
ROUTES_LIMIT = 512


class _RouteTimes:
    """Mean of the times of a route's requests, and their deviation, seconds."""

    __slots__ = ("deviation_s", "mean_s")

    def __init__(self, took_s):
        self.mean_s = took_s
        self.deviation_s = FIRST_DEVIATION * took_s

    def note(self, took_s):
        """Record the time of another request."""
        error_s = took_s - self.mean_s
        self.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self.deviation_s)
        self.mean_s += MEAN_WEIGHT * error_s


class AnswerForecast:
    """Expects the time of a request from those of its route, answered and running.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock of the running ones.
    """

    __slots__ = ("_clock", "_started_at_s", "_times")

    def __init__(self, clock):
        self._clock = clock
        self._times = {}
        # Start of each running attempt by route, oldest first.
        self._started_at_s = {}

    def started(self, route, attempt):
        """Note that an attempt of a request begins."""
        running = self._started_at_s.setdefault(route.name, {})
        running[attempt] = self._clock.monotonic_s()

    def ended(self, route, attempt):
        """Note that an attempt has ended."""
        running = self._started_at_s[route.name]
        del running[attempt]
        if not running:
            del self._started_at_s[route.name]

    def answered(self, route, took_s):
        """Record the time in seconds after which a target has answered."""
        times = self._times.get(route.name)
        if times is not None:
            times.note(took_s)
            return
        if len(self._times) >= ROUTES_LIMIT:
            del self._times[next(iter(self._times))]
        self._times[route.name] = _RouteTimes(took_s)

    def expected_s(self, route):
        """Return the time within which a request of a route should end, seconds.

        Before the first answer the time of the oldest running request counts, which
        takes at least as long, and the latency objective.
        """
        times = self._times.get(route.name)
        is_known = times is not None
        if not is_known:
            times = _RouteTimes(self._oldest_s(route))
        expected_s = times.mean_s + DEVIATIONS[route.kind] * times.deviation_s
        return expected_s if is_known else max(expected_s, route.objective_s or 0.0)

    def _oldest_s(self, route):
        """Return the time since the start of the oldest running attempt, seconds."""
        running = self._started_at_s.get(route.name)
        if not running:
            return 0.0
        return self._clock.monotonic_s() - next(iter(running.values()))
