"""One attempt of a request at one agent, from the side of the request task."""

from siskinthread.errors import ProtocolError
from siskinthread.links._outbox import frames_of
from siskinthread.links._waiting import ExchangeWaiter
from siskinthread.outcomes import End, Head, Outcome, Part, Reason
from siskinthread.wire import Acknowledge, CancelRequest, Frame, ResumeRequest

ACKNOWLEDGE_DIVISOR = 4
MAX_UNCONSUMED_WINDOWS = 2


class Exchange:
    """One attempt: sends a request and yields the events of its response.

    Parameters
    ----------
    link : Link
        The link that carries the attempt.
    start_request : StartRequest
        The request, complete except for its time left.
    deadline : Deadline
        When the whole answer must have arrived.
    """

    __slots__ = (
        "_acknowledge_step_bytes",
        "_acknowledged_bytes",
        "_chunks",
        "_end",
        "_gap_offset_bytes",
        "_head",
        "_link",
        "_start_request",
        "_consumed_bytes",
        "_window_bytes",
        "rest_requested",
        "attempt",
        "deadline",
        "head_received",
        "waiter",
        "received_bytes",
        "request_id",
        "sent_to_incarnation",
        "service_name",
        "waits_for_home",
    )

    def __init__(self, link, start_request, deadline):
        self._link = link
        self._start_request = start_request
        self._window_bytes = start_request.window_bytes
        self._acknowledge_step_bytes = self._window_bytes // ACKNOWLEDGE_DIVISOR
        self._head = None
        self._chunks = []
        self._end = None
        self._consumed_bytes = 0
        self._acknowledged_bytes = 0
        self._gap_offset_bytes = None
        self.attempt = start_request.attempt
        self.request_id = start_request.request_id
        self.service_name = start_request.service_name
        self.waits_for_home = start_request.idempotency_key is not None
        self.deadline = deadline
        self.sent_to_incarnation = None
        self.head_received = False
        self.received_bytes = 0
        self.rest_requested = False
        self.waiter = ExchangeWaiter()

    @property
    def written(self):
        """Whether the start frame was passed to a connection, even if only partly."""
        return self.sent_to_incarnation is not None

    @property
    def ended(self):
        """Whether the outcome is known; `next_event` may still return other events."""
        return self._end is not None

    async def next_event(self):
        """Wait for the next event of the response.

        The bytes of parts that were returned earlier count as consumed and are
        acknowledged to the agent.

        Returns
        -------
        Head, Part or End
            After `End`, every call returns the same `End`.
        """
        unacknowledged_bytes = self._consumed_bytes - self._acknowledged_bytes
        if unacknowledged_bytes >= self._acknowledge_step_bytes and not self._end:
            await self._link.send(Frame(acknowledge=self._make_acknowledge()))
        while True:
            if self._head is not None:
                head, self._head = self._head, None
                return head
            if self._chunks:
                return self._next_part()
            if self._end is not None:
                return self._end
            await self.waiter.wait()

    async def cancel(self):
        """Cancel the attempt at the agent, unless it has ended."""
        if not self.ended:
            await self._link.abandon(self, self.aborted_end(Reason.CANCELLED))

    async def expire(self, deadline):
        """End the exchange because its deadline passed."""
        if self.ended:
            self._link.forget_cancelled(self)
        else:
            await self._link.abandon(self, self.aborted_end(Reason.DEADLINE_PASSED))

    def finish(self, end):
        """Set the outcome; the caller wakes the request task."""
        self._end = end
        self._start_request = None

    def receive_head(self, head):
        """Store a `ResponseHead`.

        Returns
        -------
        bool
            False if the head had already been received.

        Raises
        ------
        ProtocolError
            If the status, or a header's name or value, is missing.
        """
        if self.head_received:
            return False
        headers = [(header.name, header.value) for header in head.headers or ()]
        if head.status is None or any(None in header for header in headers):
            raise ProtocolError("ResponseHead without status or with incomplete header")
        self._head = Head(head.status, headers)
        self.head_received = True
        return True

    def receive_part(self, part):
        """Store the new bytes of a `ResponsePart`.

        Returns
        -------
        bool
            False if all of its bytes had already been received.

        Raises
        ------
        ProtocolError
            If earlier bytes or the head are missing, or if the unconsumed bytes exceed
            `MAX_UNCONSUMED_WINDOWS` windows.
        """
        data = part.data
        if data is None or part.offset_bytes is None:
            raise ProtocolError("ResponsePart without data or offset")
        repeated_bytes = self.received_bytes - part.offset_bytes
        if repeated_bytes < 0 or not self.head_received:
            raise ProtocolError(f"attempt {self.attempt} has a gap in its response")
        if repeated_bytes:
            data = data[repeated_bytes:]
        if not data:
            return False
        self.received_bytes += len(data)
        unconsumed_bytes = self.received_bytes - self._consumed_bytes
        if unconsumed_bytes > MAX_UNCONSUMED_WINDOWS * self._window_bytes:
            raise ProtocolError(f"attempt {self.attempt} exceeded its window")
        self._chunks.append(data)
        return True

    def discard_unconsumed(self):
        """Discard the bytes that were not consumed; the agent still has them.

        Notes
        -----
        Called before the exchange is resumed.  If it were resumed from the last byte
        received, the agent would count all received bytes as consumed and send another
        window: each new connection would add a window to the memory that is used for a
        request task that consumes nothing.
        """
        self._chunks = []
        self.received_bytes = self._consumed_bytes

    def note_gap(self):
        """Record a gap and return whether the previous gap was at the same offset."""
        repeats = self._gap_offset_bytes == self.received_bytes
        self._gap_offset_bytes = self.received_bytes
        return repeats

    def is_complete(self, length_bytes):
        """Return whether the head and all `length_bytes` of the body were received."""
        return self.head_received and self.received_bytes == length_bytes

    def cancel_frame(self):
        """Return the frame that cancels the attempt at the agent."""
        return Frame(
            cancel=CancelRequest(attempt=self.attempt, request_id=self.request_id)
        )

    def finished_frame(self):
        """Return the frame that lets the agent forget the attempt."""
        return Frame(
            acknowledge=Acknowledge(
                attempt=self.attempt,
                received_bytes=self.received_bytes,
                finished=True,
            )
        )

    def resume_frames(self):
        """Return the frames that request the rest of the response.

        Notes
        -----
        The acknowledgement repeats the last acknowledgement, which may have been lost
        with the connection.  Without the repetition the agent would wait for ever with
        a full window, since this side has consumed all bytes and would not acknowledge
        again.
        """
        resume = ResumeRequest(
            attempt=self.attempt,
            request_id=self.request_id,
            sent_to_incarnation=self.sent_to_incarnation,
            head_received=self.head_received,
            offset_bytes=self.received_bytes,
            window_bytes=self._window_bytes,
            time_left_ms=self.deadline.left_ms(),
            service_name=self.service_name,
        )
        return [Frame(resume=resume), Frame(acknowledge=self._make_acknowledge())]

    def start_frames(self, incarnation):
        """Return the frames that start the request, and mark it as written."""
        self.sent_to_incarnation = incarnation
        self._start_request.time_left_ms = self.deadline.left_ms()
        return [Frame(start=self._start_request)]

    def aborted_end(self, reason):
        """Return the end of an exchange that this side aborts."""
        if not self.written:
            return End(Outcome.REFUSED_NOT_RUN, reason, "The request was not sent.")
        if self.head_received:
            return End(Outcome.FAILED_RAN, reason, "The answer is incomplete.")
        return End(Outcome.UNKNOWN, reason, "There was no answer in time.")

    def unreachable_end(self):
        """Return the end of an exchange whose agent can't be reached."""
        if self.written:
            return End(
                Outcome.UNKNOWN, Reason.AGENT_UNREACHABLE, "The agent is unreachable."
            )
        return End(
            Outcome.REFUSED_NOT_RUN,
            Reason.TARGET_UNREACHABLE,
            "The agent is unreachable; the request was not sent.",
        )

    def _make_acknowledge(self):
        self._acknowledged_bytes = self._consumed_bytes
        return Acknowledge(
            attempt=self.attempt, received_bytes=self._consumed_bytes, finished=False
        )

    def _next_part(self):
        chunks = self._chunks
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._chunks = []
        part = Part(self._consumed_bytes, data)
        self._consumed_bytes += len(data)
        return part


@frames_of.register
def _(item: Exchange, incarnation):
    if item.ended:
        return []
    if item.written:
        return item.resume_frames()
    if item.deadline.passed():
        # The exchange is about to end as not run, so its start frame must not be sent.
        return []
    return item.start_frames(incarnation)
