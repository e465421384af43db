"""Limits, back-off requests and cold starts of targets.

A target in overload states a rate limit for all hosts together, or requests back-off
from one host.

`TargetLimits` keeps the rate limits.  ``note_answer(entry, sent_at_s, stated)`` takes
the statement of an answer, ``note_asked(service_name, priority)`` counts a caller's
request, ``admitted(entries, service_name, priority)`` returns the targets that may get
a request now, and ``note_sent(instance_id)`` counts a request that is sent.  Hosts
exchange ``statements()`` and ``asked_rates()``: ``hear(statements, source)`` applies
the statements of a peer, and ``peers`` provides the request rates of the peers.

`TargetBackoffs` takes answers in the same way; a back-off applies
only to the host from which it was requested.

`ColdTargets` limits the requests to targets that are cold after a start:
``note_entry``, ``note_answer`` and ``note_failure`` detect cold targets,
``admitted(entries, service_name, is_urgent)`` returns the targets with a free slot, and
``take(entry)`` returns the permit of a request.
"""

from siskinthread.target_limits._backoffs import TargetBackoffs
from siskinthread.target_limits._cold import ColdTargets, FREE_PERMIT
from siskinthread.target_limits._register import TargetLimits
from siskinthread.target_limits._settings import (
    ColdTargetSettings,
    TargetBackoffSettings,
    TargetLimitSettings,
)
from siskinthread.target_limits._statement import (
    BackoffStatement,
    ColdStatement,
    LimitStatement,
    StatedBackoff,
    StatedLimit,
)

__all__ = [
    "FREE_PERMIT",
    "ColdStatement",
    "ColdTargetSettings",
    "ColdTargets",
    "LimitStatement",
    "BackoffStatement",
    "StatedLimit",
    "StatedBackoff",
    "TargetLimitSettings",
    "TargetLimits",
    "TargetBackoffSettings",
    "TargetBackoffs",
]
