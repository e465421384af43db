"""One HTTP/1.1 client connection to a target."""

import contextlib
import select
import socket as socket_module

import h11

from siskinthread.errors import ConnectionLostError, TargetError
from siskinthread.outcomes import Head
from siskinthread.sockets import (
    AnswerParser,
    AnswerReceiver,
    INFORMATIONAL_LIMIT,
    reset,
)
from siskinthread.timing import Deadline

BODILESS_STATUSES = (204, 304)
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class TargetConnection:
    """A connection to a target; one exchange at a time.

    Parameters
    ----------
    socket : curio.io.Socket
        A connected socket.
    settings : TargetSettings
        Limits.
    clock : Clock
        Clock of the deadlines.

    Attributes
    ----------
    written : bool
        Whether a byte of the current request was passed to the network.  While it is
        False, the target can't have run the request.
    idle_deadline : Deadline or None
        While idle: when the connection becomes too old to be used.
    non_idempotent_deadline : Deadline or None
        While idle: when it becomes too old for a non-idempotent request.
    silence_deadline : Deadline or None
        During a receive: when the target has been silent for too long.  Watched by the
        pool; a separate curio timeout for each receive took a fifth of the time to
        relay a token.
    """

    __slots__ = (
        "_clock",
        "_is_shut_down",
        "_http",
        "_is_length_known",
        "_method",
        "_receiver",
        "_settings",
        "_socket",
        "non_idempotent_deadline",
        "idle_deadline",
        "silence_deadline",
        "written",
    )

    def __init__(self, socket, settings, clock):
        self._socket = socket
        self._clock = clock
        self._is_shut_down = False
        self._settings = settings
        self._http = AnswerParser(
            max_incomplete_event_size=settings.response_head_limit_bytes
        )
        self._receiver = AnswerReceiver(
            socket, settings.response_size_limit_bytes, settings.response_parts_limit
        )
        self._is_length_known = True
        self._method = None
        self.written = False
        self.idle_deadline = None
        self.non_idempotent_deadline = None
        self.silence_deadline = None

    async def send_request(self, method, path, headers, body):
        """Write a whole request.

        Raises
        ------
        ConnectionLostError
            If the connection failed; ``written`` tells whether a byte may have been
            sent.
        TargetError
            If the request can't be encoded as HTTP; nothing was sent.
        """
        self._method = method
        self._receiver.begin_answer()
        try:
            head = h11.Request(method=method, target=path, headers=headers)
            data = self._http.send(head)
            if body:
                data += self._http.send(h11.Data(data=body))
            data += self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise TargetError(f"can't be sent as HTTP: {error}") from error
        await self._write(data)

    async def _write(self, data):
        # A send that fails has sent no byte, so a failure of the first one means "not
        # run". `sendall` would hide whether some bytes were sent before the failure.
        view = memoryview(data)
        while view:
            try:
                sent = await self._socket.send(view)
            except OSError as error:
                raise ConnectionLostError(str(error)) from error
            self.written = True
            view = view[sent:]

    async def receive_head(self):
        """Return the `Head` of the response, without hop-by-hop headers.

        Raises
        ------
        TargetError
            If the target closed the connection, was silent or sent no HTTP.
        """
        for _ in range(INFORMATIONAL_LIMIT + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                break
        if not isinstance(event, h11.Response):
            raise TargetError("closed before the response")
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        ]
        names = {name for name, _ in headers}
        # A body that is delimited by the end of the connection can't be distinguished
        # from one that a crash of the target truncated, so it never counts as complete.
        self._is_length_known = (
            "content-length" in names
            or "transfer-encoding" in names
            or event.status_code in BODILESS_STATUSES
            or self._method == "HEAD"
        )
        kept = [pair for pair in headers if pair[0] not in HOP_BY_HOP_HEADERS]
        return Head(event.status_code, kept)

    async def receive_data(self):
        """Return the next bytes of the body; None at its end.

        Raises
        ------
        AnswerTooLongError
            If the response exceeds its limits of bytes or parts.
        TargetError
            If the body was truncated, or the target was silent or sent no HTTP.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if not self._is_length_known:
                raise TargetError("a body without a stated length ended")
            return None
        raise TargetError("the response broke off")

    async def _next_event(self):
        await self._receiver.note_part()
        try:
            event = self._http.next_event()
            while event is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
                event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise TargetError(f"unreadable response: {error}") from error
        return event

    async def _receive(self):
        wait_s = self._settings.silence_limit_s
        self.silence_deadline = Deadline.after(self._clock, wait_s)
        try:
            data = await self._receiver.receive()
        except OSError as error:
            raise TargetError(f"connection failed: {error}") from error
        finally:
            self.silence_deadline = None
        if not data and self._is_shut_down:
            raise TargetError("silent past the limit")
        return data

    async def shut_down(self):
        """Shut down a silent connection, so that its reading task continues."""
        self._is_shut_down = True
        with contextlib.suppress(OSError):
            await self._socket.shutdown(socket_module.SHUT_RDWR)

    def prepare_reuse(self):
        """Prepare the connection for another exchange.

        Returns
        -------
        bool
            Whether the connection can be used again.
        """
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        if self._http.trailing_data[0] or self._is_readable():
            # Bytes after a response belong to no request, and may have no end.
            return False
        self._http.start_next_cycle()
        self._is_length_known = True
        self.written = False
        settings = self._settings
        self.idle_deadline = Deadline.after(self._clock, settings.idle_limit_s)
        self.non_idempotent_deadline = Deadline.after(
            self._clock, settings.idle_reuse_limit_s
        )
        return True

    def is_usable(self, idempotent):
        """Return whether an idle connection may carry a request."""
        deadline = self.idle_deadline if idempotent else self.non_idempotent_deadline
        return not deadline.passed() and not self._is_readable()

    def _is_readable(self):
        # An idle connection that the target has closed is readable. A request written
        # to it would be lost, with an unknown outcome.
        poller = select.poll()
        poller.register(self._socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    async def close(self):
        """Close the connection."""
        await self._socket.close()

    async def abort(self):
        """Reset the connection during an exchange.

        A request that is still in transit must not run after it was given up.
        """
        await reset(self._socket)
