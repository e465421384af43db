"""Requests under which targets end, and that must not be sent to any more of them.

Interface: ``fingerprint(host, path, caller, body)`` names a request by what its
caller's new tries have in common.  ``PoisonRegister(settings, clock)`` has ``async
target_ended(fingerprint, instance_id)``, ``async answered(fingerprint)`` and
``kept_off_until(fingerprint)``; entries tell one another its ``statements()``, which
``async hear(statements, told_by)`` takes.  ``part_name(service_name, part_id)`` names a
part of prompts in the same register; ``PartGuard(settings, clock, register)`` decides
by ``admit(service_name, names)`` whether a request with such parts may be sent.
``PoisonFollower(source, register, settings, clock, turns)`` keeps the register in step
with a store by ``async read()`` and ``async write()``; ``WriteTurns(settings, random)``
says when this entry goes first.
"""

from siskinthread.poison_requests._fingerprint import fingerprint
from siskinthread.poison_requests._following import PoisonFollower, StoredChange
from siskinthread.poison_requests._part_guard import PartGuard
from siskinthread.poison_requests._part_names import part_name
from siskinthread.poison_requests._register import PoisonRegister
from siskinthread.poison_requests._settings import PoisonSettings
from siskinthread.poison_requests._statements import EndStatement, SuspectStatement
from siskinthread.poison_requests._write_turns import WriteTurns

__all__ = [
    "EndStatement",
    "PartGuard",
    "PoisonFollower",
    "PoisonRegister",
    "PoisonSettings",
    "StoredChange",
    "SuspectStatement",
    "WriteTurns",
    "fingerprint",
    "part_name",
]
