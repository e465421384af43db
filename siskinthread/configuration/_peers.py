"""Distribution of records between processes, so that few processes read the log.

Functions on the messages of ``thrift/frames.thrift``; the caller selects the peers and
sends the messages.
"""

import collections
import enum

import xxhash

from siskinthread.configuration._fold import Fold, record_digest
from siskinthread.configuration._records import RecordError
from siskinthread.configuration._snapshots import (
    encode_snapshot,
    restore,
    SnapshotAssembler,
)
from siskinthread.configuration._verdict import Status
from siskinthread.shared_services import LogRecord
from siskinthread.wire import (
    ConfigurationRecord,
    ConfigurationStatus,
    ConfigurationUpdate,
)

RECORDS_KEPT = 200
BYTES_KEPT = 1024 * 1024
NOTHING_APPLIED = -1


class MergeOutcome(enum.StrEnum):
    """Outcome of merging a peer's update."""

    ADVANCED = "advanced"
    # The peer has the same records or fewer.
    UP_TO_DATE = "up_to_date"
    # The update answers an earlier request; a new request may succeed.
    STALE = "stale"
    # The peer has a different history: the log was shortened or rewritten meanwhile.
    DIVERGED = "diverged"
    UNREADABLE = "unreadable"


class RecentRecords:
    """The newest records of a fold in wire form, each with the chain before it.

    Notes
    -----
    Parts of snapshots are kept without their bodies.  They don't affect the fold, and
    sending them to every process of a domain would use most of the reader's bandwidth.
    """

    __slots__ = ("_items", "_size_bytes")

    def __init__(self):
        self._items = collections.deque()
        self._size_bytes = 0

    def add(self, record, chain_before, verdict):
        """Add a record that was just folded, given its `Verdict`."""
        if verdict.status is Status.SNAPSHOT:
            digest = record_digest(record)
            item = ConfigurationRecord(record.offset, record.at_ms, None, digest)
        else:
            item = ConfigurationRecord(record.offset, record.at_ms, record.body)
        self.add_item(item, chain_before)

    def add_item(self, item, chain_before):
        """Add a `ConfigurationRecord`.

        If it doesn't follow the newest item, the previous items are dropped.
        """
        if self._items and self._items[-1][0].offset + 1 != item.offset:
            self._items.clear()
            self._size_bytes = 0
        self._items.append((item, chain_before))
        self._size_bytes += _size_bytes(item)
        while len(self._items) > RECORDS_KEPT or self._size_bytes > BYTES_KEPT:
            dropped, _ = self._items.popleft()
            self._size_bytes -= _size_bytes(dropped)

    def items_after(self, offset):
        """Return the chain at an offset and the items after it.

        Returns
        -------
        tuple or None
            None if there is no item after the offset, or if the first one is no longer
            kept.
        """
        if not self._items:
            return None
        skipped = offset + 1 - self._items[0][0].offset
        if not 0 <= skipped < len(self._items):
            return None
        found = [self._items[index] for index in range(skipped, len(self._items))]
        return found[0][1], [item for item, _ in found]


def chosen_readers(host_names, count):
    """Return the hosts of a failure domain that read the log for the others.

    Uses rendezvous hashing: when hosts join or leave, few readers change, and nodes
    with different views of the live hosts choose mostly the same readers.

    Parameters
    ----------
    host_names : iterable of str
        Hosts of the domain that are believed to be alive.
    count : int
        Number of readers.

    Returns
    -------
    list of str
        Names of the readers, the most preferred first.
    """
    return sorted(host_names, key=_rank)[:count]


def _rank(host_name):
    return xxhash.xxh64_intdigest(host_name.encode()), host_name


def own_status(fold, confirmed_age_ms=None, snapshot_offset=None):
    """Return the `ConfigurationStatus` of a fold, or of no fold if it is None."""
    if fold is None:
        return ConfigurationStatus(NOTHING_APPLIED, "", None, None)
    return ConfigurationStatus(
        fold.applied_offset,
        fold.chain,
        confirmed_age_ms,
        snapshot_offset,
        fold.state.version,
    )


def records_since(base, fold, recent, status, size_limit_bytes):
    """Return the `ConfigurationUpdate` that answers a peer.

    Parameters
    ----------
    base : ConfigurationStatus
        Status of the peer.
    fold : Fold or None
        Fold of this process.
    recent : RecentRecords
        Newest records of the fold.
    status : ConfigurationStatus
        Status of the fold.
    size_limit_bytes : int
        Maximum total length of the record bodies in one answer, which contains at least
        one record, and maximum length of a part of a snapshot.

    Returns
    -------
    ConfigurationUpdate
        Contains the records after `base`, or a snapshot if these are no longer kept.
    """
    if not is_complete_status(base):
        base = own_status(None)
    update = ConfigurationUpdate(status, base, [], [], False)
    if status.applied_offset <= base.applied_offset:
        same_offset = status.applied_offset == base.applied_offset
        update.diverged = same_offset and status.chain != base.chain
        return update
    found = recent.items_after(base.applied_offset)
    if found is None:
        update.snapshot = encode_snapshot(fold, size_limit_bytes)
        return update
    chain, records = found
    update.diverged = chain != base.chain
    if not update.diverged:
        update.records = _limit_size(records, size_limit_bytes)
    return update


class MergeResult:
    """Result of merging a peer's update.

    Parameters
    ----------
    outcome : MergeOutcome
        Outcome.
    fold : Fold or None
        Fold to continue with; a new object if a snapshot was restored.
    records : list of LogRecord
        Records that were folded.
    """

    __slots__ = ("fold", "outcome", "records")

    def __init__(self, outcome, fold, records=()):
        self.outcome = outcome
        self.fold = fold
        self.records = list(records)


def merge(update, fold, recent, known_format):
    """Fold the records or the snapshot of a peer's update.

    Parameters
    ----------
    update : ConfigurationUpdate
        Answer of the peer.
    fold : Fold or None
        Fold of this process; records are applied to it in place.
    recent : RecentRecords
        Newest records of the fold; folded records are added.
    known_format : int
        Newest record format that this program can read.

    Returns
    -------
    MergeResult
    """
    if not _is_complete(update):
        return MergeResult(MergeOutcome.UNREADABLE, fold)
    applied_offset = own_status(fold).applied_offset
    if update.diverged:
        return MergeResult(MergeOutcome.DIVERGED, fold)
    if update.status.applied_offset <= applied_offset:
        return MergeResult(MergeOutcome.UP_TO_DATE, fold)
    if update.snapshot:
        return _restore_snapshot(update.snapshot, fold, known_format)
    if update.base.applied_offset != applied_offset:
        return MergeResult(MergeOutcome.STALE, fold)
    fold = fold or Fold(known_format)
    # Checked here as well as by the peer: an answer to an earlier run of this process
    # must not be folded onto a history that it doesn't continue.
    if update.base.chain != fold.chain:
        return MergeResult(MergeOutcome.DIVERGED, fold)
    return _fold_records(update.records, fold, recent)


def is_complete_status(status):
    """Return whether a `ConfigurationStatus` from a peer has its required fields.

    Thrift sets fields that weren't sent to None.  Without this check, such a field
    would end the task that follows the log, and the state would no longer be updated.
    """
    return (
        status is not None
        and status.applied_offset is not None
        and status.chain is not None
    )


def _is_complete(update):
    statuses = is_complete_status(update.status) and is_complete_status(update.base)
    if not statuses or update.records is None or update.snapshot is None:
        return False
    return all(_is_complete_item(item) for item in update.records)


def _is_complete_item(item):
    has_content = item.body is not None or item.digest is not None
    return item.offset is not None and item.at_ms is not None and has_content


def _fold_records(items, fold, recent):
    merged = MergeResult(MergeOutcome.UP_TO_DATE, fold)
    for item in items:
        if item.offset != fold.applied_offset + 1:
            merged.outcome = MergeOutcome.UNREADABLE
            break
        chain_before = fold.chain
        record = LogRecord(item.offset, item.at_ms, item.body or b"")
        if item.body is None:
            fold.skip(item.offset, item.digest)
        elif fold.apply(record) is None:
            break
        recent.add_item(item, chain_before)
        merged.records.append(record)
        merged.outcome = MergeOutcome.ADVANCED
    return merged


def _restore_snapshot(bodies, fold, known_format):
    assembler = SnapshotAssembler()
    found = [assembler.add(LogRecord(0, 0, body)) for body in bodies]
    if found[-1] is None:
        return MergeResult(MergeOutcome.UNREADABLE, fold)
    try:
        restored = restore(found[-1], known_format)
    except RecordError:
        return MergeResult(MergeOutcome.UNREADABLE, fold)
    if fold is not None and not is_at_least_as_new(restored, fold):
        return MergeResult(MergeOutcome.DIVERGED, fold)
    return MergeResult(MergeOutcome.ADVANCED, restored)


def is_at_least_as_new(fold, other):
    """Return whether a fold is at least as new as another and may replace it."""
    return (
        fold.applied_offset >= other.applied_offset
        and fold.state.version >= other.state.version
    )


def _limit_size(items, size_limit_bytes):
    chosen, size_bytes = [], 0
    for item in items:
        size_bytes += _size_bytes(item)
        if chosen and size_bytes > size_limit_bytes:
            break
        chosen.append(item)
    return chosen


def _size_bytes(item):
    return len(item.body or b"")
