"""One attempt: a request at one target, until its answer is complete or fails."""

import enum

import curio

from siskinthread.errors import ConnectionLostError, TargetError, TargetSilentError
from siskinthread.gateway._answer_framing import ends_with_connection
from siskinthread.gateway._event_stream import EVENT_STREAM_TYPE, EventSplitter
from siskinthread.gateway._stream_progress import StreamProgress
from siskinthread.gateway._target_connection import LATE_READING_S
from siskinthread.gateway._target_end import has_ended
from siskinthread.target_limits import FREE_PERMIT
from siskinthread.timing import Deadline

STATUS_OK = 200
# Callers take these statuses as a guarantee that the request has not run and never
# will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
FIRST_SERVER_ERROR = 500
SUCCESS_STATUSES = range(200, 300)


class AttemptResult(enum.Enum):
    """Result of an attempt."""

    # The complete answer was received.
    ANSWERED = "answered"
    # The complete answer was received and is a server error.
    FAILED = "failed"
    # No byte of the request was sent.
    UNREACHABLE = "unreachable"
    # The target states that it did not and will not run the request.
    DECLINED = "declined"
    # The request was sent and may have run; the answer is missing or incomplete.
    LOST = "lost"
    # The stream was abandoned here to continue at another target.
    LEFT = "left"
    # Not sent: after the choice, the target requested back-off or announced that it
    # leaves, its quota while cold was used up, or its failure domain was evacuated.
    WITHHELD = "withheld"

    @property
    def is_not_run(self):
        """Whether the request definitely did not run at the target."""
        return self in (
            AttemptResult.UNREACHABLE,
            AttemptResult.DECLINED,
            AttemptResult.WITHHELD,
        )


class WholeAnswer:
    """A complete answer, buffered in memory.

    Parameters
    ----------
    head : siskinthread.outcomes.Head
        Status and headers.
    body : bytes
        The whole body.
    """

    __slots__ = ("body", "head")

    def __init__(self, head, body):
        self.head = head
        self.body = body


class Attempt:
    """A request at one target.

    Parameters
    ----------
    parts : GatewayParts
        State that all requests share.
    request : GatewayRequest
        The request.
    entry : TargetEntry
        The target.
    reply : Reply
        Writes the answer to the caller.
    should_migrate : callable
        Called with this attempt after each event of a stream; returns whether the
        stream should continue at another target.
    permit : object
        Permit from `siskinthread.target_limits.ColdTargets`; released at the end of the
        attempt.

    Attributes
    ----------
    result : AttemptResult or None
        Result, once it is known.
    answer : WholeAnswer or None
        The answer; None for streams and for answers too large to buffer.
    reason : str
        Why the attempt failed, for the log.
    written : bool
        Whether any byte of the request was sent.
    sent_at_s : float or None
        Start of sending, monotonic seconds.
    load_when_chosen : int
        Known load of the target when it was chosen, requests.
    list_age_s : float or None
        Age of the target list when the target was chosen, seconds.
    idle_before_s : float or None
        How long the connection was idle before this attempt, seconds; None for a new
        connection.
    is_success : bool
        Whether the answer has a 2xx status.
    is_broken_off : bool
        Whether the target's side ended the exchange, as opposed to a time-out.
    has_target_ended : bool or None
        Whether the target had stopped listening after a broken exchange; None if that
        was not checked.
    is_stale : bool
        Whether a kept connection was closed before the answer.  The target has probably
        closed it after its idle time-out, so this is not counted as its failure.
    is_unacknowledged : bool
        Whether the exchange was lost because the target's host acknowledged no data.
    is_group_fault : bool
        Whether the target declined because of another rank of its group.
    has_head : bool
        Whether the head of the answer was received.
    first_event_at_s : float or None
        Arrival of the first event of a stream, monotonic seconds.
    has_free_slots : bool
        Whether the target has free slots according to its answer.
    backoff_asked_s : float
        Back-off that the target requested, seconds.
    says_leaving : bool
        Whether the target announced that it leaves.
    """

    __slots__ = (
        "_connection",
        "_budget_share",
        "_parts",
        "_permit",
        "_reply",
        "_request",
        "_running",
        "_should_migrate",
        "answer",
        "entry",
        "first_event_at_s",
        "has_free_slots",
        "has_head",
        "has_target_ended",
        "is_broken_off",
        "is_group_fault",
        "is_stale",
        "is_success",
        "is_unacknowledged",
        "list_age_s",
        "load_when_chosen",
        "reason",
        "backoff_asked_s",
        "idle_before_s",
        "result",
        "says_leaving",
        "sent_at_s",
        "written",
    )

    def __init__(
        self, parts, request, entry, reply, should_migrate, permit=FREE_PERMIT
    ):
        self._permit = permit
        self._should_migrate = should_migrate
        self._parts = parts
        self._request = request
        self._reply = reply
        self._connection = None
        self._budget_share = parts.answers.share()
        self._running = None
        self.entry = entry
        self.result = None
        self.answer = None
        self.reason = ""
        self.written = False
        self.has_head = False
        self.first_event_at_s = None
        self.has_target_ended = None
        self.is_broken_off = False
        self.is_success = False
        self.is_group_fault = False
        self.is_stale = False
        self.is_unacknowledged = False
        self.has_free_slots = True
        self.backoff_asked_s = 0.0
        self.says_leaving = False
        self.load_when_chosen = parts.loads.total(entry.instance_id)
        self.list_age_s = parts.targets.age_s()
        self.idle_before_s = None
        self.sent_at_s = None

    async def run(self):
        """Send the request and receive its answer; sets `result`."""
        self._parts.loads.started(self.entry.instance_id)
        self._running = self._parts.load_control.started(self._request, self.entry)
        try:
            await self._exchange()
        except ConnectionLostError as error:
            self.is_broken_off = True
            self._fail(str(error))
        except TargetError as error:
            self.written = True
            self.is_broken_off = not isinstance(error, TargetSilentError)
            self._fail(str(error))
        finally:
            # A connection that is still set here has not finished its exchange.
            # Aborting it also signals the target that the answer is not needed.
            connection, self._connection = self._connection, None
            self._parts.sends.ended(connection)
            if connection is not None:
                self.written = self.written or connection.written
                await connection.abort()
            self._permit.release()
            self._parts.loads.ended(self.entry.instance_id)
            self._running.ended(
                self.result is AttemptResult.ANSWERED and self.is_success,
                self._has_target_failed(),
            )

    def _has_target_failed(self):
        """Return whether the target failed the request, as opposed to a time-out."""
        if self.result is AttemptResult.LOST:
            return self.is_broken_off and not self.is_stale
        return self.result is AttemptResult.FAILED

    def written_s(self):
        """Return the time since the first event of a stream, seconds; 0 before it."""
        if self.first_event_at_s is None:
            return 0.0
        return self._parts.clock.monotonic_s() - self.first_event_at_s

    def release(self):
        """Release the memory budget of the answer, which is written now or dropped."""
        self._budget_share.release()

    def _fail(self, reason):
        connection = self._connection
        if connection is not None:
            self.written = self.written or connection.written
            self.is_unacknowledged = connection.is_unacknowledged
            is_kept = connection.was_used and not self.has_head
            self.is_stale = is_kept and not self.is_unacknowledged
        if self.result is AttemptResult.DECLINED:
            # The head already states it; a missing rest of the body does not matter.
            return
        self.reason = reason
        self.result = AttemptResult.LOST if self.written else AttemptResult.UNREACHABLE

    async def _exchange(self):
        request = self._request
        parts = self._parts
        self._connection = connection = await parts.pool.take(
            self.entry, request.kind.is_repeatable, request.deadline
        )
        self.idle_before_s = connection.idle_before_s
        if not self._may_be_sent():
            self.result = AttemptResult.WITHHELD
            return
        self.sent_at_s = sent_at_s = parts.clock.monotonic_s()
        parts.sends.began(connection)
        headers = parts.wire.target_headers(
            request, self.entry, self._reply.last_event_id
        )
        await connection.send_request(
            request.head.method,
            request.head.target,
            headers,
            request.body,
            request.deadline,
            self._permit.written,
        )
        self.written = True
        head = await connection.receive_head(request.deadline, self._is_awaited)
        self.has_head = True
        self.is_success = head.status in SUCCESS_STATUSES
        facts = parts.wire.read_answer(head)
        if not facts.is_other_instance:
            self._note_statements(facts, sent_at_s)
        if facts.not_run:
            await self._receive_decline(facts)
        elif _is_event_stream(head):
            await self._relay_events(head)
        else:
            await self._receive_whole(head)
        if self.result not in (AttemptResult.LOST, AttemptResult.LEFT):
            self._connection = None
            parts.sends.ended(connection)
            await self._return_connection(connection, facts)

    def _may_be_sent(self):
        """Return whether the target may still get the request; else set `reason`.

        While a connection is opened, answers to other requests may change this.
        """
        parts = self._parts
        instance_id = self.entry.instance_id
        if parts.evacuations.is_evacuated(self.entry.failure_domain):
            parts.measures.withheld_at_write()
            self.reason = "its failure domain was evacuated since it was chosen"
            return False
        if parts.backoffs.is_backed_off(instance_id) or parts.targets.has_left(
            instance_id
        ):
            self.reason = "the target wants no more requests since it was chosen"
            return False
        if not self._permit.may_be_written():
            self.reason = "the target is cold, and this host's quota of it is used"
            return False
        return True

    def _note_statements(self, facts, sent_at_s):
        """Record what the headers of the answer state about the target."""
        parts = self._parts
        self.backoff_asked_s = facts.stated_backoff.wait_s
        self.says_leaving = facts.is_leaving
        if facts.load is not None:
            self.has_free_slots = facts.load.running < facts.load.slot_count
            parts.loads.report(self.entry.instance_id, facts.load)
        parts.limits.note_answer(self.entry, sent_at_s, facts.stated_limit)
        parts.backoffs.note_answer(self.entry, sent_at_s, facts.stated_backoff)
        parts.cold.note_answer(self.entry, facts.cold_left_s)
        parts.note_demands(self.entry, facts)

    def _is_awaited(self, head):
        facts = self._parts.wire.read_answer(head)
        return facts.request_id == self._request.request_id

    async def _return_connection(self, connection, facts):
        if facts.closes:
            await connection.close()
        else:
            await self._parts.pool.give_back(self.entry, connection, facts.keep_alive_s)

    async def _receive_decline(self, facts):
        self.reason = "declined"
        if facts.is_other_instance:
            self.reason = "another instance listens there"
            self._parts.targets.note_leaving(self.entry.instance_id, "its successor")
        self.is_group_fault = facts.is_group_fault
        self.result = AttemptResult.DECLINED
        self._parts.load_control.note_declined(self._request, facts.load)
        # Without the rest the connection can't be kept, which is all that is lost.
        limit_s = min(
            self._parts.settings.decline_limit_s, self._request.deadline.left_s()
        )
        deadline = Deadline.after(self._parts.clock, limit_s)
        while await self._connection.receive_data(deadline) is not None:
            pass

    async def _receive_whole(self, head):
        if head.status in NOT_RUN_STATUSES:
            # Passed on, the status would tell the caller that the request did not run,
            # which the target does not state.
            self._mark_lost(f"status {head.status} of a request that may have run")
            return
        if self._reply.has_begun:
            self._mark_lost(f"status {head.status} instead of the rest of a stream")
            return
        connection = self._connection
        limit_bytes = self._parts.settings.whole_answer_limit_bytes
        chunks = []
        size_bytes = 0
        while True:
            data = await connection.receive_data(self._request.deadline)
            if data is None:
                break
            chunks.append(data)
            size_bytes += len(data)
            if size_bytes > limit_bytes or not self._budget_share.take(len(data)):
                self._budget_share.release()
                await self._relay_large(head, chunks)
                return
        if await self._ended_with_target(head):
            return
        self.answer = WholeAnswer(head, b"".join(chunks))
        failed = head.status >= FIRST_SERVER_ERROR
        self.result = AttemptResult.FAILED if failed else AttemptResult.ANSWERED
        if failed:
            self.reason = f"status {head.status}"

    async def _relay_large(self, head, chunks):
        """Pass on an answer that is too large to buffer."""
        await self._reply.begin(head)
        for data in chunks:
            await self._write_in_time(data)
        while True:
            data = await self._connection.receive_data(self._request.deadline)
            if data is None:
                break
            await self._write_in_time(data)
        if await self._ended_with_target(head):
            return
        await self._reply.end()
        self.result = AttemptResult.ANSWERED

    async def _write_in_time(self, data):
        """Pass on a piece of an answer that may have no end.

        Without a limit, a caller that reads slowly would keep such an answer going: the
        connection is read again only after each write.
        """
        if self._connection.states_length:
            await self._reply.write(data)
            return
        limit_s = self._request.deadline.left_s() + LATE_READING_S
        try:
            await curio.timeout_after(limit_s, self._reply.write, data)
        except curio.TaskTimeout as error:
            raise TargetSilentError("the answer went on past the limit") from error

    async def _relay_events(self, head):
        """Pass on the events of a stream as they arrive, complete events only."""
        progress = StreamProgress(
            self._parts.progress,
            self._parts.choice.group_of(self.entry.instance_id),
            self.entry.instance_id,
        )
        try:
            await self._relay_stream(head, progress)
        finally:
            progress.end()

    async def _relay_stream(self, head, progress):
        splitter = EventSplitter()
        while True:
            data = await self._connection.receive_data(self._request.deadline)
            if data is None:
                break
            events = splitter.take(data)
            if len(splitter.rest) > self._parts.settings.event_limit_bytes:
                self._mark_lost("an event exceeds its size limit")
                self.is_broken_off = True
                return
            if not self._budget_share.hold(len(splitter.rest)):
                self._mark_lost("no memory is left for the rest of an event")
                return
            if events is None:
                continue
            if not self._continues(events):
                self._mark_lost("the events have a gap")
                return
            if not self._reply.has_begun:
                await self._reply.begin(head)
            if self.first_event_at_s is None:
                self.first_event_at_s = self._parts.clock.monotonic_s()
            progress.event_came()
            self._parts.waiting_room.note_served(self.entry.service_name)
            self._running.events_came(events.count)
            await self._reply.write_events(events)
            if self._should_migrate(self):
                self.reason = "the target is slow"
                self.result = AttemptResult.LEFT
                return
        if splitter.rest:
            self._mark_lost("the stream ended within an event")
            self.is_broken_off = True
            return
        if await self._ended_with_target(head):
            return
        if not self._reply.has_begun:
            await self._reply.begin(head)
        await self._reply.end()
        self.result = AttemptResult.ANSWERED

    async def _ended_with_target(self, head):
        """Return whether an answer delimited by connection close is incomplete.

        The kernel closes the connections of an ended process in the regular way, so a
        truncated answer looks complete.  A target that leaves as planned completes its
        answers first.
        """
        if not ends_with_connection(head):
            return False
        if self.says_leaving or not self._parts.targets.is_serving(
            self.entry.instance_id
        ):
            return False
        if not await has_ended(self.entry, self._parts.settings):
            return False
        self._mark_lost("the target ended with an answer that has no length")
        self.is_broken_off = True
        return True

    def _mark_lost(self, reason):
        self.reason = reason
        self.result = AttemptResult.LOST

    def _continues(self, events):
        """Return whether events directly follow those already sent to the caller."""
        last_id = self._reply.last_event_id
        if not events.is_gapless:
            return False
        if events.first_id is None or last_id is None:
            return True
        return events.first_id == last_id + 1


def _is_event_stream(head):
    if head.status != STATUS_OK:
        return False
    for name, value in head.headers:
        if name == "content-type":
            return value.lower().startswith(EVENT_STREAM_TYPE)
    return False
