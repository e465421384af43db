"""The audit trail: who changed what, from what to what, at which offset.

Interface: ``Pace(settings, clock, random)`` bounds what one process appends;
``Recorder(client, stream, settings, pace, host, incarnation, clock, metrics)`` with
``record(entry)`` and ``async run()`` writes events that no stream holds, such as
``map_entry(...)``; ``Archiver(client, platform, configuration, settings, sources, pace,
is_writer, clock, metrics)`` with ``async run()`` copies the others from their streams,
``ConfigurationSource`` and ``OwnershipSource``, before they expire.
``read_trail(settings, query)`` is for the command line.
"""

from siskinthread.audit._archiver import Archiver
from siskinthread.audit._claims import OwnershipSource
from siskinthread.audit._entries import Entry, Kind, map_entry
from siskinthread.audit._operators import (
    AuditAnswer,
    AuditQuery,
    parse_since,
    read_trail,
)
from siskinthread.audit._pace import Pace
from siskinthread.audit._recorder import Recorder
from siskinthread.audit._settings import AuditSettings
from siskinthread.audit._sources import ConfigurationSource

__all__ = [
    "Archiver",
    "AuditAnswer",
    "AuditQuery",
    "AuditSettings",
    "ConfigurationSource",
    "Entry",
    "Kind",
    "OwnershipSource",
    "Pace",
    "Recorder",
    "map_entry",
    "parse_since",
    "read_trail",
]
