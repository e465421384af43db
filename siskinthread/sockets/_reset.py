"""Closing a connection so that its unsent data is discarded."""

import socket
import struct

from siskinthread.observability import part_logger

_logger = part_logger("sockets")

# SO_LINGER with a time of 0: closing sends a reset and discards unacknowledged data.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def reset(sock):
    """Reset a connection whose exchange was abandoned.

    Parameters
    ----------
    sock : curio.io.Socket
        The connection.

    Notes
    -----
    After an ordinary close, the kernel continues to send buffered data.  When a network
    path was cut, a request could thus reach its target 5 s after another target had
    answered the request, and 8.7 s after the first target had reported that it leaves.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError as error:
        _logger.event("connection can't be reset and is closed", reason=repr(error))
    await sock.close()
