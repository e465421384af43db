"""Ending a connection so that what it still holds is not delivered."""

import socket
import struct

from siskinthread.observability import part_logger

_logger = part_logger("sockets")

# Linger for no time: closing sends a reset and drops what is not acknowledged.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def reset(sock):
    """Close a connection whose exchange was given up.

    Parameters
    ----------
    sock : curio.io.Socket
        The connection.

    Notes
    -----
    After an ordinary close the kernel goes on sending what it holds.  Over a path that
    was cut, a request then reached its target 5 s after another one had answered it,
    and 8.7 s after the target had said that it leaves.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError as error:
        _logger.event("connection can't be reset and is closed", reason=repr(error))
    await sock.close()
