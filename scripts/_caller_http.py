"""HTTP of the callers: one request, and everything that its answer shows."""

import contextlib
import socket
import time

import curio
import h11

RECEIVE_SIZE_BYTES = 64 * 1024


class RawAnswer:
    """What a caller saw of one answer.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request was written.
    status : int or None
        HTTP status, None if no head came.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytearray
        What came of the body.
    whole : bool
        Whether the body ended as HTTP says that it is whole.
    sent_at_s : float
        When the request was written, monotonic seconds.
    arrivals_s : list of float
        When bytes of the body came, monotonic seconds.
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
    """A connection that carries one request after the other.

    Parameters
    ----------
    address : tuple
        IP number and TCP port of an entry.
    host_name : str
        What the caller takes the entry for.
    """

    __slots__ = ("_address", "_host_name", "_protocol", "_socket")

    def __init__(self, address, host_name="siskinthread"):
        self._address = address
        self._host_name = host_name
        self._socket = None
        self._protocol = None

    async def call(self, method, target, headers, body, wait_s):
        """Send a request and return the `RawAnswer`, however it ended.

        Parameters
        ----------
        method, target : str
            Request line.
        headers : list of tuple of str
            Pairs of name and value, without the framing ones.
        body : bytes
            The whole body.
        wait_s : float
            Longest wait for the end of the answer.
        """
        answer = RawAnswer()
        # The answer tells how far things came; that is all that a caller knows.
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
        if self._socket is not None and not self._quiet():
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

    def _quiet(self):
        # An idle connection that the entry closed would take the request and lose it,
        # and the caller could not tell whether it ran.
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
