"""From the events of an answer to the bytes that its caller gets."""

import json

import h11

from siskinthread.callers._header_names import foreign_headers
from siskinthread.callers._responses import (
    answered_headers,
    CLOSE,
    error_event,
    REQUEST_ID_HEADER,
    write_end,
)
from siskinthread.http_server import HOP_BY_HOP_HEADERS, status_of
from siskinthread.outcomes import End, Outcome, Reason

EVENT_STREAM = "text/event-stream"
EVENT_MARK = b"data:"
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
LONGEST_EVENT_END_BYTES = 4
UNREADABLE_MESSAGE = "The target's response can't be relayed as HTTP."


class Relay:
    """Relays one answer to one connection.

    Parameters
    ----------
    connection : CallerConnection
        Where to write.
    built : BuiltRequest
        The request.
    answer : object
        The dispatcher's answer.
    context : CallerContext
        Settings and the state of a drain.

    Attributes
    ----------
    end : End or None
        The last event of the answer, once it came.
    tokens : int
        Tokens that the answer has held so far.
    broken : bool
        Whether the response was left incomplete, so that the connection must close.
    """

    __slots__ = (
        "_answer",
        "_connection",
        "_context",
        "_held",
        "_last_bytes",
        "_left_bytes",
        "_request",
        "_streams",
        "broken",
        "end",
        "tokens",
    )

    def __init__(self, connection, built, answer, context):
        self._connection = connection
        self._request = built.request
        self._streams = built.streams
        self._answer = answer
        self._context = context
        self._last_bytes = b""
        # Bytes until the announced length is reached, and those that reach it, which
        # wait for the outcome.
        self._left_bytes = None
        self._held = b""
        self.end = None
        self.tokens = 0
        self.broken = False

    async def run(self):
        """Relay every event; returns when the response is complete or broken."""
        event = await self._next_event()
        if isinstance(event, End):
            await self._refuse(event)
        elif self._streams_from(event):
            await self._stream(event, [])
        else:
            await self._buffer(event)

    async def cancel(self):
        """Give up the answer unless it has ended."""
        if self.end is None:
            await self._answer.cancel()

    async def _next_event(self):
        event = await self._answer.next_event()
        if isinstance(event, End):
            self.end = event
        return event

    def _streams_from(self, head):
        if not self._connection.carries_body(head.status):
            return False
        if self._streams or _content_type(head).startswith(EVENT_STREAM):
            return True
        length = _declared_length(head)
        limit_bytes = self._context.settings.whole_answer_limit_bytes
        return length is not None and length > limit_bytes

    # Whole answers.

    async def _buffer(self, head):
        """Hold a small answer until its outcome is known, so that its head is true."""
        parts = []
        left = self._context.settings.whole_answer_limit_bytes
        while True:
            event = await self._next_event()
            if isinstance(event, End):
                await self._write_buffered(head, b"".join(parts), event)
                return
            parts.append(event.data)
            left -= len(event.data)
            if left < 0:
                await self._stream(head, parts)
                return

    async def _write_buffered(self, head, body, end):
        if end.outcome is not Outcome.ANSWERED:
            await self._refuse(end)
            return
        declared = _declared_length(head)
        carries_body = self._connection.carries_body(head.status)
        if carries_body and declared is not None and declared != len(body):
            await self._refuse(_failed("The target's answer was cut short."))
            return
        headers = self._headers(head) + answered_headers(self._request.request_id)
        length = len(body) if carries_body else declared
        if length is not None and head.status != 204:
            headers.append(("content-length", str(length)))
        self.tokens = _tokens_used(body, self._request)
        try:
            await self._connection.write_whole(head.status, headers, body)
        except h11.LocalProtocolError:
            await self._refuse(_failed(UNREADABLE_MESSAGE))

    async def _refuse(self, end):
        if end.outcome is Outcome.ANSWERED:
            end = _failed("The target's answer had no head.")
        self.end = end
        await write_end(
            self._connection,
            end,
            self._request.request_id,
            status_of(end),
            closes=self._context.closing,
        )

    # Streamed answers.

    async def _stream(self, head, parts):
        connection = self._connection
        headers = self._headers(head)
        headers.append((REQUEST_ID_HEADER, self._request.request_id))
        is_event_stream = _content_type(head).startswith(EVENT_STREAM)
        declared = _declared_length(head)
        if declared is not None and not is_event_stream:
            headers.append(("content-length", str(declared)))
            self._left_bytes = declared
        try:
            await connection.write_head(head.status, headers)
        except h11.LocalProtocolError:
            await self._refuse_and_cancel(_failed(UNREADABLE_MESSAGE))
            return
        try:
            for data in parts:
                await self._write_part(data)
            await self._relay_parts()
            if self.end.outcome is Outcome.ANSWERED:
                if self._held:
                    await connection.write_data(self._held)
                await connection.write_end()
                return
        except h11.LocalProtocolError:
            # More or fewer bytes than announced; the caller notices by the length.
            await self._answer_is_bad()
        await self._break(is_event_stream)

    async def _relay_parts(self):
        next_event = self._answer.next_event
        write_part = self._write_part
        while True:
            event = await next_event()
            if isinstance(event, End):
                self.end = event
                return
            await write_part(event.data)

    async def _write_part(self, data):
        if not data:
            return
        self.tokens += data.count(EVENT_MARK)
        self._last_bytes = data
        if self._left_bytes is not None:
            self._left_bytes -= len(data)
            if self._left_bytes == 0:
                # The announced length tells the caller that it has the whole answer:
                # one that failed behind its last byte looked whole.
                self._held = data
                return
        await self._connection.write_data(self._held + data)

    async def _break(self, is_event_stream):
        """Leave the response visibly incomplete.

        The final chunk, or the announced length, is what tells a caller that it has the
        whole answer; so neither is sent after a break.
        """
        self.broken = True
        if not is_event_stream:
            return
        data = error_event(self.end, self._request.request_id)
        if self._last_bytes and not self._last_bytes.endswith(EVENT_ENDS):
            # Otherwise the error would be read as a part of the torn event.
            data = b"\n\n" + data
        await self._connection.write_data(data)

    async def _answer_is_bad(self):
        bad = _failed("The target's answer does not have its announced length.")
        await self.cancel()
        self.end = bad

    async def _refuse_and_cancel(self, end):
        await self.cancel()
        await self._refuse(end)

    def _headers(self, head):
        withheld = HOP_BY_HOP_HEADERS | {"content-length"}
        headers = foreign_headers(head.headers, withheld)
        if self._context.closing:
            headers.append(CLOSE)
        return headers


def _failed(message):
    return End(Outcome.FAILED_RAN, Reason.TARGET_FAILED, message=message)


def _header(head, name):
    for candidate, value in head.headers:
        if candidate == name:
            return value
    return None


def _content_type(head):
    return (_header(head, "content-type") or "").lower()


def _declared_length(head):
    value = _header(head, "content-length")
    if value is None or not value.isdecimal():
        return None
    return int(value)


def _tokens_used(body, request):
    """Return the tokens that a whole chat answer says it took, else the estimate."""
    if not request.token_estimate:
        return 0
    try:
        tokens = json.loads(body)["usage"]["completion_tokens"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return request.token_estimate
    return tokens if isinstance(tokens, int) else request.token_estimate
