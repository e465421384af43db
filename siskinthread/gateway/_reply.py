"""The one answer that a caller gets, from however many attempts."""

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
        Where to write.
    wire : object
        Chooses the headers that go on to the caller.
    context : GatewayContext
        Tells whether the connection ends with this answer.
    request : GatewayRequest
        The request.
    clock : siskinthread.timing.Clock
        Clock of the times below.

    Attributes
    ----------
    has_begun : bool
        Whether the caller has the head.
    has_ended : bool
        Whether the caller has the whole answer.
    last_event_id : int or None
        Id of the last event that the caller has.
    first_written_at_s : float or None
        When the first bytes were written, monotonic seconds.
    longest_pause_s : float
        Longest time between two writes of events, seconds.
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

    async def begin(self, head):
        """Write the head of an answer whose body follows in parts."""
        if self.has_begun:
            raise InvariantError("an answer can't have two heads")
        self.has_begun = True
        self.status = head.status
        await self._send(self._connection.write_head, head.status, self._headers(head))

    async def write(self, data):
        """Write bytes of the body."""
        await self._send(self._connection.write_data, data)

    async def write_events(self, events):
        """Write whole events and note which one was the last."""
        self._note_pause()
        await self._send(self._connection.write_data, events.data)
        if events.last_id is not None:
            self.last_event_id = events.last_id

    async def end(self):
        """Write the end, which says that the answer is whole."""
        await self._send(self._connection.write_end)
        self.has_ended = True

    async def whole(self, answer):
        """Write a `WholeAnswer` at once."""
        self.has_begun = True
        self.status = answer.head.status
        headers = self._headers(answer.head)
        if self._connection.carries_body(answer.head.status):
            headers.append(("content-length", str(len(answer.body))))
        await self._send(
            self._connection.write_whole, answer.head.status, headers, answer.body
        )
        self.has_ended = True

    async def own(self, status, headers, body):
        """Write an answer of the gateway itself."""
        self.has_begun = True
        self.status = status
        headers = [*headers, ("content-length", str(len(body)))]
        await self._send(
            self._connection.write_whole, status, self._closing(headers), body
        )
        self.has_ended = True

    def _note_pause(self):
        now_s = self._clock.monotonic_s()
        if self._last_written_at_s is not None:
            pause_s = now_s - self._last_written_at_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_written_at_s = now_s

    def _headers(self, head):
        return self._closing(self._wire.answer_headers(head))

    def _closing(self, headers):
        if self._context.draining:
            headers.append(("connection", "close"))
        return headers

    async def _send(self, write, *arguments):
        if self.first_written_at_s is None:
            self.first_written_at_s = self._clock.monotonic_s()
        try:
            await write(*arguments)
        except ConnectionLostError as error:
            # Not to be taken for a failure of the target, which would be blamed.
            raise CallerLeftError(str(error)) from error
        except h11.LocalProtocolError as error:
            raise TargetError(f"the answer can't be passed on: {error}") from error
