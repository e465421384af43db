"""Relay the events of an answer to the caller's HTTP connection."""

import json

import h11

from siskinthread.callers._header_names import forwarded_headers
from siskinthread.callers._responses import (
    answered_headers,
    CLOSE,
    error_event,
    REQUEST_ID_HEADER,
    write_error_response,
)
from siskinthread.http_server import HOP_BY_HOP_HEADERS, status_of
from siskinthread.outcomes import End, Outcome, Reason

EVENT_STREAM = "text/event-stream"
EVENT_DATA_FIELD = b"data:"
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
LONGEST_EVENT_END_BYTES = 4
UNREADABLE_MESSAGE = "The target's response can't be relayed as HTTP."


class Relay:
    """Relays one answer to one connection.

    Parameters
    ----------
    connection : CallerConnection
        Connection to the caller.
    built : BuiltRequest
        The request and whether its caller asked for a stream.
    answer : object
        The `Answer` of the dispatcher.
    context : CallerContext
        Settings and state of the drain.

    Attributes
    ----------
    end : End or None
        Last event of the answer, None until it arrives.
    tokens : int
        Number of tokens relayed so far.
    broken : bool
        Whether the response is incomplete, so that the connection must be closed.
    """

    __slots__ = (
        "_answer",
        "_connection",
        "_context",
        "_held_data",
        "_last_bytes",
        "_remaining_bytes",
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
        # Bytes left until the announced length, and the part that completes it, which
        # is held back until the outcome is known.
        self._remaining_bytes = None
        self._held_data = b""
        self.end = None
        self.tokens = 0
        self.broken = False

    async def run(self):
        """Relay all events until the response is complete or broken."""
        event = await self._next_event()
        if isinstance(event, End):
            await self._refuse(event)
        elif self._should_stream(event):
            await self._stream(event, [])
        else:
            await self._buffer(event)

    async def end_at_stop(self):
        """Cancel the answer at the end of a drain, and report that."""
        message = "This host is stopped before the answer came; it may have run."
        await self._refuse_and_cancel(
            End(Outcome.UNKNOWN, Reason.HOST_STOPPED, message)
        )

    async def cancel(self):
        """Cancel the answer unless it has ended."""
        if self.end is None:
            await self._answer.cancel()

    async def _next_event(self):
        event = await self._answer.next_event()
        if isinstance(event, End):
            self.end = event
        return event

    def _should_stream(self, head):
        if not self._connection.carries_body(head.status):
            return False
        if self._streams or _content_type(head).startswith(EVENT_STREAM):
            return True
        length = _declared_length(head)
        limit_bytes = self._context.settings.whole_answer_limit_bytes
        return length is not None and length > limit_bytes

    # Whole answers.

    async def _buffer(self, head):
        """Buffer a small answer so that its head can state the outcome."""
        parts = []
        left_bytes = self._context.settings.whole_answer_limit_bytes
        while True:
            event = await self._next_event()
            if isinstance(event, End):
                await self._write_buffered(head, b"".join(parts), event)
                return
            parts.append(event.data)
            left_bytes -= len(event.data)
            if left_bytes < 0:
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
        await write_error_response(
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
            self._remaining_bytes = declared
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
                if self._held_data:
                    await connection.write_data(self._held_data)
                await connection.write_end()
                return
        except h11.LocalProtocolError:
            # The body does not have the announced length, which the caller can detect.
            await self._fail_answer()
        await self._end_incomplete(is_event_stream)

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
        self.tokens += data.count(EVENT_DATA_FIELD)
        self._last_bytes = data
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(data)
            if self._remaining_bytes == 0:
                # A caller that has received the announced length treats the answer as
                # complete, even if the outcome that follows is a failure.
                self._held_data = data
                return
        await self._connection.write_data(self._held_data + data)

    async def _end_incomplete(self, is_event_stream):
        """Leave the response detectably incomplete.

        A caller treats the final chunk or the announced length as the end of a complete
        answer, so neither is sent.
        """
        self.broken = True
        if not is_event_stream:
            return
        data = error_event(self.end, self._request.request_id)
        if self._last_bytes and not self._last_bytes.endswith(EVENT_TERMINATORS):
            # Otherwise the error would be parsed as part of the incomplete event.
            data = b"\n\n" + data
        await self._connection.write_data(data)

    async def _fail_answer(self):
        bad = _failed("The target's answer does not have its announced length.")
        await self.cancel()
        self.end = bad

    async def _refuse_and_cancel(self, end):
        await self.cancel()
        await self._refuse(end)

    def _headers(self, head):
        withheld = HOP_BY_HOP_HEADERS | {"content-length"}
        headers = forwarded_headers(head.headers, withheld)
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
    """Return the tokens stated by a complete chat answer, else the estimate."""
    if not request.token_estimate:
        return 0
    try:
        tokens = json.loads(body)["usage"]["completion_tokens"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return request.token_estimate
    return tokens if isinstance(tokens, int) else request.token_estimate
