"""HTTP framing of one connection with h11."""

import http.client

import curio
import h11

from siskinthread.http_server._caller_socket import CallerSocket
from siskinthread.http_server._head import RequestHead
from siskinthread.http_server._phase import Phase
from siskinthread.http_server._refusal import bad_request, refuse
from siskinthread.http_server._request_framing import RequestFraming
from siskinthread.outcomes import Reason

RETRY_FULL_S = 1.0
STATUS_WITHOUT_BODY = (204, 304)
# Callers with an older HTTP version get no chunked encoding.
FIRST_CHUNKED_VERSION = b"1.1"
# Memory of a header beside its text, as received and as sent to a target.
HEADER_BYTES = 320
# Returned instead of an h11 event when a time limit has passed.
LIMIT_PASSED = object()


class CallerConnection:
    """Reads requests and writes responses on one connection.

    Parameters
    ----------
    socket : curio.io.Socket
        The accepted socket.
    settings : CallerSettings
        Limits.
    clock : siskinthread.timing.Clock
        Clock for the time limits.
    group : CallerGroup
        The connections of the server.

    Attributes
    ----------
    caller : CallerSocket
        The socket with its time limits.
    """

    __slots__ = (
        "_ends_by_close",
        "_framing",
        "_http",
        "_method",
        "_settings",
        "_turns",
        "caller",
    )

    def __init__(self, socket, settings, clock, group):
        self.caller = CallerSocket(socket, settings, clock, group)
        self._settings = settings
        self._turns = group.turns
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=settings.head_size_limit_bytes
        )
        self._framing = RequestFraming(self._http, settings.head_size_limit_bytes)
        self._method = None
        # Whether the answer has no framing but the end of the connection.
        self._ends_by_close = False

    # Requests.

    async def read_head(self, idle_limit_s):
        """Return the next `RequestHead`, a `Refusal`, or None at the end.

        Parameters
        ----------
        idle_limit_s : float
            Maximum time to wait for the first byte, seconds.
        """
        self.caller.enter(Phase.IDLE, idle_limit_s)
        await self.caller.hold_head(0)
        self._method = None
        try:
            event = await self._next_event()
        except h11.RemoteProtocolError as error:
            return _protocol_refusal(error)
        if event is LIMIT_PASSED and self.caller.phase is not Phase.IDLE:
            return _timeout_refusal()
        if not isinstance(event, h11.Request):
            return None
        self._framing.begin_body(event)
        size_bytes = _size_bytes(event)
        await self.caller.hold_head(size_bytes + HEADER_BYTES * len(event.headers))
        self.caller.enter(Phase.BODY, self._settings.body_limit_s)
        self._method = event.method
        self._ends_by_close = False
        if size_bytes > self._settings.head_size_limit_bytes:
            return bad_request("The head is too large.", status=431, closes=True)
        return RequestHead(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            [
                (name.decode("ascii"), value.decode("latin-1"))
                for name, value in event.headers
            ],
            event.http_version.decode("ascii"),
        )

    async def read_body(self, body):
        """Return the complete body as bytes, or a `Refusal`.

        Parameters
        ----------
        body : RequestBody
            Holds the bytes of the body.
        """
        left_bytes = self._settings.body_size_limit_bytes
        body.begin(self.caller)
        while True:
            try:
                event = await self._next_event()
            except h11.RemoteProtocolError as error:
                return _protocol_refusal(error)
            if body.is_evicted:
                return _memory_refusal()
            if isinstance(event, h11.EndOfMessage):
                self.caller.enter_answer()
                return body.complete()
            if event is LIMIT_PASSED:
                return _timeout_refusal()
            if not isinstance(event, h11.Data):
                return bad_request("The body is incomplete.", closes=True)
            left_bytes -= len(event.data)
            if left_bytes < 0:
                return bad_request("The body is too large.", status=413, closes=True)
            if not await body.add(event.data):
                return _memory_refusal()
            # Its bytes are not held while the next ones are awaited.
            event = None

    def has_unread_input(self):
        """Return whether the caller has sent more than the current request."""
        return bool(self._framing.held_bytes() or self.caller.has_input)

    def start_next_request(self):
        """Return whether the connection can be used for another request."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    # Responses.

    async def write_head(self, status, headers):
        """Write the head of a response.

        Raises
        ------
        h11.LocalProtocolError
            If the headers are not valid HTTP.
        """
        names = {name.lower() for name, _ in headers}
        is_old = self._http.their_http_version < FIRST_CHUNKED_VERSION
        self._ends_by_close = is_old and "content-length" not in names
        await self.caller.write(self._http.send(_response(status, headers)))

    async def write_data(self, data):
        """Write the next bytes of a body as one chunk, with one write.

        Raises
        ------
        h11.LocalProtocolError
            If the body is longer than its announced length.
        """
        await self.caller.write(self._http.send(h11.Data(data)))

    async def write_end(self):
        """Write the end of a body, which marks it as complete.

        Raises
        ------
        h11.LocalProtocolError
            If the body is shorter than its announced length.
        """
        await self.caller.write(self._http.send(h11.EndOfMessage()))

    async def write_whole(self, status, headers, body):
        """Write a complete response with one write.

        Raises
        ------
        h11.LocalProtocolError
            If the headers are not valid HTTP; nothing is written then.
        """
        data = self._http.send(_response(status, headers))
        if self.carries_body(status):
            data += self._http.send(h11.Data(body))
        data += self._http.send(h11.EndOfMessage())
        await self.caller.write(data)

    def owes_answer(self):
        """Return whether a whole request was read and no byte of its answer written."""
        is_unanswered = self._http.our_state is h11.SEND_RESPONSE
        return is_unanswered and self.caller.phase is Phase.ANSWER

    def appears_complete_if_closed(self):
        """Return whether closing would make an incomplete answer appear complete."""
        is_complete = self._http.our_state not in (h11.SEND_BODY, h11.ERROR)
        return self._ends_by_close and not (
            is_complete and not self.caller.unsent_bytes
        )

    def carries_body(self, status):
        """Return whether a response with this status has a body."""
        return self._method != b"HEAD" and status not in STATUS_WITHOUT_BODY

    async def _next_event(self):
        caller = self.caller
        while True:
            if self._framing.is_costly:
                # One caller at a time continues, so that others are served meanwhile.
                async with self._turns:
                    await curio.sleep(0)
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._framing.pass_on():
                continue
            if self._http.they_are_waiting_for_100_continue:
                await self._write_continue()
            if caller.phase is Phase.IDLE and self._framing.held_bytes():
                caller.enter(Phase.HEAD, self._settings.head_limit_s)
            if not await self._receive_more():
                return LIMIT_PASSED

    async def _receive_more(self):
        # A method of its own, so that no variable holds the bytes during a later wait.
        data = await self.caller.receive(self._framing.held_bytes())
        if data is not None:
            self._framing.add(data)
        return data is not None

    async def _write_continue(self):
        continue_response = h11.InformationalResponse(status_code=100, headers=[])
        await self.caller.write(self._http.send(continue_response))
        self.caller.enter(Phase.BODY, self._settings.body_limit_s)


def _size_bytes(request):
    return len(request.target) + sum(
        len(name) + len(value) for name, value in request.headers
    )


def _response(status, headers):
    phrase = http.client.responses.get(status, "")
    return h11.Response(status_code=status, headers=headers, reason=phrase)


def _timeout_refusal():
    return bad_request("The request did not arrive in time.", status=408, closes=True)


def _memory_refusal():
    return refuse(
        Reason.OVERLOADED,
        "This host holds too many bodies of requests.",
        closes=True,
        retry_after_s=RETRY_FULL_S,
    )


def _protocol_refusal(error):
    status = error.error_status_hint
    # h11 puts the invalid bytes after a colon; a response must not repeat them.
    fault = str(error).partition(":")[0]
    if status == 431:
        return bad_request("The head is too large.", status=431, closes=True)
    if status == 501:
        return bad_request(f"Not supported: {fault}.", status=501, closes=True)
    return bad_request(f"Malformed HTTP: {fault}.", closes=True)
