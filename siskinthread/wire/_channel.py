"""A framed connection over a curio socket."""

import contextlib
import socket as socket_module

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.wire._codec import encode_frame, FrameDecoder

RECEIVE_SIZE_BYTES = 256 * 1024


class Channel:
    """Sends and receives frames over one TCP connection.

    One task may receive and one other task may send at the same time.

    Parameters
    ----------
    socket : curio.io.Socket
        A connected socket.
    frame_class : type
        Class of the thrift union that the peer sends.
    frame_limit_bytes : int
        Longest frame that is accepted.
    """

    __slots__ = ("_decoder", "_socket", "peer_hello")

    def __init__(self, socket, frame_class, frame_limit_bytes):
        # Send small frames at once.  Nagle's algorithm would delay a token until the
        # peer's delayed acknowledgement of the previous one, about 40 ms.
        socket.setsockopt(socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1)
        self._socket = socket
        self._decoder = FrameDecoder(frame_class, frame_limit_bytes)
        self.peer_hello = None

    async def receive(self):
        """Wait for bytes and return the frames completed by them.

        Returns
        -------
        list
            Complete frames; may be empty.

        Raises
        ------
        ConnectionLostError
            If the peer closed the connection or the connection failed.
        ProtocolError
            If the bytes are not frames.
        """
        try:
            data = await self._socket.recv(RECEIVE_SIZE_BYTES)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        if not data:
            raise ConnectionLostError("closed by the peer")
        return self._decoder.feed(data)

    async def send(self, *frames):
        """Write frames with one call to the socket.

        Raises
        ------
        ConnectionLostError
            If the connection failed; part of the bytes may have been sent.
        """
        await self.send_bytes(b"".join([encode_frame(frame) for frame in frames]))

    async def send_bytes(self, data):
        """Write encoded frames; raises as `send`."""
        try:
            await self._socket.sendall(data)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    async def shut_down(self):
        """Shut down both directions, so that a task waiting in `receive` returns."""
        with contextlib.suppress(OSError):
            await self._socket.shutdown(socket_module.SHUT_RDWR)

    async def close(self):
        """Close the connection without waiting for the peer."""
        await self._socket.close()


async def open_channel(host, port, frame_class, frame_limit_bytes, dial_wait_s):
    """Open a connection and return its channel, not yet authenticated.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    frame_class : type
        Class of the thrift union that the peer sends.
    frame_limit_bytes : int
        Longest frame that is accepted.
    dial_wait_s : float
        Longest wait for the connection, seconds.

    Raises
    ------
    ConnectionLostError
        If the connection was refused or not established in time.
    """
    try:
        socket = await curio.timeout_after(
            dial_wait_s, curio.open_connection, host, port
        )
    except (OSError, curio.TaskTimeout) as error:
        raise ConnectionLostError(f"can't reach {host}:{port}: {error!r}") from error
    return Channel(socket, frame_class, frame_limit_bytes)
