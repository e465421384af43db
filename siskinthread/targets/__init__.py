"""Adapters to the targets: model engines and plain services.

``build_target(settings, clock)`` returns a `Target`; ``open_call(target, request)``
runs a `TargetRequest`; ``resume_call(target, request_id, offset_bytes)`` continues a
request that another incarnation of the agent has sent.  A `Call` yields `Head`, `Part`
and `End` (`siskinthread.outcomes`).
"""

from siskinthread.targets._adapters import open_call, resume_call
from siskinthread.targets._calls import Call
from siskinthread.targets._request import TargetRequest
from siskinthread.targets._settings import TargetSettings
from siskinthread.targets._target import (
    build_target,
    EngineTarget,
    PlainTarget,
    Target,
    TargetLoad,
)

__all__ = [
    "Call",
    "EngineTarget",
    "PlainTarget",
    "Target",
    "TargetLoad",
    "TargetRequest",
    "TargetSettings",
    "build_target",
    "open_call",
    "resume_call",
]
