"""Finds the log lines that explain the outcome of a request, by its id.

Interface: ``find_request(lines, request_id)`` returns a `Trace` or None, which has
``render()`` for readers and ``as_json()`` for tools.
"""

from siskinthread.tracing._trace import find_request, Trace

__all__ = ["Trace", "find_request"]
