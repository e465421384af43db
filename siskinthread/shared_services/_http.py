"""HTTP client with kept-alive connections, deadlines and a limit on body sizes."""

import json
import math
import socket

import curio
import h11

from siskinthread.errors import (
    AnswerTooLongError,
    PlatformRefusedError,
    PlatformUnavailableError,
)
from siskinthread.sockets import AnswerParser, AnswerReceiver, INFORMATIONAL_LIMIT

SIZE_LIMIT_BYTES = 64 * 1024 * 1024
IDLE_CONNECTIONS_KEPT = 4
# Digits of an integer, with its sign, in a JSON answer.
DIGITS_LIMIT = 40
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    # A device on the network path may drop a connection without a reset.  Without
    # keep-alive probes, a long poll on such a connection would run into its timeout.
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


class Answer:
    """A complete HTTP response.

    Parameters
    ----------
    status : int
        HTTP status.
    entity_tag : str or None
        Value of the ``ETag`` header; None without the header.
    body : bytes
        The response body.
    headers : list of tuple of bytes
        All headers, with names in lower case.
    """

    __slots__ = ("body", "entity_tag", "headers", "status")

    def __init__(self, status, entity_tag, body, headers=()):
        self.status = status
        self.entity_tag = entity_tag
        self.body = body
        self.headers = headers


class HttpClient:
    """Client of one HTTP service.

    Parameters
    ----------
    service : str
        Name of the service, for error messages.
    address : siskinthread.settings.Address
        Address on which the service listens.
    answer_wait_s : float
        Longest wait for an answer, seconds.
    size_limit_bytes : int
        Longest answer that is accepted, with its head and framing.

    Notes
    -----
    Every failure is a `PlatformUnavailableError`, because callers need not distinguish
    a refusal, a timeout and an invalid answer.
    """

    __slots__ = ("_address", "_answer_wait_s", "_idle", "_service", "_size_limit_bytes")

    def __init__(
        self, service, address, answer_wait_s, size_limit_bytes=SIZE_LIMIT_BYTES
    ):
        self._service = service
        self._address = address
        self._answer_wait_s = answer_wait_s
        self._size_limit_bytes = size_limit_bytes
        self._idle = []

    async def get(self, target, extra_wait_s=0.0):
        """Return the body of the answer to a GET.

        Parameters
        ----------
        target : str
            Path and query.
        extra_wait_s : float
            Time for which the service was asked to wait, seconds; added to the timeout.

        Raises
        ------
        PlatformUnavailableError
            If no complete answer with status 200 arrived in time.
        """
        answer = await self._request("GET", target, b"", extra_wait_s)
        return answer.body

    async def get_if_changed(self, target, entity_tag):
        """Return the `Answer` to a GET, or None if its entity tag is unchanged.

        Parameters
        ----------
        target : str
            Path and query.
        entity_tag : str or None
            Entity tag of the last answer; None for an unconditional request.

        Raises
        ------
        PlatformUnavailableError
            If no complete answer with status 200 or 304 arrived in time.
        """
        headers = [] if entity_tag is None else [("if-none-match", entity_tag)]
        answer = await self._request("GET", target, b"", 0.0, headers)
        return None if answer.status == STATUS_NOT_MODIFIED else answer

    async def call(self, method, target, body, headers, wait_s):
        """Send a request and return its `Answer`, whatever the status.

        Parameters
        ----------
        method, target : str
            Method and request target of the request line.
        body : bytes
            The request body.
        headers : list of tuple of str
            Additional headers.
        wait_s : float
            Longest wait for the answer, seconds.

        Raises
        ------
        PlatformUnavailableError
            If no complete answer arrived in time; the request may have taken effect.
        """
        try:
            return await curio.timeout_after(
                wait_s, self._exchange, method, target, body, headers
            )
        except curio.TaskTimeout as error:
            raise self._error(f"no answer to {method} in {wait_s:g} s") from error
        except (OSError, h11.ProtocolError, EOFError, AnswerTooLongError) as error:
            raise self._error(f"{method} failed: {error!r}") from error

    async def post(self, target, body, headers=()):
        """Return the body of the answer to a POST, which is sent at most once.

        Raises
        ------
        PlatformUnavailableError
            If no complete answer with status 200 arrived in time; the request may
            have taken effect.
        """
        wait_s = self._answer_wait_s
        answer = await self.call("POST", target, body, headers, wait_s)
        self._check(answer, "POST", {STATUS_OK})
        return answer.body

    async def close(self):
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _request(self, method, target, body, extra_wait_s, headers=()):
        wait_s = self._answer_wait_s + extra_wait_s
        answer = await self.call(method, target, body, headers, wait_s)
        expected = {STATUS_OK, STATUS_NOT_MODIFIED} if headers else {STATUS_OK}
        self._check(answer, method, expected)
        return answer

    def _check(self, answer, method, expected):
        if answer.status not in expected:
            text = f"{method} was answered with status {answer.status}"
            raise PlatformRefusedError(self._message(text), answer.status)

    async def _exchange(self, method, target, body, headers):
        connection = await self._take_connection()
        try:
            result = await connection.exchange(method, target, body, headers)
        except BaseException:
            # After a failure or a cancellation, the connection may still deliver the
            # late answer, which would be mistaken for the answer to the next request.
            # It is closed without a reset, so that an order that a slow rank has not
            # read yet still arrives; otherwise a held group would wait for the next
            # order.
            await connection.close()
            raise
        if connection.prepare_reuse() and len(self._idle) < IDLE_CONNECTIONS_KEPT:
            self._idle.append(connection)
        else:
            await connection.close()
        return result

    async def _take_connection(self):
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open_and_idle():
                return connection
            await connection.close()
        address = self._address
        # Addresses are IP addresses.  `curio.open_connection` would start a thread for
        # name resolution.
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            for level, name, value in SOCKET_OPTIONS:
                sock.setsockopt(level, name, value)
            await sock.connect((address.host, address.port))
        except BaseException:
            await sock.close()
            raise
        return _Connection(sock, str(address), self._size_limit_bytes)

    def _error(self, text):
        return PlatformUnavailableError(self._message(text))

    def _message(self, text):
        return f"{self._service} at {self._address}: {text}"


class _Connection:
    """One kept-alive connection.

    Parameters
    ----------
    sock : curio.io.Socket
        A connected socket.
    authority : str
        Value of the Host header.
    size_limit_bytes : int
        Longest answer that is accepted, with its head and framing.
    """

    __slots__ = ("_authority", "_protocol", "_receiver", "_socket")

    def __init__(self, sock, authority, size_limit_bytes):
        self._socket = sock
        self._authority = authority
        self._receiver = AnswerReceiver(sock, size_limit_bytes)
        self._protocol = AnswerParser()

    def is_open_and_idle(self):
        """Return whether the connection is open and has no unread data.

        A server closes idle connections when it restarts.  A request written to such a
        connection fails without having arrived, and an append would be reported as
        possibly applied.  Checking before the write makes this rare.
        """
        try:
            with self._socket.blocking() as raw:
                raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def prepare_reuse(self):
        """Prepare the protocol for the next request; return whether one may follow."""
        protocol = self._protocol
        if (protocol.our_state, protocol.their_state) != (h11.DONE, h11.DONE):
            return False
        if protocol.trailing_data[0]:
            # Bytes after an answer belong to no request.
            return False
        protocol.start_next_cycle()
        return True

    async def exchange(self, method, target, body, headers):
        """Send a request and return the `Answer`."""
        self._receiver.begin_answer()
        await self._socket.sendall(self._encode(method, target, body, headers))
        head = await self._receive_head()
        entity_tag = dict(head.headers).get(b"etag")
        return Answer(
            head.status_code,
            None if entity_tag is None else entity_tag.decode("latin-1"),
            await self._receive_body(),
            list(head.headers),
        )

    async def close(self):
        """Close the connection."""
        await self._socket.close()

    def _encode(self, method, target, body, headers):
        framing = [("host", self._authority), ("content-length", str(len(body)))]
        request = h11.Request(
            method=method, target=target, headers=[*framing, *headers]
        )
        send = self._protocol.send
        parts = [send(request)]
        if body:
            parts.append(send(h11.Data(data=body)))
        parts.append(send(h11.EndOfMessage()))
        return b"".join(parts)

    async def _receive_head(self):
        for _ in range(INFORMATIONAL_LIMIT + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise EOFError("too many informational responses")

    async def _receive_body(self):
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise EOFError("closed within the answer")
            body += event.data

    async def _next_event(self):
        await self._receiver.note_part()
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._receiver.receive()
            if not data and self._protocol.their_state is h11.SEND_RESPONSE:
                raise EOFError("closed before the answer")
            self._protocol.receive_data(data)


def parse_json(service, body):
    """Return the value of a JSON body.

    Parameters
    ----------
    service : str
        Name of the service, for error messages.
    body : bytes
        Body of the answer.

    Raises
    ------
    PlatformUnavailableError
        If the body is not valid JSON.

    Notes
    -----
    An integer of too many digits is read as infinity, like a number whose exponent is
    too large, so that it makes its own part of the answer malformed and no other.
    """
    try:
        return json.loads(body, parse_int=_read_integer)
    except (ValueError, RecursionError) as error:
        raise PlatformUnavailableError(
            f"{service}: answer is no JSON: {error}: {body[:80]!r}"
        ) from error


def _read_integer(digits):
    return int(digits) if len(digits) <= DIGITS_LIMIT else math.inf
