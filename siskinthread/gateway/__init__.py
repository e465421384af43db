"""Entry that forwards HTTP requests to targets without agents.

Interface: ``Gateway(settings, failure_domain, wire, table_source, target_source, clock,
metrics, random)``; ``tasks()``, ``async serve_callers(listening socket)``, ``async
serve_pages(listening socket, pages)``, ``async drain(deadline)``.  The sources supply
`RouteTable` and `TargetEntry` objects, the wire parses and writes headers; see
`Gateway`.
"""

from siskinthread.gateway._gateway import Gateway
from siskinthread.gateway._report_order import ReportMark, ReportOrder
from siskinthread.gateway._request import (
    AnswerFacts,
    LoadReport,
    RequestFacts,
    TokenCounts,
)
from siskinthread.gateway._served_reads import ServedTable, ServedTargets
from siskinthread.gateway._session import STATUS_MISDIRECTED
from siskinthread.gateway._settings import GatewaySettings
from siskinthread.gateway._snapshots import Snapshot
from siskinthread.gateway._status import STATUS_OK, StatusPage
from siskinthread.gateway._table import (
    Account,
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    Service,
    ServiceShare,
)
from siskinthread.gateway._target_following import TargetChange
from siskinthread.gateway._target_list import TargetEntry

__all__ = [
    "STATUS_MISDIRECTED",
    "STATUS_OK",
    "Account",
    "AnswerFacts",
    "CallerLimits",
    "Gateway",
    "GatewaySettings",
    "LoadReport",
    "ReportMark",
    "ReportOrder",
    "RequestFacts",
    "RequestKind",
    "Route",
    "RouteTable",
    "Service",
    "ServiceShare",
    "Snapshot",
    "StatusPage",
    "TargetChange",
    "TargetEntry",
    "TokenCounts",
    "ServedTable",
    "ServedTargets",
]
