"""From the id of a request to what the log files tell of its cause.

Interface: ``find_request(lines, request_id)`` returns a `Trace` or None, which has
``render()`` for people and ``as_json()`` for tools.
"""

from siskinthread.tracing._trace import find_request, Trace

__all__ = ["Trace", "find_request"]
