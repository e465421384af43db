"""Detection of requests and prompt parts that crash targets.

``fingerprint(host, path, caller, body)`` identifies a request by what its retries have
in common.  `PoisonRegister` keeps the suspected requests.  ``async
target_crashed(fingerprint, instance_id)`` and ``async answered(fingerprint)`` report
results of requests, and ``blocked_until(fingerprint)`` returns until when a request is
blocked.  Hosts exchange its ``statements()``, which ``async hear(statements, source)``
applies.

``part_name(service_name, part_id)`` identifies a prompt part in the same register.
`PartGuard` decides by ``admit(service_name, names)`` whether a request with such parts
may be sent.

`PoisonFollower` synchronises the register with a store by ``async read()`` and ``async
write()``; `WriteTurns` determines when this host may write.
"""

from siskinthread.poison_requests._fingerprint import fingerprint
from siskinthread.poison_requests._following import PoisonFollower, StoredChange
from siskinthread.poison_requests._part_guard import PartGuard
from siskinthread.poison_requests._part_names import part_name
from siskinthread.poison_requests._register import PoisonRegister
from siskinthread.poison_requests._settings import PoisonSettings
from siskinthread.poison_requests._statements import CrashStatement, SuspectStatement
from siskinthread.poison_requests._write_turns import WriteTurns

__all__ = [
    "CrashStatement",
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
