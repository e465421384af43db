"""What targets in need ask for: a rate for all entries together, or back-off from one.

Interface: ``TargetLimits(settings, clock, random)``; ``note_answer(entry, sent_at_s,
stated)`` takes what an answer states, ``note_asked(service_name, priority)`` each
request of a caller, ``admitted(entries, service_name, priority)`` tells which targets
may get a request now and ``note_sent(instance_id)`` that one gets it.  Entries tell one
another its ``statements()`` and ``asked_rates()``; ``hear(statements, told_by)`` takes
the former, ``peers`` tells the latter.  ``TargetBackoffs(settings, clock, random)``
takes answers the same way; what it knows concerns this entry alone.
"""

from siskinthread.target_limits._backoffs import TargetBackoffs
from siskinthread.target_limits._register import TargetLimits
from siskinthread.target_limits._settings import (
    TargetBackoffSettings,
    TargetLimitSettings,
)
from siskinthread.target_limits._statement import (
    BackoffStatement,
    LimitStatement,
    StatedBackoff,
    StatedLimit,
)

__all__ = [
    "LimitStatement",
    "BackoffStatement",
    "StatedLimit",
    "StatedBackoff",
    "TargetLimitSettings",
    "TargetLimits",
    "TargetBackoffSettings",
    "TargetBackoffs",
]
