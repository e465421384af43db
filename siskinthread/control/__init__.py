"""Propagation of the configuration between processes over their existing links.

Each daemon creates ``ControlPlane(identity, settings, client, view, membership, clock,
metrics)`` and runs ``run()`` as a task.  The daemon passes it to `AgentLinks` or
`AgentServer` as their `LinkListener`: it is notified when links come up and go down,
receives the peers' configuration messages and sends its own requests and answers over
the same links.

``answer_operator(channel, frames, control)`` serves an operator's connection;
`OperatorServer` listens for such connections in a process that has no other listener
for peers.  ``siskinthread.control.operators`` is the client side.
"""

from siskinthread.control._listener import LinkListener
from siskinthread.control._operators import (
    answer_operator,
    OPERATOR_ROLE,
    OperatorServer,
)
from siskinthread.control._plane import ControlPlane

__all__ = [
    "OPERATOR_ROLE",
    "ControlPlane",
    "LinkListener",
    "OperatorServer",
    "answer_operator",
]
