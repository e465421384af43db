"""The answer to a caller, assembled from one or more attempts."""

import h11

from siskinthread.errors import (
    CallerLeftError,
    ConnectionLostError,
    InvariantError,
    TargetError,
)


class Reply:
    """Writes an answer to the caller's connection.

    Parameters
    ----------
    connection : siskinthread.http_server.CallerConnection
        The connection.
    wire : object
        Selects the headers that are passed on to the caller.
    context : GatewayContext
        Its `draining` decides whether the connection closes after this answer.
    request : GatewayRequest
        The request.
    clock : siskinthread.timing.Clock
        Clock of the times below.

    Attributes
    ----------
    has_begun : bool
        Whether the head was written.
    has_ended : bool
        Whether the complete answer was written.
    last_event_id : int or None
        Id of the last event that was written; initially the one stated in the request.
    first_written_at_s : float or None
        Start of the first write, monotonic seconds.
    longest_pause_s : float
        Longest time between two writes of events, seconds.
    status : int or None
        HTTP status, once it is written.
    """

    __slots__ = (
        "_clock",
        "_connection",
        "_context",
        "_last_written_at_s",
        "_wire",
        "first_written_at_s",
        "has_begun",
        "has_ended",
        "last_event_id",
        "longest_pause_s",
        "status",
    )

    def __init__(self, connection, wire, context, request, clock):
        self._clock = clock
        self._last_written_at_s = None
        self.first_written_at_s = None
        self.longest_pause_s = 0.0
        self._connection = connection
        self._wire = wire
        self._context = context
        self.has_begun = False
        self.has_ended = False
        self.status = None
        self.last_event_id = request.facts.last_event_id

    @property
    def can_be_completed(self):
        """Whether another target may still supply the answer or the rest of it.

        The rest of a stream of events may come from another target, but not that of any
        other answer.
        """
        return not self.has_begun or self._last_written_at_s is not None

    async def begin(self, head):
        """Write the head of an answer whose body follows in pieces."""
        if self.has_begun:
            raise InvariantError("an answer can't have two heads")
        self.has_begun = True
        self.status = head.status
        await self._send(self._connection.write_head, head.status, self._headers(head))

    async def write(self, data):
        """Write bytes of the body."""
        await self._send(self._connection.write_data, data)

    async def write_events(self, events):
        """Write complete events and record the id of the last one."""
        self._note_pause()
        await self._send(self._connection.write_data, events.data)
        if events.last_id is not None:
            self.last_event_id = events.last_id

    async def end(self):
        """Write the end marker, which shows that the answer is complete."""
        await self._send(self._connection.write_end)
        self.has_ended = True

    async def write_answer(self, answer):
        """Write a `WholeAnswer` with its length."""
        self.has_begun = True
        self.status = answer.head.status
        headers = self._headers(answer.head)
        if self._connection.carries_body(answer.head.status):
            headers.append(("content-length", str(len(answer.body))))
        await self._send(
            self._connection.write_whole, answer.head.status, headers, answer.body
        )
        self.has_ended = True

    async def write_own_answer(self, status, headers, body):
        """Write an answer that the gateway itself produced."""
        self.has_begun = True
        self.status = status
        headers = [*headers, ("content-length", str(len(body)))]
        await self._send(
            self._connection.write_whole, status, self._with_close(headers), body
        )
        self.has_ended = True

    def _note_pause(self):
        now_s = self._clock.monotonic_s()
        if self._last_written_at_s is not None:
            pause_s = now_s - self._last_written_at_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_written_at_s = now_s

    def _headers(self, head):
        return self._with_close(self._wire.answer_headers(head))

    def _with_close(self, headers):
        if self._context.draining:
            headers.append(("connection", "close"))
        return headers

    async def _send(self, write, *arguments):
        if self.first_written_at_s is None:
            self.first_written_at_s = self._clock.monotonic_s()
        try:
            await write(*arguments)
        except ConnectionLostError as error:
            # A separate error type keeps this from counting as a target failure.
            raise CallerLeftError(str(error)) from error
        except h11.LocalProtocolError as error:
            raise TargetError(f"the answer can't be passed on: {error}") from error
