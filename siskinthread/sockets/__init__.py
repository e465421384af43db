"""Opening and resetting of TCP connections, for all parts that use sockets.

Interface: ``await connect(sock, address, wait_s)`` connects with a timeout; ``await
reset(sock)`` resets a connection whose exchange was abandoned.
"""

from siskinthread.sockets._connect import connect
from siskinthread.sockets._reset import reset

__all__ = ["connect", "reset"]
