"""Timeouts and numbers of attempts of orders to ranks.

Load pattern: for some seconds, ranks leave part of the orders unanswered, while the
other responses arrive within some 10 ms.  All ranks of a group must accept an order, so
a change waits for the rank that loses most orders.  Nothing here reads a clock or uses
the network.
"""

# Kinds of queries: names of the methods of a rank's client.
REPORT, COUNTS, HELD_EXPERTS = "report", "counts", "held_experts"
# RFC 6298, section 2: weights of a sample, and multiple of the deviation that is added
# to the smoothed time.
SAMPLE_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# Ratio of the largest number of attempts to `order_tries`, which is the number of
# attempts with the longest timeout: 20 for 12.
MAX_ATTEMPTS_RATIO = 5 / 3
# Part of the attempts that is sent before the timeout backs off. With half of the
# orders unanswered, ten attempts fail together once in 1,000; the remaining attempts
# fill the remaining time.
QUICK_ATTEMPTS_SHARE = 0.5


class ResponseEstimate:
    """Retransmission timeout from measured response times, as in RFC 6298.

    Attributes
    ----------
    smoothed_s : float or None
        Smoothed response time, seconds; None before the first sample.
    """

    __slots__ = ("_deviation_s", "smoothed_s")

    def __init__(self):
        self.smoothed_s = None
        self._deviation_s = 0.0

    def note(self, response_s, extra_s=0.0):
        """Add a sample.

        Parameters
        ----------
        response_s : float
            Time from sending to the response, seconds.
        extra_s : float
            Upper bound for the part of `response_s` that was spent on sending or
            connecting, seconds.

        The real part of `extra_s` is unknown.  So a sample that agrees with the
        estimate for some part of `extra_s` is ignored, and any other sample counts as
        the nearest possible response time.
        """
        least_s = max(0.0, response_s - extra_s)
        if self.smoothed_s is None:
            self.smoothed_s = least_s
            self._deviation_s = least_s / 2
            return
        if least_s <= self.smoothed_s <= response_s and extra_s > 0.0:
            return
        sample_s = response_s if response_s < self.smoothed_s else least_s
        error_s = sample_s - self.smoothed_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self.smoothed_s += SAMPLE_WEIGHT * error_s

    def timeout_s(self):
        """Return the timeout of an attempt, seconds; requires a sample.

        A persistent connection may have been closed by the other end, and connecting
        takes one more response time.
        """
        return self.smoothed_s + max(DEVIATIONS * self._deviation_s, self.smoothed_s)


class OrderTimeouts:
    """Timeouts of the orders and queries to the ranks of one group.

    Parameters
    ----------
    settings : GroupMapSettings
        Shortest and longest timeout.

    Notes
    -----
    Each rank has its own estimate, so that a slow rank doesn't get each order several
    times.  Until the first response of a rank, the estimate of the whole group is used,
    and before the first response of the group, that of reports.  Reports don't count
    after that, since a rank may respond to orders more slowly than to reports.  Queries
    of each kind share one estimate for the group, since they are repeated only once,
    with the longest timeout.

    A rank that left all attempts of an order unanswered may only have become too slow
    for its estimate, and gets the longest timeout until it responds.
    """

    __slots__ = (
        "_by_rank",
        "_of_group",
        "_of_queries",
        "_settings",
        "_unresponsive",
        "_unresponsive_to_queries",
    )

    def __init__(self, settings):
        self._settings = settings
        self._by_rank = {}
        self._of_group = ResponseEstimate()
        self._of_queries = {}
        self._unresponsive = set()
        self._unresponsive_to_queries = set()

    def note_order(self, rank, response_s, extra_s):
        """Add the response time of an order; for the times see `ResponseEstimate`."""
        self._unresponsive.discard(rank)
        self._by_rank.setdefault(rank, ResponseEstimate()).note(response_s, extra_s)
        self._of_group.note(response_s, extra_s)

    def note_unresponsive(self, rank):
        """Record that a rank left all attempts of an order unanswered."""
        self._unresponsive.add(rank)

    def note_query(self, rank, kind, response_s):
        """Add the response time of a query of some kind, seconds."""
        self._unresponsive_to_queries.discard(rank)
        self._of_queries.setdefault(kind, ResponseEstimate()).note(response_s)

    def note_unresponsive_to_query(self, rank):
        """Record that a rank left all attempts of a query unanswered."""
        self._unresponsive_to_queries.add(rank)

    def query_timeouts_s(self, rank, kind):
        """Return the timeouts for the attempts of a query, seconds.

        An unanswered query only delays the next poll, so there are two attempts at
        most, and one attempt if the rank left the last query unanswered.
        """
        longest_s = self._settings.order_wait_s
        estimate = self._of_queries.get(kind)
        if rank in self._unresponsive_to_queries:
            estimate = None
        first_s = self._within_limits(estimate, 0.0)
        return [first_s, longest_s] if first_s < longest_s else [longest_s]

    def first_s(self, rank):
        """Return the timeout of the first attempt of an order, seconds."""
        return self._within_limits(self._estimate(rank), 0.0)

    def retry_s(self, rank):
        """Return the timeout of a retry, which opens a connection, seconds."""
        estimate = self._estimate(rank)
        connecting_s = 0.0 if estimate is None else estimate.smoothed_s
        return self._within_limits(estimate, connecting_s)

    def _estimate(self, rank):
        if rank in self._unresponsive:
            return None
        reports = self._of_queries.get(REPORT)
        for estimate in (self._by_rank.get(rank), self._of_group, reports):
            if estimate is not None and estimate.smoothed_s is not None:
                return estimate
        return None

    def _within_limits(self, estimate, connecting_s):
        settings = self._settings
        if estimate is None:
            return settings.order_wait_s
        wait_s = max(settings.least_order_wait_s, estimate.timeout_s() + connecting_s)
        return min(settings.order_wait_s, wait_s)


class AttemptSchedule:
    """Schedule of the attempts of one order.

    The total time equals `order_tries` attempts with the longest timeout.  After some
    quick attempts the others are spread over the remaining time, so that a rank that is
    dead or cut off isn't sent more than `MAX_ATTEMPTS_RATIO` times as many.

    Parameters
    ----------
    settings : GroupMapSettings
        Longest timeout, and number of attempts with this timeout.
    """

    __slots__ = ("_left_s", "_limit", "_longest_s", "_sent")

    def __init__(self, settings):
        self._longest_s = settings.order_wait_s
        self._left_s = settings.order_tries * settings.order_wait_s
        self._limit = int(settings.order_tries * MAX_ATTEMPTS_RATIO)
        self._sent = 0

    def next_wait_s(self, timeout_s):
        """Return the timeout of the next attempt, None if there is none.

        Parameters
        ----------
        timeout_s : float
            Timeout from measured response times, seconds.
        """
        attempts_left = self._limit - self._sent
        if attempts_left <= 0 or self._left_s < timeout_s / 2:
            return None
        # The later attempts can't fill more time than with the longest timeout each.
        fills = self._left_s - timeout_s <= (attempts_left - 1) * self._longest_s
        wait_s = timeout_s
        if self._sent >= int(self._limit * QUICK_ATTEMPTS_SHARE) or not fills:
            wait_s = max(timeout_s, min(self._longest_s, self._left_s / attempts_left))
        self._sent += 1
        self._left_s -= wait_s
        return wait_s

    def failed_early(self, wait_s):
        """Record that the last attempt failed before its timeout.

        Connections to an ended process are refused immediately.  Such attempts count
        with the longest timeout, or a dead rank would get more orders than a silent
        one.
        """
        self._left_s -= max(0.0, self._longest_s - wait_s)
