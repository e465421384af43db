"""HTTP client of the callers, which records all observable parts of an answer."""

import contextlib
import socket
import time

import curio
import h11

RECEIVE_SIZE_BYTES = 64 * 1024


class RawAnswer:
    """Answer as received by a caller, complete or not.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request was written.
    status : int or None
        HTTP status; None if no head was received.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytearray
        Received part of the body.
    whole : bool
        Whether the body was received to its end as framed by HTTP.
    sent_at_s : float
        When sending of the request began, monotonic seconds.
    arrivals_s : list of float
        When parts of the body were received, monotonic seconds.
    """

    __slots__ = (
        "arrivals_s",
        "body",
        "headers",
        "sent",
        "sent_at_s",
        "status",
        "whole",
    )

    def __init__(self):
        self.sent = False
        self.status = None
        self.headers = {}
        self.body = bytearray()
        self.whole = False
        self.sent_at_s = 0.0
        self.arrivals_s = []


class CallerConnection:
    """Persistent connection that sends one request after the other.

    Parameters
    ----------
    address : tuple
        IP number and TCP port of an entry.
    host_name : str
        Value of the ``Host`` header.
    """

    __slots__ = ("_address", "_host_name", "_protocol", "_socket")

    def __init__(self, address, host_name="siskinthread"):
        self._address = address
        self._host_name = host_name
        self._socket = None
        self._protocol = None

    async def call(self, method, target, headers, body, wait_s):
        """Send a request and return the `RawAnswer`, also after an error or a time-out.

        Parameters
        ----------
        method, target : str
            Method and target of the request line.
        headers : list of tuple of str
            Pairs of name and value, without ``Host`` and ``Content-Length``.
        body : bytes
            Complete body.
        wait_s : float
            Longest wait for the end of the answer, seconds.
        """
        answer = RawAnswer()
        # `answer` records how far the exchange got; a caller knows nothing more.
        with contextlib.suppress(OSError, h11.ProtocolError, curio.TaskTimeout):
            await curio.timeout_after(
                wait_s, self._exchange, answer, method, target, headers, body
            )
        if not answer.whole or not self._reuse():
            await self.close()
        return answer

    async def close(self):
        """Close the connection."""
        if self._socket is not None:
            await self._socket.close()
        self._socket = None

    async def _exchange(self, answer, method, target, headers, body):
        if self._socket is not None and not self._is_open():
            await self.close()
        if self._socket is None:
            self._socket = await curio.open_connection(*self._address)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._protocol = h11.Connection(h11.CLIENT)
        data = self._encode(method, target, headers, body)
        answer.sent = True
        answer.sent_at_s = time.monotonic()
        await self._socket.sendall(data)
        while not answer.whole:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                received = await self._socket.recv(RECEIVE_SIZE_BYTES)
                self._protocol.receive_data(received)
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    name.decode(): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.arrivals_s.append(time.monotonic())
                answer.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                answer.whole = True
            elif not isinstance(event, h11.InformationalResponse):
                return

    def _encode(self, method, target, headers, body):
        framing = [("host", self._host_name), ("content-length", str(len(body)))]
        request = h11.Request(method=method, target=target, headers=framing + headers)
        send = self._protocol.send
        return send(request) + send(h11.Data(data=body)) + send(h11.EndOfMessage())

    def _is_open(self):
        # A request that is sent on a connection closed by the entry is lost, and the
        # caller could not tell whether it ran.
        try:
            with self._socket.blocking() as raw:
                raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _reuse(self):
        protocol = self._protocol
        if (protocol.our_state, protocol.their_state) != (h11.DONE, h11.DONE):
            return False
        protocol.start_next_cycle()
        return True
