"""One attempt of a request at one agent, as its request task sees it."""

from siskinthread.errors import ProtocolError
from siskinthread.links._outbox import frames_of
from siskinthread.links._waiting import WaitingPlace
from siskinthread.outcomes import End, Head, Outcome, Part, Reason
from siskinthread.wire import Acknowledge, CancelRequest, Frame, ResumeRequest

ACKNOWLEDGE_DIVISOR = 4
WINDOWS_HELD = 2


class Exchange:
    """One attempt: a request out, the events of its response back.

    Parameters
    ----------
    link : Link
        The link that carries the attempt.
    start_request : StartRequest
        The request; complete but for its time left.
    deadline : Deadline
        When the answer must be there.
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
        "_taken_bytes",
        "_window_bytes",
        "asked_for_rest",
        "attempt",
        "deadline",
        "head_received",
        "place",
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
        self._taken_bytes = 0
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
        self.asked_for_rest = False
        self.place = WaitingPlace()

    @property
    def written(self):
        """Whether the start frame was handed to a connection, even partly."""
        return self.sent_to_incarnation is not None

    @property
    def ended(self):
        """Whether the outcome is known; events may still wait to be taken."""
        return self._end is not None

    async def next_event(self):
        """Wait for the next event of the response.

        The bytes of parts that were returned earlier count as handed on, and are
        acknowledged to the agent.

        Returns
        -------
        Head, Part or End
            After `End`, the same `End` again.
        """
        unacknowledged_bytes = self._taken_bytes - self._acknowledged_bytes
        if unacknowledged_bytes >= self._acknowledge_step_bytes and not self._end:
            await self._link.send(Frame(acknowledge=self._acknowledge()))
        while True:
            if self._head is not None:
                head, self._head = self._head, None
                return head
            if self._chunks:
                return self._take_part()
            if self._end is not None:
                return self._end
            await self.place.wait()

    async def cancel(self):
        """Tell the agent that nothing more is wanted."""
        if not self.ended:
            await self._link.abandon(self, self.broken_end(Reason.CANCELLED))

    async def expire(self, deadline):
        """End the exchange because its deadline passed."""
        if self.ended:
            self._link.forget_cancelled(self)
        else:
            await self._link.abandon(self, self.broken_end(Reason.DEADLINE_PASSED))

    def finish(self, end):
        """Set the outcome; the caller wakes the request task."""
        self._end = end
        self._start_request = None

    def receive_head(self, head):
        """Take over a `ResponseHead`.

        Returns
        -------
        bool
            False if it is a repeated one.

        Raises
        ------
        ProtocolError
            If it is incomplete.
        """
        if self.head_received:
            return False
        headers = [(header.name, header.value) for header in head.headers or ()]
        if head.status is None or any(None in header for header in headers):
            raise ProtocolError("a head without status or with half a header")
        self._head = Head(head.status, headers)
        self.head_received = True
        return True

    def receive_part(self, part):
        """Take over the new bytes of a `ResponsePart`.

        Returns
        -------
        bool
            False if all of its bytes were there already.

        Raises
        ------
        ProtocolError
            If bytes or the head before it are missing, or the agent sends far beyond
            the window.
        """
        data = part.data
        if data is None or part.offset_bytes is None:
            raise ProtocolError("a part without bytes or offset")
        known_bytes = self.received_bytes - part.offset_bytes
        if known_bytes < 0 or not self.head_received:
            raise ProtocolError(f"attempt {self.attempt} misses bytes")
        if known_bytes:
            data = data[known_bytes:]
        if not data:
            return False
        self.received_bytes += len(data)
        held_bytes = self.received_bytes - self._taken_bytes
        if held_bytes > WINDOWS_HELD * self._window_bytes:
            raise ProtocolError(f"attempt {self.attempt} overran its window")
        self._chunks.append(data)
        return True

    def drop_untaken(self):
        """Forget the bytes that nobody took; the agent still has them.

        Notes
        -----
        Called before the exchange is resumed.  If it were resumed from the last byte
        received, the agent would count all of them as consumed and send a whole window
        more: each new connection would add a window to what is held for a request task
        that takes nothing.
        """
        self._chunks = []
        self.received_bytes = self._taken_bytes

    def gap_repeats(self):
        """Note a gap; return whether the last one was at the same place."""
        repeats = self._gap_offset_bytes == self.received_bytes
        self._gap_offset_bytes = self.received_bytes
        return repeats

    def is_whole(self, length_bytes):
        """Return whether a whole answer of `length_bytes` has been received."""
        return self.head_received and self.received_bytes == length_bytes

    def cancel_frame(self):
        """Return the frame that tells the agent that nothing more is wanted."""
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
        """Return the frames that ask for the rest.

        Notes
        -----
        The acknowledgement repeats one that may have been lost with the connection.
        Without it, the agent would go on waiting with a full window, and this side,
        having consumed everything, would never acknowledge again.
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
        return [Frame(resume=resume), Frame(acknowledge=self._acknowledge())]

    def start_frames(self, incarnation):
        """Return the frames that start the request, and count it as written."""
        self.sent_to_incarnation = incarnation
        self._start_request.time_left_ms = self.deadline.left_ms()
        return [Frame(start=self._start_request)]

    def broken_end(self, reason):
        """Return the end for an exchange that this side gives up."""
        if not self.written:
            return End(Outcome.REFUSED_NOT_RUN, reason, "The request was not sent.")
        if self.head_received:
            return End(Outcome.FAILED_RAN, reason, "The answer is incomplete.")
        return End(Outcome.UNKNOWN, reason, "There was no answer in time.")

    def unreachable_end(self):
        """Return the end for an agent that can't be reached any more."""
        if self.written:
            return End(
                Outcome.UNKNOWN, Reason.AGENT_UNREACHABLE, "The agent is unreachable."
            )
        return End(
            Outcome.REFUSED_NOT_RUN,
            Reason.TARGET_UNREACHABLE,
            "The agent is unreachable; the request was not sent.",
        )

    def _acknowledge(self):
        self._acknowledged_bytes = self._taken_bytes
        return Acknowledge(
            attempt=self.attempt, received_bytes=self._taken_bytes, finished=False
        )

    def _take_part(self):
        chunks = self._chunks
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._chunks = []
        part = Part(self._taken_bytes, data)
        self._taken_bytes += len(data)
        return part


@frames_of.register
def _(item: Exchange, incarnation):
    if item.ended:
        return []
    if item.written:
        return item.resume_frames()
    if item.deadline.passed():
        # Its end, not run, is on the way; a start frame would make that a lie.
        return []
    return item.start_frames(incarnation)
