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

    Attributes
    ----------
    newest : KeyedRecord or None
        The newest record that could be read.
    """

    __slots__ = ("_store", "newest")

    def __init__(self, store):
        self._store = store
        self.newest = None

    async def read_newest(self):
        """Return the newest readable table, or None, and a position."""
        records, position = await self._store.read_newest(CONFIGURATION_TOPIC)
        tables = self.take(records)
        return (tables[-1] if tables else None), position

    async def read_changes(self, position, wait_s):
        """Return the tables behind a position, oldest first, and the next position."""
        records, position = await self._store.read_changes(
            CONFIGURATION_TOPIC, position, wait_s
        )
        return self.take(records), position

    def take(self, records):
        """Return the table of the newest of some records, in a list, if it is one.

        Reading each of a quick series would take time that requests need.
        """
        for record in records[::-1]:
            if record.key != CONFIGURATION_KEY or record.value is None:
                continue
            table = _read(read_route_table, record)
            if table is not None:
                self.newest = record
                return [table]
        return []


class ListedTargets:
    """Source of target entries.

    Parameters
    ----------
    store : StoreClient
        The store.

    Attributes
    ----------
    newest : dict of str to KeyedRecord
        The newest readable record of each target.
    """

    __slots__ = ("_store", "newest")

    def __init__(self, store):
        self._store = store
        self.newest = {}

    async def read_all(self):
        """Return every `TargetEntry` and a position."""
        records, position = await self._store.read_newest(TARGETS_TOPIC)
        changes = self.take(records)
        entries = [change.entry for change in changes if change.entry is not None]
        return entries, position

    async def read_changes(self, position):
        """Return each `TargetChange` behind a position, and the next position."""
        records, position = await self._store.read_changes(TARGETS_TOPIC, position)
        return self.take(records), position

    def take(self, records):
        """Return each `TargetChange` of some records."""
        changes = []
        for record in records:
            if record.value is None:
                self.newest.pop(record.key, None)
                changes.append(TargetChange(record.key, None))
                continue
            entry = _read(read_target_entry, record)
            if entry is not None:
                self.newest[record.key] = record
                changes.append(TargetChange(record.key, entry))
        return changes


def _read(read, record):
    """Return what a record holds; None, with a log line, if it can't be read."""
    try:
        return read(record.key, json.loads(record.value))
    except (ValueError, DocumentError) as error:
        _logger.event("record is unreadable", key=record.key, reason=str(error))
        return None
