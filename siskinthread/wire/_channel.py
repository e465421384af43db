"""A framed connection over a curio socket."""

import contextlib
import socket as socket_module

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.wire._codec import encode_frame, FrameDecoder

RECEIVE_SIZE_BYTES = 256 * 1024


class Channel:
    """Frames over one TCP connection.

    One task may receive and one other task may send at the same time.

    Parameters
    ----------
    socket : curio.io.Socket
        A connected socket.
    frame_class : type
        The thrift union that the peer sends.
    frame_limit_bytes : int
        Longest frame that is accepted.
    """

    __slots__ = ("_decoder", "_socket", "peer_hello")

    def __init__(self, socket, frame_class, frame_limit_bytes):
        # Small frames leave at once; Nagle's algorithm would hold a token back until
        # the peer's delayed acknowledgement of the one before, some 40 ms.
        socket.setsockopt(socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1)
        self._socket = socket
        self._decoder = FrameDecoder(frame_class, frame_limit_bytes)
        self.peer_hello = None

    async def receive(self):
        """Wait for bytes and return the frames that they complete.

        Returns
        -------
        list
            Possibly empty.

        Raises
        ------
        ConnectionLostError
            If the peer closed the connection or it failed.
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
        """Write frames with one call of the socket.

        Raises
        ------
        ConnectionLostError
            If the connection failed; some of the bytes may have left.
        """
        await self.send_bytes(b"".join([encode_frame(frame) for frame in frames]))

    async def send_bytes(self, data):
        """Write frames that are already encoded."""
        try:
            await self._socket.sendall(data)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    async def shut_down(self):
        """End both directions, so that a task that waits in `receive` returns."""
        with contextlib.suppress(OSError):
            await self._socket.shutdown(socket_module.SHUT_RDWR)

    async def close(self):
        """Close the connection without waiting for the peer."""
        await self._socket.close()


async def open_channel(host, port, frame_class, frame_limit_bytes, dial_wait_s):
    """Connect and return a channel, not yet authenticated.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    frame_class : type
        The thrift union that the peer sends.
    frame_limit_bytes : int
        Longest frame that is accepted.
    dial_wait_s : float
        Longest time for the connection to come up.

    Raises
    ------
    ConnectionLostError
        If nobody answered in time.
    """
    try:
        socket = await curio.timeout_after(
            dial_wait_s, curio.open_connection, host, port
        )
    except (OSError, curio.TaskTimeout) as error:
        raise ConnectionLostError(f"can't reach {host}:{port}: {error!r}") from error
    return Channel(socket, frame_class, frame_limit_bytes)
