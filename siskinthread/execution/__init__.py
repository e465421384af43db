"""Execution of requests at an agent: link server, request ledger, stream buffers.

Interface: ``AgentServer(identity, settings, peer_settings, view, target, clock,
metrics)`` with ``async run(listening_socket)``, ``set_listed_leaving(leaving)``,
``async drain(deadline)`` and ``leaving``.  ``StatusServer`` serves metrics and health.
"""

from siskinthread.execution._server import AgentServer
from siskinthread.execution._settings import ExecutionSettings
from siskinthread.execution._status import StatusServer

__all__ = ["AgentServer", "ExecutionSettings", "StatusServer"]
