"""Propagation of the configuration between processes, over the links that they have.

``ControlPlane(identity, settings, client, view, membership, clock, metrics)`` is made
by each daemon; ``run()`` is its task.  The daemon hands it to `AgentLinks` or
`AgentServer`, to which it is a `LinkListener`: it hears when links come and go and what
peers say of their configuration, and sends its own questions and answers over them.

``answer_operator(channel, frames, control)`` serves an operator's connection;
`OperatorServer` listens for them in a process that has no other listener for peers.
``siskinthread.control.operators`` is their side.
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
