"""HTTP/1.1 server for callers: connections, time limits and graceful drain.

Interface: ``ConnectionServer(settings, context, build_session, clock, open_count,
memory)`` with ``async run(listening socket)`` and ``async drain(deadline)``.  A
`Session` reads requests from its `CallerConnection` (``read_head``, ``read_body``) and
writes the response (``write_whole``, or ``write_head``, ``write_data``,
``write_end``).
"""

from siskinthread.http_server._body_budget import BodyBudget
from siskinthread.http_server._caller_socket import CallerSocket
from siskinthread.http_server._connection import CallerConnection
from siskinthread.http_server._drain_state import DrainEndedError, DrainState
from siskinthread.http_server._head import (
    HOP_BY_HOP_HEADERS,
    relayed_headers,
    RequestHead,
)
from siskinthread.http_server._input_memory import CallerGroup, InputMemory
from siskinthread.http_server._phase import Phase
from siskinthread.http_server._refusal import bad_request, Refusal, refuse, status_of
from siskinthread.http_server._request_body import RequestBodies
from siskinthread.http_server._server import ConnectionServer
from siskinthread.http_server._session import Session

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "BodyBudget",
    "CallerConnection",
    "CallerGroup",
    "CallerSocket",
    "ConnectionServer",
    "DrainEndedError",
    "DrainState",
    "InputMemory",
    "Phase",
    "Refusal",
    "RequestBodies",
    "RequestHead",
    "Session",
    "bad_request",
    "refuse",
    "relayed_headers",
    "status_of",
]
