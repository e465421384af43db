"""Records of the platform's store on requests under which targets have ended."""

import json

from siskinthread.errors import DocumentError, ProtocolError
from siskinthread.observability import part_logger
from siskinthread.platform._sources import decode_json
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.poison_requests import StoredChange, SuspectStatement

TOPIC = "keyed.suspects"
MILLISECONDS_PER_SECOND = 1000
# Logged reasons are truncated to this many characters.
REASON_LIMIT = 300
# Errors that decoding a malformed record raises.
UNREADABLE_ERRORS = (
    DocumentError,
    LookupError,
    OverflowError,
    ProtocolError,
    TypeError,
    ValueError,
)

_logger = part_logger("platform")


class StoredSuspects:
    """Source of suspected requests.

    Parameters
    ----------
    store : StoreClient
        The store.
    clock : siskinthread.timing.Clock
        Its wall-clock time dates the records.  It may be seconds off, which is
        acceptable as records count for minutes.
    """

    __slots__ = ("_clock", "_position", "_store", "confirmation")

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._position = None
        self.confirmation = None

    async def read_all(self):
        """Return every `StoredChange` and a position."""
        records, position = await self._store.read_newest(TOPIC)
        return self._decode_records(records), position

    async def read_changes(self, position, wait_s):
        """Return each `StoredChange` after a position, and the next position."""
        records, position = await self._store.read_changes(
            TOPIC, position, wait_s, self.confirmation
        )
        return self._decode_records(records), position

    def write_at(self, position):
        """Make later writes conditional on there being no record after a position.

        A write that the store carries out after its time-out then can't add to what
        another host has written meanwhile.
        """
        self._position = position

    async def write(self, changes):
        """Write some `StoredChange` objects."""
        records = [self._encode_record(change) for change in changes]
        await self._store.write(TOPIC, records, self._position)

    def _encode_record(self, change):
        if change.statement is None:
            return KeyedRecord(change.fingerprint, None)
        document = {"at_ms": self._clock.unix_ms(), "ends": change.statement.as_rows()}
        return KeyedRecord(change.fingerprint, json.dumps(document).encode())

    def _decode_records(self, records):
        changes = [self._decode_record(record) for record in records]
        return [change for change in changes if change is not None]

    def _decode_record(self, record):
        """Return the `StoredChange` of a record; if unreadable, log it and return None.

        Operators may write to the topic too; an unreadable record has no effect.
        """
        if record.value is None:
            return StoredChange(record.key, None)
        if not record.key.isascii():
            # Fingerprints and names of parts are hexadecimal.
            _logger.event("suspect record has an unknown key", key=record.key)
            return None
        try:
            document = decode_json(record)
            passed_ms = max(0, self._clock.unix_ms() - int(document["at_ms"]))
            passed_s = passed_ms / MILLISECONDS_PER_SECOND
            statement = SuspectStatement.from_rows(record.key, document["ends"])
        except UNREADABLE_ERRORS as error:
            reason = repr(error)[:REASON_LIMIT]
            _logger.event("suspect record is unreadable", reason=reason)
            return None
        for end in statement.crashes:
            end.age_s += passed_s
        return StoredChange(record.key, statement)
