"""Ends of connections that every part which speaks to another process needs.

Interface: ``await reset(sock)`` ends a connection whose exchange was given up.
"""

from siskinthread.sockets._reset import reset

__all__ = ["reset"]
