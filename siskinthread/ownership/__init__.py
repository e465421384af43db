"""Ownership of model groups by agents, through fenced claims on the platform's log.

Interface: ``OwnershipView()`` with ``owner(group)`` (`Owner`: host, incarnation,
fencing; or None), ``fencing(group)``, ``is_following()`` and ``listen(callback)``;
``Claimer(client, view, platform, configuration, settings, host, incarnation, groups,
liveness, clock, metrics)`` with ``async run()`` and ``async confirm(group)``, which a
controller awaits before it acts.  ``Liveness(membership, heartbeats)`` returns whether
a host is suspected; the agents call ``Heartbeats.note_heartbeat(host)`` for each
heartbeat of an owner.
"""

from siskinthread.ownership._claimer import Claimer
from siskinthread.ownership._fold import ClaimStatus, ClaimVerdict
from siskinthread.ownership._liveness import Heartbeats, Liveness
from siskinthread.ownership._reader import ClaimReader, ClaimReading
from siskinthread.ownership._records import Claim, Owner
from siskinthread.ownership._settings import OwnershipSettings
from siskinthread.ownership._tail import LogTail, TailReading
from siskinthread.ownership._view import OwnershipView

__all__ = [
    "Claim",
    "ClaimReader",
    "ClaimReading",
    "ClaimStatus",
    "ClaimVerdict",
    "Claimer",
    "Heartbeats",
    "Liveness",
    "LogTail",
    "Owner",
    "OwnershipSettings",
    "OwnershipView",
    "TailReading",
]
