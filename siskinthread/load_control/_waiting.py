"""Decides which requests wait for a target, until when, and in which order.

All groups of a service may be down for some seconds (a failure domain that is cut off,
a release), or slots may be scarce for some seconds. A request that waits at the host is
served as soon as a group is usable again. A refusal would use up the only retry of the
caller, which may come before the end of the outage. A caller abandons a stream that
stays silent, so a longer wait has no benefit.
"""

import bisect
import enum
import itertools

from siskinthread.timing import Deadline


class WaitOrder(enum.Enum):
    """Which of the waiting requests of one priority goes first."""

    # The request that must start first to meet its deadline.
    LATEST_START = "latest_start"
    FIRST_COME = "first_come"
    NEWEST_FIRST = "newest_first"


class NoWait(enum.Enum):
    """Why a request does not wait."""

    DISABLED = "disabled"
    # The remaining time is too short for a wait and a response.
    TOO_LATE = "too_late"
    # The outage or shortage is expected to end too late for a response in time.
    NOT_IN_TIME = "not_in_time"
    # The queue is full.
    NO_PLACE = "no_place"


class WaitFacts:
    """Input of the decision whether a request waits.

    Parameters
    ----------
    is_stream : bool
        Whether its caller leaves if no event arrives.
    is_return : bool
        Whether the request is a retry after a refusal, with no further retry left.
    came_at_s : float
        Arrival time, monotonic seconds.
    deadline : siskinthread.timing.Deadline
        When its response is due.
    usual_s : float
        Mean time that a target takes for such a request, seconds.
    expected_left_s : float
        Expected rest of the outage or shortage, seconds from now.
    objective_s : float or None
        Latency objective of the response, seconds, if it limits the wait.
    is_late : bool
        Whether its response can't meet the objective any more.
    has_promise : bool
        Whether its caller was promised a slot for the retry.
    """

    __slots__ = (
        "came_at_s",
        "deadline",
        "expected_left_s",
        "has_promise",
        "is_late",
        "is_return",
        "is_stream",
        "objective_s",
        "usual_s",
    )

    def __init__(
        self, is_stream, is_return, came_at_s, deadline, usual_s, expected_left_s
    ):
        self.is_stream = is_stream
        self.is_return = is_return
        self.came_at_s = came_at_s
        self.deadline = deadline
        self.usual_s = usual_s
        self.expected_left_s = expected_left_s
        self.objective_s = None
        self.is_late = False
        self.has_promise = False

    @property
    def latest_start_at_s(self):
        """Latest start at a target that meets the deadline, monotonic seconds."""
        return self.deadline.at_s - self.usual_s


class WaitPolicy:
    """Decides whether a request waits, and until when.

    Parameters
    ----------
    settings : WaitingSettings
        Maximum waits.
    clock : siskinthread.timing.Clock
        Clock of the waits.
    """

    __slots__ = ("_clock", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock

    def decide(self, facts):
        """Return the `Deadline` of the wait for `WaitFacts`, or a `NoWait`.

        A retried request has no further retry, so a wait of uncertain outcome costs its
        caller nothing. Any other request is refused at once if the outage or shortage
        is expected to last too long.
        """
        settings = self._settings
        if not settings.is_enabled:
            return NoWait.DISABLED
        now_s = self._clock.monotonic_s()
        until_s = min(self._longest_until_s(facts), facts.latest_start_at_s)
        if until_s - now_s < settings.least_wait_s:
            return NoWait.TOO_LATE
        expected_end_s = now_s + facts.expected_left_s
        if not facts.is_return and expected_end_s > facts.latest_start_at_s:
            return NoWait.NOT_IN_TIME
        return Deadline(self._clock, until_s)

    def _longest_until_s(self, facts):
        """Return until when the caller waits without any event, monotonic seconds."""
        if facts.objective_s is not None:
            share = self._settings.urgent_wait_share
            return facts.came_at_s + share * facts.objective_s
        if facts.is_stream:
            return facts.came_at_s + self._settings.stream_wait_s
        had_s = facts.deadline.at_s - facts.came_at_s
        return facts.came_at_s + self._settings.wait_share * had_s


class Waiter:
    """A waiting request.

    Parameters
    ----------
    service_name : str
        Service of the request.
    priority : int
        Rank of the request, 0 first.
    facts : WaitFacts
        State at the start of the wait.
    until : siskinthread.timing.Deadline
        When the request is refused.
    """

    __slots__ = ("facts", "key", "priority", "service_name", "until")

    def __init__(self, service_name, priority, facts, until):
        self.service_name = service_name
        self.priority = priority
        self.facts = facts
        self.until = until
        # Sort key, set by the queue.
        self.key = None


class WaitQueue:
    """The waiting requests, by service and in their order.

    Parameters
    ----------
    settings : WaitingSettings
        The order, and the maximum number of waiting requests.
    late_gives_way : bool
        Whether requests that can still meet their objective go before those that can't.
    """

    __slots__ = (
        "_count",
        "_late_gives_way",
        "_numbers",
        "_order",
        "_settings",
        "_waiters",
    )

    def __init__(self, settings, late_gives_way=False):
        self._late_gives_way = late_gives_way
        self._settings = settings
        self._order = WaitOrder(settings.order)
        self._numbers = itertools.count()
        self._waiters = {}
        self._count = 0

    def __len__(self):
        return self._count

    def has_place(self):
        """Return whether one more request may wait."""
        return self._count < self._settings.places_limit

    def join(self, waiter):
        """Add a waiter, and set its sort key."""
        waiter.key = self.key(waiter.priority, waiter.facts, next(self._numbers))
        waiters = self._waiters.setdefault(waiter.service_name, [])
        bisect.insort(waiters, waiter, key=lambda waiter: waiter.key)
        self._count += 1

    def leave(self, waiter):
        """Remove a waiter that has joined."""
        waiters = self._waiters[waiter.service_name]
        waiters.remove(waiter)
        self._count -= 1
        if not waiters:
            del self._waiters[waiter.service_name]

    def services(self):
        """Return the names of the services with waiting requests."""
        return list(self._waiters)

    def ordered(self, service_name):
        """Return the waiters of a service in their order."""
        return list(self._waiters.get(service_name, ()))

    def ahead_count(self, service_name, priority, facts):
        """Return how many requests of a service go before a new one."""
        waiters = self._waiters.get(service_name)
        if not waiters:
            return 0
        key = self.key(priority, facts, next(self._numbers))
        return bisect.bisect_left(waiters, key, key=lambda waiter: waiter.key)

    def key(self, priority, facts, number):
        """Return the sort key of a request.

        The order is by priority, then by promise (callers with a promised slot first),
        then, if late requests give way, requests that can meet their objective before
        late ones, then retries before first attempts. The number, in order of joining,
        makes keys unique.
        """
        rank = number
        if self._order is WaitOrder.LATEST_START:
            rank = facts.latest_start_at_s
        elif self._order is WaitOrder.NEWEST_FIRST:
            rank = -number
        is_behind = self._late_gives_way and facts.is_late and not facts.has_promise
        return (
            priority,
            not facts.has_promise,
            is_behind,
            not facts.is_return,
            rank,
            number,
        )
