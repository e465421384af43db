"""What the platform's store holds for the gateway, as the product's own objects."""

import json

from siskinthread.errors import DocumentError
from siskinthread.gateway import TargetChange
from siskinthread.observability import part_logger
from siskinthread.platform._evacuation_records import EvacuationRecords
from siskinthread.platform._published import read_route_table
from siskinthread.platform._server_entry import read_target_entry

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"

# Records of other writers whose reasons are remembered, so that each is logged once.
REFUSED_LIMIT = 256
# Characters of a reason that are logged.
REASON_LIMIT = 300

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
    newest_version : int
        Its version; 0 without one.
    evacuations : EvacuationRecords
        Evacuated failure domains up to the position that was read last.
    """

    __slots__ = ("_store", "evacuations", "newest", "newest_version")

    def __init__(self, store):
        self._store = store
        self.newest = None
        self.newest_version = 0
        self.evacuations = EvacuationRecords()

    async def read_newest(self):
        """Return the newest readable table, or None, and a position."""
        records, position = await self._store.read_newest(CONFIGURATION_TOPIC)
        self.evacuations.take_newest(records)
        tables = self.take(records)
        return (tables[-1] if tables else None), position

    async def read_changes(self, position, wait_s):
        """Return the tables behind a position, oldest first, and the next position."""
        records, position = await self._store.read_changes(
            CONFIGURATION_TOPIC, position, wait_s
        )
        self.evacuations.take_changes(records)
        return self.take(records), position

    def take_told(self, told):
        """Take the `siskinthread.gateway.ToldTable` of a peer as if it had been read.

        Later reads go on behind its position.
        """
        self.evacuations.take_told(told.evacuated)
        if told.record is not None:
            self.newest = told.record
            self.newest_version = told.table.version

    def take(self, records):
        """Return the table of the newest of some records, in a list, if it is one.

        Reading each of a quick series would take time that requests need.
        """
        for record in records[::-1]:
            if record.key != CONFIGURATION_KEY or record.value is None:
                continue
            table = _read_table(record)
            if table is not None:
                self.newest = record
                self.newest_version = table.version
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
    listed : dict of str to siskinthread.gateway.TargetEntry
        The targets at the position that was read last, by the id that they are listed
        under.  They are handed out as being of that position, so that nothing of an
        earlier reading may be left among them.

    Notes
    -----
    A record that can't be read names no target from then on, like one that is dropped:
    whoever reads the list anew does not see the target either.
    """

    __slots__ = ("_refused", "_store", "listed")

    def __init__(self, store):
        self._store = store
        self.listed = {}
        # Why records can't be read, by key; each reason is logged once.
        self._refused = {}

    async def read_all(self):
        """Return every `TargetEntry` and a position."""
        records, position = await self._store.read_newest(TARGETS_TOPIC)
        self.listed = {}
        self.take(records)
        return list(self.listed.values()), position

    async def read_changes(self, position):
        """Return each `TargetChange` behind a position, and the next position."""
        records, position = await self._store.read_changes(TARGETS_TOPIC, position)
        return self.take(records), position

    def take_told(self, told):
        """Take the `siskinthread.gateway.ToldTargets` of a peer as if it was read."""
        self.listed = {entry.listed_id: entry for entry in told.entries}

    def take(self, records):
        """Return each `TargetChange` of some records."""
        return [TargetChange(one.key, self._read_entry(one)) for one in records]

    def _read_entry(self, record):
        """Return the `TargetEntry` of a record, None if it names no target."""
        entry = None
        if record.value is not None:
            try:
                entry = read_target_entry(record.key, decode_json(record))
            except DocumentError as error:
                self._note_refused(record.key, str(error))
            else:
                self._refused.pop(record.key, None)
        if entry is None:
            self.listed.pop(record.key, None)
        else:
            entry.record = record
            self.listed[record.key] = entry
        return entry

    def _note_refused(self, key, reason):
        if self._refused.get(key) == reason:
            return
        if len(self._refused) >= REFUSED_LIMIT:
            self._refused.clear()
        self._refused[key] = reason
        _logger.event("record names no target", key=key, reason=reason)


def decode_json(record):
    """Return what a `KeyedRecord` holds.

    Raises
    ------
    DocumentError
        If that is no JSON, or too deeply nested to be read.
    """
    try:
        return json.loads(record.value)
    except (ValueError, RecursionError) as error:
        raise DocumentError([f"{record.key}: {error!r}"[:REASON_LIMIT]]) from error


def _read_table(record):
    """Return the `RouteTable` of a record; None, with a log line, if it is none."""
    try:
        return read_route_table(record.key, decode_json(record))
    except DocumentError as error:
        _logger.event("configuration is unreadable", reason=str(error)[:REASON_LIMIT])
        return None
