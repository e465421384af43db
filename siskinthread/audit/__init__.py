"""Audit trail: author, object, old and new value and log offset of each change.

Interface: ``AppendLimiter(settings, clock, random)`` bounds the rate of the appends
of one process; ``Recorder(client, stream, settings, limiter, host, incarnation, clock,
metrics)`` with ``record(entry)`` and ``async run()`` writes events that are in no other
stream, such as ``map_entry(...)``; ``Archiver(client, platform, configuration,
settings, sources, limiter, is_writer, clock, metrics)`` with ``async run()`` copies the
events of the streams of ``ConfigurationSource`` and ``OwnershipSource`` before they
expire; ``read_trail(settings, query)`` reads the trail for the command line.
"""

from siskinthread.audit._append_limiter import AppendLimiter
from siskinthread.audit._archiver import Archiver
from siskinthread.audit._claims import OwnershipSource
from siskinthread.audit._entries import Entry, Kind, map_entry
from siskinthread.audit._operators import (
    AuditAnswer,
    AuditQuery,
    parse_since,
    read_trail,
)
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
    "AppendLimiter",
    "Recorder",
    "map_entry",
    "parse_since",
    "read_trail",
]
