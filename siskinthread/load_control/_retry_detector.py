"""Tells retries from first attempts, and which retries may have a promised slot."""

from collections import deque

from siskinthread.timing import Deadline

# Maximum number of routes.
ROUTES_LIMIT = 512
# First attempts kept per route.
FIRST_TRIES_LIMIT = 100
# Quantile of the times of first attempts that counts as their minimum; some callers
# have far less time than the others of their route.
FIRST_TRY_QUANTILE = 0.05


class RetryDetector:
    """Recognises retries of refused callers by their remaining time.

    Parameters
    ----------
    settings : ReturnSettings
        Thresholds and memory times.
    clock : siskinthread.timing.Clock
        Clock of the memory times.

    Notes
    -----
    A retry may go to any host, on a new connection and under a new id, so only its
    remaining time distinguishes it from a first attempt. Callers of a route may start
    with different times: if these differ by a seventh, a comparison with the longest
    time alone classified two thirds of all first attempts as retries, which waited
    behind others while slots were free. The minimum time of first attempts is therefore
    learned while no caller was told to retry. While retries are possible, a request
    with less time than that is a retry. A caller that retries at once has nearly all of
    its time left and counts as a first attempt.
    """

    __slots__ = ("_clock", "_retries_until", "_routes", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._routes = {}
        # End of the period in which callers that were told to retry may do so.
        self._retries_until = Deadline.after(clock, 0.0)

    def note_told(self, told_s):
        """Record that a caller was told to retry.

        Parameters
        ----------
        told_s : float
            Retry time, seconds from now.
        """
        until = Deadline.after(self._clock, told_s + self._settings.late_s)
        if until.at_s > self._retries_until.at_s:
            self._retries_until = until

    def note(self, route_name, left_s):
        """Record a request, and return whether it is a retry.

        Parameters
        ----------
        route_name : str
            Route of the request.
        left_s : float or None
            Remaining time that the caller states, seconds.
        """
        if left_s is None or not self._settings.is_enabled:
            return False
        times = self._routes.get(route_name)
        if times is None:
            if len(self._routes) >= ROUTES_LIMIT:
                del self._routes[next(iter(self._routes))]
            times = self._routes[route_name] = _RemainingTimes(
                self._settings, self._clock
            )
        longest_s = times.maximum.note(left_s)
        if self._retries_until.passed():
            times.note_first_try(left_s)
            return False
        first_s = times.first_try_minimum_s()
        if first_s is None:
            return False
        settings = self._settings
        shortest_s = settings.return_least_share * longest_s
        return shortest_s <= left_s < settings.newcomer_share * first_s

    def known_after_s(self, route_name, left_s):
        """Return after how many seconds a caller would be recognised as a retry.

        Parameters
        ----------
        route_name : str
            Route of the request.
        left_s : float
            Remaining time of the caller, seconds.
        """
        times = self._routes.get(route_name)
        first_s = None if times is None else times.first_try_minimum_s()
        if first_s is None:
            return 0.0
        return max(0.0, left_s - self._settings.newcomer_share * first_s)

    def promise_limit_s(self, route_name, left_s, latest_s):
        """Return the latest time for which a caller may be promised a slot.

        Parameters
        ----------
        route_name : str
            Route of the request.
        left_s : float
            Remaining time of the caller, seconds.
        latest_s : float
            Latest retry time that the caller accepts, seconds from now.

        Returns
        -------
        float
            Seconds from now; below 0 if the remaining time at the retry would be too
            short for the promise to be recognised.
        """
        longest_s = self._longest_s(route_name, left_s)
        share = self._settings.promise_time_share * latest_s / left_s
        return left_s - (1 - share) * longest_s

    def may_have_promise(self, route_name, left_s, limit_share):
        """Return whether a retry has more time left than one without a promise.

        Parameters
        ----------
        route_name : str
            Route of the request.
        left_s : float
            Remaining time that the caller states, seconds.
        limit_share : float
            Fraction of the remaining time within which callers retry.
        """
        # Halfway between the latest promised time and the latest retry, which tolerates
        # the network time of a request in both directions.
        share = limit_share * (1 + self._settings.promise_time_share) / 2
        return left_s > (1 - share) * self._longest_s(route_name, left_s)

    def _longest_s(self, route_name, left_s):
        times = self._routes.get(route_name)
        return left_s if times is None else max(left_s, times.maximum.value)


class _RemainingTimes:
    """Recent remaining times of the requests of a route.

    Attributes
    ----------
    maximum : _WindowedMaximum
        The longest remaining time, seconds.
    """

    __slots__ = ("_clock", "_first_tries", "_memory_s", "maximum")

    def __init__(self, settings, clock):
        self._clock = clock
        self._memory_s = settings.newcomer_memory_s
        # Remaining time, seconds, and expiry.
        self._first_tries = deque(maxlen=FIRST_TRIES_LIMIT)
        self.maximum = _WindowedMaximum(settings.most_memory_s, clock)

    def note_first_try(self, left_s):
        """Record a request of a caller that was not told to retry."""
        expiry = Deadline.after(self._clock, self._memory_s)
        self._first_tries.append((left_s, expiry))

    def first_try_minimum_s(self):
        """Return the minimum time of first attempts, seconds, or None if unknown."""
        while self._first_tries and self._first_tries[0][1].passed():
            self._first_tries.popleft()
        if not self._first_tries:
            return None
        ordered = sorted(left_s for left_s, _ in self._first_tries)
        return ordered[int(FIRST_TRY_QUANTILE * len(ordered))]


class _WindowedMaximum:
    """Maximum of the values of the last one to two windows."""

    __slots__ = ("_clock", "_earlier", "_latest", "_memory_s", "_window_end")

    def __init__(self, memory_s, clock):
        self._memory_s = memory_s
        self._clock = clock
        self._earlier = 0.0
        self._latest = 0.0
        self._window_end = Deadline.after(clock, memory_s)

    def note(self, value):
        """Record a value, and return the recent maximum."""
        if self._window_end.passed():
            self._earlier, self._latest = self._latest, 0.0
            self._window_end = Deadline.after(self._clock, self._memory_s)
        self._latest = max(self._latest, value)
        return self.value

    @property
    def value(self):
        """The recent maximum."""
        return max(self._earlier, self._latest)
