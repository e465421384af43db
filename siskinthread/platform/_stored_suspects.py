"""What the platform's store has of requests under which targets have ended."""

import json

from siskinthread.errors import DocumentError, ProtocolError
from siskinthread.observability import part_logger
from siskinthread.platform._sources import decode_json
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.poison_requests import StoredChange, SuspectStatement

TOPIC = "keyed.suspects"
MILLISECONDS_PER_SECOND = 1000
# Characters of a reason that are logged.
REASON_LIMIT = 300

_logger = part_logger("platform")


class StoredSuspects:
    """Source of suspected requests.

    Parameters
    ----------
    store : StoreClient
        The store.
    clock : siskinthread.timing.Clock
        Its time of day dates the records; it may be seconds off, and they count for
        minutes.
    """

    __slots__ = ("_clock", "_position", "_store")

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._position = None

    async def read_all(self):
        """Return every `StoredChange` and a position."""
        records, position = await self._store.read_newest(TOPIC)
        return self._take(records), position

    async def read_changes(self, position, wait_s):
        """Return each `StoredChange` behind a position, and the next position."""
        records, position = await self._store.read_changes(TOPIC, position, wait_s)
        return self._take(records), position

    def write_at(self, position):
        """Let later writes take place only if nothing is behind a position.

        A write that the store carries out late, after its answer was given up, then
        adds nothing to what another host has written meanwhile.
        """
        self._position = position

    async def write(self, changes):
        """Write some `StoredChange` objects."""
        records = [self._record(change) for change in changes]
        await self._store.write(TOPIC, records, self._position)

    def _record(self, change):
        if change.statement is None:
            return KeyedRecord(change.fingerprint, None)
        document = {"at_ms": self._clock.unix_ms(), "ends": change.statement.as_rows()}
        return KeyedRecord(change.fingerprint, json.dumps(document).encode())

    def _take(self, records):
        changes = [self._read(record) for record in records]
        return [change for change in changes if change is not None]

    def _read(self, record):
        """Return the `StoredChange` of a record; None, with a log line, if it is none.

        Operators may write there too; a record that can't be read says nothing.
        """
        if record.value is None:
            return StoredChange(record.key, None)
        try:
            document = decode_json(record)
            passed_ms = max(0, self._clock.unix_ms() - int(document["at_ms"]))
            statement = SuspectStatement.from_rows(record.key, document["ends"])
        except (DocumentError, ProtocolError, LookupError, TypeError, ValueError) as e:
            _logger.event(
                "suspected request is unreadable", reason=repr(e)[:REASON_LIMIT]
            )
            return None
        for end in statement.ends:
            end.age_s += passed_ms / MILLISECONDS_PER_SECOND
        return StoredChange(record.key, statement)
