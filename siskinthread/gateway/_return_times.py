"""Retry-after times of refused callers, and the requests that come back then."""

from siskinthread.load_control import BindingCause, RetryDetector, RetrySchedule
from siskinthread.observability import part_logger

_logger = part_logger("gateway")

# Rate limits and back-offs schedule the retries themselves, at the rate they allow.
SELF_SCHEDULED_CAUSES = (BindingCause.LIMITED, BindingCause.BACKED_OFF)


class ReturnTimes:
    """Decides how long each refused caller should wait before it retries.

    A caller may be promised a place: its return is booked in a `RetrySchedule`, which
    keeps a slot for it at the announced time.

    Parameters
    ----------
    parts : GatewayParts
        Settings, waiting room, random generator and clock.
    share : HostShare
        Share of the slots of a service that this host may use.
    metrics : siskinthread.observability.Metrics
        The registry.
    """

    __slots__ = (
        "_books",
        "_broken_count",
        "_clock",
        "_late_gives_way",
        "_load_control",
        "_random",
        "_returning",
        "_returns",
        "_room",
        "_settings",
        "_share",
        "_longest_delay_share",
    )

    def __init__(self, parts, share, metrics):
        self._settings = parts.settings.returns
        self._late_gives_way = parts.settings.load_control.late_gives_way
        self._longest_delay_share = parts.settings.return_limit_share
        self._clock = parts.clock
        self._random = parts.random
        self._room = parts.waiting_room
        self._load_control = parts.load_control
        self._share = share
        self._returning = RetryDetector(self._settings, parts.clock)
        self._books = {}
        self._broken_count = 0
        self._returns = metrics.counter(
            "gateway_returns",
            "Callers promised a place (told) or told the last moment (last_step); "
            "promises taken (kept) and not (broken), returns without (unpromised), and "
            "returns refused with one (refused_promised) and without (refused_again).",
            ("result",),
        )
        if self._settings.is_enabled:
            parts.choice.return_times = self
            self._room.returns = self

    def note_arrival(self, request):
        """Record a new request, and mark it if it is a return after a refusal.

        Sets ``is_return``, ``is_late`` and ``has_promise`` of the request.
        """
        left_s = request.facts.wait_limit_s
        request.is_return = self._returning.note(request.route.name, left_s)
        request.is_late = request.is_return and request.route.objective_s is not None
        if request.is_return:
            request.has_promise = self._has_booked_place(request)
            result = "kept" if request.has_promise else "unpromised"
            self._returns.labels(result).inc()
            _logger.event(
                "caller has come back",
                id=request.request_id,
                service=request.service_name,
                priority=request.priority,
                had_promise=request.has_promise,
                left_s=round(left_s, 3),
                booked_returns=self.booked_count(request.service_name),
            )
        self._count_broken()

    def retry_delay_s(self, request, cause, default_s):
        """Return how long a refused caller should wait, and book its return.

        Parameters
        ----------
        request : GatewayRequest
            The refused request.
        cause : siskinthread.load_control.BindingCause
            Why the request is refused.
        default_s : float
            Delay to use if no better estimate is available, seconds.

        Returns
        -------
        float
            Delay before the retry, seconds.
        """
        delay_s = self._decide_delay_s(request, cause, default_s)
        if not request.is_return:
            self._returning.note_told(delay_s)
        return delay_s

    def _decide_delay_s(self, request, cause, default_s):
        """Implement `retry_delay_s`, except for recording the announced delay."""
        usual_s = self._room.request_times.known_s(request.route.name)
        if (
            cause in SELF_SCHEDULED_CAUSES
            or cause is BindingCause.NO_TARGET
            or not usual_s
        ):
            return default_s
        expected_s = self._room.expected_left_s(request.service_name)
        if cause is BindingCause.OUTAGE and not expected_s:
            return default_s
        rate_per_s = self._share.rate_per_s(request.service_name, usual_s)
        book = self._book(request.service_name)
        if rate_per_s <= 0 or book is None:
            return default_s
        left_s = request.deadline.left_s()
        latest_s = left_s * self._longest_delay_share
        earliest_s = max(
            left_s * self._settings.told_least_share,
            expected_s * self._settings.outage_margin,
            self._returning.known_after_s(request.route.name, left_s),
        )
        promised_s = self._returning.promise_limit_s(
            request.route.name, left_s, latest_s
        )
        booked = None
        # A caller that has already retried does not retry again.
        if not request.is_return:
            booked = book.book(
                request.priority,
                earliest_s,
                promised_s,
                rate_per_s,
                self._in_time_per_s(request),
            )
        request.is_return_promised = booked is not None
        if booked is None:
            self._returns.labels("last_step").inc()
            return latest_s
        self._returns.labels("told").inc()
        delay_s = booked.begin_s + self._random.random() * self._settings.step_s
        return min(max(delay_s, earliest_s), promised_s)

    def note_refused(self, request):
        """Count the refusal of a request that is a return."""
        if request.is_return:
            result = "refused_promised" if request.has_promise else "refused_again"
            self._returns.labels(result).inc()

    def leaves_room(self, request):
        """Return whether a new request leaves enough slots for returns due now."""
        book = self._books.get(request.service_name)
        usual_s = self._room.request_times.known_s(request.route.name)
        if request.is_return or book is None or not usual_s:
            return True
        if self._late_gives_way and request.route.objective_s is not None:
            # Returns already miss their objective; the new request can still meet it.
            return True
        if not book.due_count(request.priority, self._settings.room_ahead_s):
            return True
        name = request.service_name
        return book.leaves_room(
            request.priority,
            self._share.free_count(name),
            self._share.ending_per_s(name, usual_s),
            usual_s,
        )

    def booked_count(self, service_name):
        """Return the number of booked returns of a service."""
        book = self._books.get(service_name)
        return 0 if book is None else book.booked_count()

    def _has_booked_place(self, request):
        """Return whether a return has a booked place that is due now."""
        book = self._books.get(request.service_name)
        if book is None:
            return False
        may_have = self._returning.may_have_promise(
            request.route.name, request.facts.wait_limit_s, self._longest_delay_share
        )
        return may_have and book.note_came(request.priority)

    def _in_time_per_s(self, request):
        """Return the rate of requests that a late return would delay, per second."""
        if not self._late_gives_way or request.route.objective_s is None:
            return 0.0
        return self._load_control.in_time_per_s(request.service_name, request.priority)

    def _book(self, service_name):
        book = self._books.get(service_name)
        if book is None and len(self._books) < self._settings.services_limit:
            book = RetrySchedule(self._settings, self._clock)
            self._books[service_name] = book
        return book

    def _count_broken(self):
        broken_count = sum(book.broken_count for book in self._books.values())
        self._returns.labels("broken").inc(broken_count - self._broken_count)
        self._broken_count = broken_count
