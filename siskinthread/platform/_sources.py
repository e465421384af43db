"""What the platform's store holds for the gateway, as the product's own objects."""

import json

from siskinthread.errors import DocumentError
from siskinthread.gateway import TargetChange
from siskinthread.observability import part_logger
from siskinthread.platform._published import read_route_table
from siskinthread.platform._server_entry import read_target_entry

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"

_logger = part_logger("platform")


class PublishedTables:
    """Source of route tables.

    Parameters
    ----------
    store : StoreClient
        The store.
    """

    __slots__ = ("_store",)

    def __init__(self, store):
        self._store = store

    async def read_newest(self):
        """Return the newest readable table, or None, and a position."""
        records, position = await self._store.read_newest(CONFIGURATION_TOPIC)
        tables = _read_tables(records)
        return (tables[-1] if tables else None), position

    async def read_changes(self, position, wait_s):
        """Return the tables behind a position, oldest first, and the next position."""
        records, position = await self._store.read_changes(
            CONFIGURATION_TOPIC, position, wait_s
        )
        # Only the newest counts; reading each of a quick series would take time that
        # requests need.
        newest = [record for record in records if record.key == CONFIGURATION_KEY][-1:]
        return _read_tables(newest), position


class ListedTargets:
    """Source of target entries.

    Parameters
    ----------
    store : StoreClient
        The store.
    """

    __slots__ = ("_store",)

    def __init__(self, store):
        self._store = store

    async def read_all(self):
        """Return every `TargetEntry` and a position."""
        records, position = await self._store.read_newest(TARGETS_TOPIC)
        changes = _read_changes(records)
        entries = [change.entry for change in changes if change.entry is not None]
        return entries, position

    async def read_changes(self, position):
        """Return each `TargetChange` behind a position, and the next position."""
        records, position = await self._store.read_changes(TARGETS_TOPIC, position)
        return _read_changes(records), position


def _read_tables(records):
    tables = []
    for record in records:
        if record.key != CONFIGURATION_KEY or record.value is None:
            continue
        table = _read(read_route_table, record)
        if table is not None:
            tables.append(table)
    return tables


def _read_changes(records):
    changes = []
    for record in records:
        if record.value is None:
            changes.append(TargetChange(record.key, None))
            continue
        entry = _read(read_target_entry, record)
        if entry is not None:
            changes.append(TargetChange(record.key, entry))
    return changes


def _read(read, record):
    """Return what a record holds; None, with a log line, if it can't be read."""
    try:
        return read(record.key, json.loads(record.value))
    except (ValueError, DocumentError) as error:
        _logger.event("record is unreadable", key=record.key, reason=str(error))
        return None
