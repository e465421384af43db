"""What targets in need ask for: a rate for all entries together, or rest from one.

Interface: ``TargetLimits(settings, clock, random)``; ``note_answer(entry, sent_at_s,
stated)`` takes what an answer states, ``note_asked(service_name, priority)`` each
request of a caller, ``admitted(entries, service_name, priority)`` tells which targets
may get a request now and ``note_sent(instance_id)`` that one gets it.  Entries tell one
another its ``statements()`` and ``asked_rates()``; ``hear(statements, told_by)`` takes
the former, ``peers`` tells the latter.  ``TargetRests(settings, clock, random)`` takes
answers the same way; what it knows concerns this entry alone.
"""

from siskinthread.target_limits._register import TargetLimits
from siskinthread.target_limits._rests import TargetRests
from siskinthread.target_limits._settings import (
    TargetLimitSettings,
    TargetRestSettings,
)
from siskinthread.target_limits._statement import (
    LimitStatement,
    RestStatement,
    StatedLimit,
    StatedRest,
)

__all__ = [
    "LimitStatement",
    "RestStatement",
    "StatedLimit",
    "StatedRest",
    "TargetLimitSettings",
    "TargetLimits",
    "TargetRestSettings",
    "TargetRests",
]
