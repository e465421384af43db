"""Sends orders and queries to all ranks of one group concurrently."""

from functools import singledispatch

import curio

from siskinthread.errors import TargetError
from siskinthread.group_maps._order_timing import (
    AttemptSchedule,
    COUNTS,
    HELD_EXPERTS,
    OrderTimeouts,
    REPORT,
)
from siskinthread.group_maps._orders import OrderResult, Prepare
from siskinthread.group_maps._repeats import AttemptCounts, retry_allowance_s
from siskinthread.timing import SYSTEM_CLOCK

# Size of the HTTP head and the fields of an order without a map.
SMALL_ORDER_BYTES = 300
# Size of an expert number with its share of the brackets, at three slots per rank.
HELD_EXPERT_BYTES = 5
# An attempt that fails without a response within this part of its timeout counts as a
# refused connection.
EARLY_FAILURE_SHARE = 0.9
# A wait that overruns its timeout by this much shows that this process was not
# scheduled. The order may have been sent only then, so the attempt says nothing about
# the rank.
SCHEDULING_DELAY_S = 0.01


class GroupRanks:
    """The ranks of one group.

    Parameters
    ----------
    clients : list of object
        One for each rank, in rank order, with ``async report(wait_s)``, ``async
        counts(wait_s)``, ``async held_experts(wait_s)`` and ``async order(order,
        wait_s)``, which returns an `OrderResult`.  The first three raise `TargetError`
        without a response.
    settings : GroupMapSettings
        Timeouts and limits of attempts.
    clock : siskinthread.timing.Clock
        Clock for the response times.
    measures : MapMeasures, optional
        Metrics.

    Attributes
    ----------
    attempts : AttemptCounts
        Counts of all attempts to send orders so far.
    """

    __slots__ = ("_clock", "_measures", "_settings", "_timeouts", "clients", "attempts")

    def __init__(self, clients, settings, clock=SYSTEM_CLOCK, measures=None):
        self.clients = clients
        self.attempts = AttemptCounts()
        self._settings = settings
        self._clock = clock
        self._measures = measures
        self._timeouts = OrderTimeouts(settings)

    def retry_allowance_s(self, earlier):
        """Return the time to allow for retries of arming all ranks and of a release.

        Parameters
        ----------
        earlier : AttemptCounts
            Counts at the start of the period over which the share of unanswered
            attempts is taken.

        Returns
        -------
        float
            Seconds; 0 if all attempts since then were answered.
        """
        ranks = range(len(self.clients))
        timeouts_s = [self._timeouts.retry_s(rank) for rank in ranks]
        share = self.attempts.unanswered_share(earlier)
        return retry_allowance_s(len(ranks), share, sum(timeouts_s) / len(ranks))

    async def reports(self, ranks=None):
        """Return the `RankReport` of every rank, or of selected ranks.

        Parameters
        ----------
        ranks : iterable of int, optional
            Numbers of the ranks to query; all by default.

        Raises
        ------
        TargetError
            If any of the ranks does not respond.
        """
        ranks = range(len(self.clients)) if ranks is None else ranks
        return await self._query_all(REPORT, ranks)

    async def held_experts(self):
        """Return the `HeldExperts` of every rank; raises like `reports`."""
        return await self._query_all(HELD_EXPERTS, range(len(self.clients)))

    async def counts(self, rank):
        """Return the `RankCounts` of a rank.

        Raises
        ------
        TargetError
            If the rank does not respond.
        """
        return await self._query(COUNTS, rank)

    async def send(self, rank, order, link=None):
        """Send an order, with retries, until the rank responds.

        Parameters
        ----------
        rank : int
            Number of the rank.
        order : object
            The order.
        link : SharedLink, optional
            The host's link, if other orders are sent over it at the same time.

        Returns
        -------
        OrderResult
            ``UNKNOWN`` if no attempt was answered.

        Notes
        -----
        An order whose response was lost may have been carried out.  Orders are
        idempotent, so it is sent again.
        """
        schedule = AttemptSchedule(self._settings)
        wait_s = schedule.next_wait_s(self._timeouts.first_s(rank))
        extra_s = 0.0 if link is None else link.all_s
        is_retry = False
        while wait_s is not None:
            limit_s = wait_s + extra_s
            result, took_s = await self._attempt(rank, order, limit_s, is_retry)
            if result is not OrderResult.UNKNOWN:
                if took_s <= limit_s:
                    connecting_s = took_s / 2 if is_retry else 0.0
                    self._timeouts.note_order(rank, took_s, extra_s + connecting_s)
                return result
            if took_s < EARLY_FAILURE_SHARE * limit_s:
                schedule.failed_early(wait_s)
            is_retry = True
            extra_s = 0.0 if link is None else link.busy_s()
            timeout_s = self._timeouts.retry_s(rank)
            if took_s > limit_s + SCHEDULING_DELAY_S:
                timeout_s = self._settings.order_wait_s
            wait_s = schedule.next_wait_s(timeout_s)
        self._timeouts.note_unresponsive(rank)
        return OrderResult.UNKNOWN

    async def _attempt(self, rank, order, limit_s, is_retry):
        """Send an order once; return its `OrderResult` and the elapsed time."""
        sent_s = self._clock.monotonic_s()
        result = await self.clients[rank].order(order, limit_s)
        took_s = self._clock.monotonic_s() - sent_s
        is_delayed = took_s > limit_s + SCHEDULING_DELAY_S
        self.attempts.note(is_retry, result is OrderResult.UNKNOWN, is_delayed)
        if self._measures is not None:
            self._measures.note_attempt(order, is_retry)
            if result is not OrderResult.UNKNOWN:
                self._measures.note_response(took_s)
        return result, took_s

    async def send_all(self, orders, on_accepted=None):
        """Send each rank its order concurrently; return the results by rank.

        Parameters
        ----------
        orders : dict of int to order
            Orders by rank.
        on_accepted : callable, optional
            Called with the number of a rank as soon as it has accepted its order.
        """
        # Either all ranks get the same order, or the orders are small.
        largest_bytes = max(map(order_size_bytes, set(orders.values())), default=0)
        link = SharedLink(largest_bytes, len(orders), self._settings.send_rate_bytes_s)
        tasks = {
            rank: await curio.spawn(
                self._send_one, rank, order, link, on_accepted, daemon=True
            )
            for rank, order in orders.items()
        }
        return {rank: await task.join() for rank, task in tasks.items()}

    async def _send_one(self, rank, order, link, on_accepted):
        result = await self.send(rank, order, link)
        link.order_ended()
        if on_accepted is not None and result is OrderResult.TAKEN:
            on_accepted(rank)
        return result

    async def _query_all(self, kind, ranks):
        tasks = [
            await curio.spawn(self._response_or_error, kind, rank, daemon=True)
            for rank in ranks
        ]
        answers = [await task.join() for task in tasks]
        for answer in answers:
            if isinstance(answer, TargetError):
                raise answer
        return answers

    async def _response_or_error(self, kind, rank):
        try:
            return await self._query(kind, rank)
        except TargetError as error:
            return error

    async def _query(self, kind, rank):
        """Query a rank, with a retry if it does not respond in time."""
        waits_s = self._timeouts.query_timeouts_s(rank, kind)
        while True:
            wait_s = waits_s.pop(0)
            asked_s = self._clock.monotonic_s()
            try:
                answer = await getattr(self.clients[rank], kind)(wait_s)
            except TargetError:
                took_s = self._clock.monotonic_s() - asked_s
                if took_s < EARLY_FAILURE_SHARE * wait_s:
                    raise
                if not waits_s:
                    self._timeouts.note_unresponsive_to_query(rank)
                    raise
                continue
            took_s = self._clock.monotonic_s() - asked_s
            if took_s <= wait_s:
                self._timeouts.note_query(rank, kind, took_s)
            return answer


class SharedLink:
    """Time that the host's link needs to send an order to many ranks.

    Parameters
    ----------
    order_bytes : int
        Size of the order, bytes.
    order_count : int
        Number of ranks that the order is sent to.
    rate_bytes_s : float
        Rate of the link, bytes per second.

    Attributes
    ----------
    all_s : float
        Time to send the order to all ranks, seconds.
    """

    __slots__ = ("_order_s", "_waiting_count", "all_s")

    def __init__(self, order_bytes, order_count, rate_bytes_s):
        self._order_s = order_bytes / rate_bytes_s
        self._waiting_count = order_count
        self.all_s = self.busy_s()

    def busy_s(self):
        """Return how long unanswered orders may keep the link busy, seconds."""
        return self._order_s * self._waiting_count

    def order_ended(self):
        """Record that an order was answered or abandoned."""
        self._waiting_count -= 1


@singledispatch
def order_size_bytes(order):
    """Return the approximate size of an order on the wire, bytes."""
    return SMALL_ORDER_BYTES


@order_size_bytes.register
def _(order: Prepare):
    held_count = sum(
        len(experts) for ranks in order.group_map.holdings for experts in ranks
    )
    return SMALL_ORDER_BYTES + held_count * HELD_EXPERT_BYTES
