"""Admission, queueing, retry and placement decisions under load, without I/O.

Each part takes a clock, loads and requests, and returns a typed decision.

Admission: ``LoadControl(parts)`` holds the state of a host. ``note_asked(request)``
counts each incoming request, ``evaluate(request, candidates, group_of)`` returns its
`Admission` (the targets that admit it), ``refusal_cause(admission, chosen, load)``
returns a `BindingCause`, or None if the request is admitted, and ``started(request,
entry)`` returns a `RunningRequest` for a request that is sent to a target.

Queueing: ``WaitPolicy(settings, clock).decide(facts)`` decides whether and until when a
request may wait, ``WaitQueue(settings)`` holds the waiting requests in their order,
``OutageDurations(settings, clock)`` estimates the rest of an outage, and
``RouteDurations(settings)`` the duration of a request of a route.

Retries: ``RetrySchedule(settings, clock)`` counts the retry slots promised to the
refused callers of a service, by time step, and ``RetryDetector(settings, clock)`` tells
retries from first attempts.

Speeds: ``Speeds(parts)`` measures request durations at each target, as reported by
``started`` and the `RunningRequest`. ``prefer(...)`` returns the targets preferred for
a request (all of them where no speed differs), ``slow_groups(...)`` the groups with
longer passes, and ``statements()`` a `SpeedStatement` by target, to be sent to peers.
"""

from siskinthread.load_control._admission import Admission
from siskinthread.load_control._binding_cause import BindingCause
from siskinthread.load_control._load_control import LoadControl
from siskinthread.load_control._outage_durations import OutageDurations
from siskinthread.load_control._recent_priorities import RecentPriorities
from siskinthread.load_control._retry_detector import RetryDetector
from siskinthread.load_control._retry_schedule import RetrySchedule, ScheduledRetry
from siskinthread.load_control._route_durations import RouteDurations
from siskinthread.load_control._running_request import RunningRequest
from siskinthread.load_control._settings import LoadControlSettings
from siskinthread.load_control._speed_settings import SpeedSettings
from siskinthread.load_control._speed_statement import (
    add_speeds,
    slowest,
    SpeedStatement,
)
from siskinthread.load_control._speeds import Speeds
from siskinthread.load_control._token_model import TokenModel
from siskinthread.load_control._waiting import (
    NoWait,
    Waiter,
    WaitFacts,
    WaitOrder,
    WaitPolicy,
    WaitQueue,
)
from siskinthread.load_control._waiting_settings import ReturnSettings, WaitingSettings

__all__ = [
    "Admission",
    "BindingCause",
    "ScheduledRetry",
    "LoadControl",
    "LoadControlSettings",
    "NoWait",
    "OutageDurations",
    "RecentPriorities",
    "RouteDurations",
    "RetrySchedule",
    "ReturnSettings",
    "RetryDetector",
    "RunningRequest",
    "SpeedSettings",
    "SpeedStatement",
    "Speeds",
    "TokenModel",
    "WaitFacts",
    "WaitOrder",
    "WaitQueue",
    "WaitPolicy",
    "Waiter",
    "WaitingSettings",
    "add_speeds",
    "slowest",
]
