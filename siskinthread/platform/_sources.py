"""Records of the platform's store, decoded into objects of the gateway."""

import json

from siskinthread.errors import DocumentError
from siskinthread.gateway import ReportOrder, TargetChange
from siskinthread.observability import part_logger
from siskinthread.platform._evacuation_records import EvacuationRecords
from siskinthread.platform._published import read_route_table
from siskinthread.platform._server_entry import read_target_entry

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"

# Unreadable records whose reasons are remembered, so that each is logged once.
LOGGED_REASONS_LIMIT = 256
# Logged reasons are truncated to this many characters.
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
        The newest readable record.
    newest_version : int
        Its version; 0 without one.
    evacuations : EvacuationRecords
        Evacuated failure domains up to the last read position.
    confirmation : siskinthread.source_eras.PositionConfirmation or None
        When a read that waits must be checked; see `StoreClient.read_changes`.
    """

    __slots__ = ("_store", "confirmation", "evacuations", "newest", "newest_version")

    def __init__(self, store):
        self._store = store
        self.newest = None
        self.newest_version = 0
        self.evacuations = EvacuationRecords()
        self.confirmation = None

    async def read_newest(self):
        """Return the newest readable table, or None, and a position."""
        records, position = await self._store.read_newest(CONFIGURATION_TOPIC)
        self.evacuations.replace_all(records)
        tables = self.apply(records)
        return (tables[-1] if tables else None), position

    async def read_changes(self, position, wait_s):
        """Return the tables after a position, oldest first, and the next position."""
        records, position = await self._store.read_changes(
            CONFIGURATION_TOPIC, position, wait_s, self.confirmation
        )
        self.evacuations.apply_changes(records)
        return self.apply(records), position

    def take_told(self, peer_table):
        """Adopt the `siskinthread.gateway.ServedTable` of a peer as if it were read.

        Later reads continue after its position.
        """
        self.evacuations.take_told(peer_table.evacuated)
        if peer_table.record is not None:
            self.newest = peer_table.record
            self.newest_version = peer_table.table.version

    def apply(self, records):
        """Return the newest readable table of some records, as a list of at most one.

        Decoding each table of a quick series would take processor time from requests.
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
    store_address : siskinthread.settings.Address or None
        Its address, at which no target can listen; None if it is not known.

    Attributes
    ----------
    listed : dict of str to siskinthread.gateway.TargetEntry
        The targets at the last read position, by the id under which they are listed.
        They are served to peers as the state of that position, so entries of an earlier
        read must not remain among them.

    Notes
    -----
    An unreadable record removes its target, as a dropped record does: a host that reads
    the list anew does not see the target either.

    A late report changes nothing; see `siskinthread.gateway.ReportOrder`.  It is left
    out here, and not where targets are chosen, so that all hosts have the same list.
    """

    __slots__ = (
        "_era",
        "_logged_reasons",
        "_order",
        "_store",
        "_store_address",
        "listed",
    )

    def __init__(self, store, store_address=None):
        self._store = store
        self._store_address = store_address
        self.listed = {}
        self._order = ReportOrder()
        # Era of the store in which the targets were last read.
        self._era = None
        # Why records can't be read, by key.
        self._logged_reasons = {}

    async def read_all(self):
        """Return every `TargetEntry` and a position."""
        records, position = await self._store.read_newest(TARGETS_TOPIC)
        entries = [self._read_entry(one) for one in records]
        is_restored = position.era != self._era
        self._era = position.era
        entries = [one for one in entries if one is not None]
        if is_restored:
            # The store has older reports of targets that are listed.
            self._replace(entries, self._order.is_of_earlier_start)
            self._order.replace(self.listed.values())
        else:
            self._replace(entries, self._is_late)
        return list(self.listed.values()), position

    async def read_changes(self, position):
        """Return each `TargetChange` after a position, and the next position."""
        records, position = await self._store.read_changes(TARGETS_TOPIC, position)
        return self.apply(records), position

    def take_told(self, peer_list):
        """Adopt the `siskinthread.gateway.ServedTargets` of a peer as if read here.

        Late reports are removed from its entries.  A report of a listed target may be
        older than the one that was read here, as the peer's list was not read since.
        """
        for listed_id, mark in peer_list.gone.items():
            self._order.note_told(listed_id, mark)
        self._era = peer_list.position.era
        self._replace(peer_list.entries, self._order.is_of_earlier_start)
        peer_list.entries = list(self.listed.values())

    def recently_gone(self):
        """Return the marks of the targets that were removed last, by listed id."""
        return self._order.recently_gone()

    def apply(self, records):
        """Apply some records, and return each `TargetChange`."""
        changes = []
        for record in records:
            entry = self._read_entry(record)
            if entry is None:
                self.listed.pop(record.key, None)
                self._order.note_gone(record.key)
            elif self._is_late(entry):
                continue
            else:
                self._order.note(entry)
                self.listed[record.key] = entry
            changes.append(TargetChange(record.key, entry))
        return changes

    def _replace(self, entries, is_listed_late):
        """Replace all targets.

        Parameters
        ----------
        entries : list of TargetEntry
            The complete list.
        is_listed_late : callable
            Returns whether a `TargetEntry` of a target that is listed is late.
        """
        before, self.listed = self.listed, {}
        for entry in entries:
            is_listed = entry.listed_id in before
            if (is_listed_late if is_listed else self._is_late)(entry):
                continue
            self._order.note_listed(entry)
            self.listed[entry.listed_id] = entry
        for listed_id in before.keys() - self.listed.keys():
            self._order.note_gone(listed_id)

    def _is_late(self, entry):
        """Return whether an entry is a late report; log it if so."""
        if not self._order.is_late(entry):
            return False
        newest = self._order.newest(entry.listed_id)
        _logger.event(
            "late report of a target is ignored",
            target=entry.instance_id,
            report=entry.report_number,
            newest_report=newest.number,
            newest_started_unix_ms=newest.started_unix_ms,
        )
        return True

    def _read_entry(self, record):
        """Return the `TargetEntry` of a record; None if it has none."""
        entry = None
        if record.value is not None:
            try:
                entry = self._read_target(record)
            except DocumentError as error:
                self._log_unreadable(record.key, str(error))
            else:
                self._logged_reasons.pop(record.key, None)
        if entry is not None:
            entry.record = record
        return entry

    def _read_target(self, record):
        """Return the `TargetEntry` of a value; raise `DocumentError` if malformed."""
        entry = read_target_entry(record.key, decode_json(record))
        store = self._store_address
        if store is not None and (entry.host, entry.port) == (store.host, store.port):
            raise DocumentError([f"{record.key}: the store listens at its address"])
        return entry

    def _log_unreadable(self, key, reason):
        if self._logged_reasons.get(key) == reason:
            return
        if len(self._logged_reasons) >= LOGGED_REASONS_LIMIT:
            self._logged_reasons.clear()
        self._logged_reasons[key] = reason
        _logger.event("record names no target", key=key, reason=reason)


def decode_json(record):
    """Return the decoded JSON of a `KeyedRecord`.

    Raises
    ------
    DocumentError
        If the value is not JSON in UTF-8, or nested too deeply to be decoded.
    """
    try:
        # `json` also accepts other encodings, which the documents for peers can't hold.
        return json.loads(record.value.decode("utf-8-sig"))
    except (ValueError, RecursionError) as error:
        raise DocumentError([f"{record.key}: {error!r}"[:REASON_LIMIT]]) from error


def _read_table(record):
    """Return the `RouteTable` of a record; if unreadable, log it and return None."""
    try:
        return read_route_table(record.key, decode_json(record))
    except DocumentError as error:
        _logger.event("configuration is unreadable", reason=str(error)[:REASON_LIMIT])
        return None
