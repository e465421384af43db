"""Passing records between processes, so that few of them have to read the log.

Plain functions over the messages of ``thrift/frames.thrift``; who asks whom, and over
which connection, is the caller's business.
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
    """What became of a peer's update."""

    ADVANCED = "advanced"
    # The peer holds the same records, or fewer.
    UP_TO_DATE = "up_to_date"
    # It answers an older question; asking again helps.
    STALE = "stale"
    # The peer's history is another one: the log was shortened or rewritten between.
    DIVERGED = "diverged"
    UNREADABLE = "unreadable"


class RecentRecords:
    """The newest records of a fold as peers get them, each with the chain before it.

    Notes
    -----
    Parts of snapshots are kept without their body.  They change nothing in a fold, and
    sent to every process of a domain they would take most of what it may send.
    """

    __slots__ = ("_items", "_size_bytes")

    def __init__(self):
        self._items = collections.deque()
        self._size_bytes = 0

    def add(self, record, chain_before, verdict):
        """Keep a record that was just folded with its `Verdict`."""
        if verdict.status is Status.SNAPSHOT:
            digest = record_digest(record)
            item = ConfigurationRecord(record.offset, record.at_ms, None, digest)
        else:
            item = ConfigurationRecord(record.offset, record.at_ms, record.body)
        self.add_item(item, chain_before)

    def add_item(self, item, chain_before):
        """Keep a `ConfigurationRecord`."""
        if self._items and self._items[-1][0].offset + 1 != item.offset:
            self._items.clear()
            self._size_bytes = 0
        self._items.append((item, chain_before))
        self._size_bytes += _size_bytes(item)
        while len(self._items) > RECORDS_KEPT or self._size_bytes > BYTES_KEPT:
            dropped, _ = self._items.popleft()
            self._size_bytes -= _size_bytes(dropped)

    def behind(self, offset):
        """Return the chain at an offset and the items behind it, or None."""
        if not self._items:
            return None
        skipped = offset + 1 - self._items[0][0].offset
        if not 0 <= skipped < len(self._items):
            return None
        found = [self._items[index] for index in range(skipped, len(self._items))]
        return found[0][1], [item for item, _ in found]


def chosen_readers(host_names, count):
    """Return the hosts of a failure domain that read the log for the others.

    Parameters
    ----------
    host_names : iterable of str
        Hosts of the domain that are thought to be alive.
    count : int
        Number of readers.

    Returns
    -------
    list of str
        The most preferred one first.  Hosts that come and go change few places; nodes
        that see other hosts alive choose mostly the same.
    """
    return sorted(host_names, key=_rank)[:count]


def _rank(host_name):
    return xxhash.xxh64_intdigest(host_name.encode()), host_name


def own_status(fold, confirmed_age_ms=None, snapshot_offset=None):
    """Return the `ConfigurationStatus` of a fold; None stands for no fold."""
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
        What the peer holds.
    fold : Fold or None
        What this process holds.
    recent : RecentRecords
        Its newest records.
    status : ConfigurationStatus
        Of the fold.
    size_limit_bytes : int
        Bodies of records in one answer, at most, but one record at least; and length
        of a snapshot's part.
    """
    if not is_whole_status(base):
        base = own_status(None)
    update = ConfigurationUpdate(status, base, [], [], False)
    if status.applied_offset <= base.applied_offset:
        same_offset = status.applied_offset == base.applied_offset
        update.diverged = same_offset and status.chain != base.chain
        return update
    found = recent.behind(base.applied_offset)
    if found is None:
        update.snapshot = encode_snapshot(fold, size_limit_bytes)
        return update
    chain, records = found
    update.diverged = chain != base.chain
    if not update.diverged:
        update.records = _within(records, size_limit_bytes)
    return update


class Merged:
    """What came of a peer's update.

    Parameters
    ----------
    outcome : MergeOutcome
        What became of it.
    fold : Fold or None
        The fold to go on with; another one if a snapshot was taken over.
    records : list of LogRecord
        Records that were folded.
    """

    __slots__ = ("fold", "outcome", "records")

    def __init__(self, outcome, fold, records=()):
        self.outcome = outcome
        self.fold = fold
        self.records = list(records)


def merge(update, fold, recent, known_format):
    """Fold what a peer sent.

    Parameters
    ----------
    update : ConfigurationUpdate
        Answer of the peer.
    fold : Fold or None
        What this process holds; records are folded into it.
    recent : RecentRecords
        Newest records of the fold; what is folded is added.
    known_format : int
        Newest record format that this program can read.

    Returns
    -------
    Merged
    """
    if not _is_complete(update):
        return Merged(MergeOutcome.UNREADABLE, fold)
    applied_offset = own_status(fold).applied_offset
    if update.diverged:
        return Merged(MergeOutcome.DIVERGED, fold)
    if update.status.applied_offset <= applied_offset:
        return Merged(MergeOutcome.UP_TO_DATE, fold)
    if update.snapshot:
        return _take_over(update.snapshot, fold, known_format)
    if update.base.applied_offset != applied_offset:
        return Merged(MergeOutcome.STALE, fold)
    fold = fold or Fold(known_format)
    # Both ends compare: an answer that was meant for another run of this process must
    # not be folded upon a history that it doesn't continue.
    if update.base.chain != fold.chain:
        return Merged(MergeOutcome.DIVERGED, fold)
    return _fold_records(update.records, fold, recent)


def is_whole_status(status):
    """Return whether a `ConfigurationStatus` from a peer has the fields that it must.

    Thrift leaves fields that weren't sent at None.  Used as they are, they would end
    the task that follows the log, and the process would stay on its last state.
    """
    return (
        status is not None
        and status.applied_offset is not None
        and status.chain is not None
    )


def _is_complete(update):
    statuses = is_whole_status(update.status) and is_whole_status(update.base)
    if not statuses or update.records is None or update.snapshot is None:
        return False
    return all(_is_whole_item(item) for item in update.records)


def _is_whole_item(item):
    has_content = item.body is not None or item.digest is not None
    return item.offset is not None and item.at_ms is not None and has_content


def _fold_records(items, fold, recent):
    merged = Merged(MergeOutcome.UP_TO_DATE, fold)
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


def _take_over(bodies, fold, known_format):
    assembler = SnapshotAssembler()
    found = [assembler.add(LogRecord(0, 0, body)) for body in bodies]
    if found[-1] is None:
        return Merged(MergeOutcome.UNREADABLE, fold)
    try:
        restored = restore(found[-1], known_format)
    except RecordError:
        return Merged(MergeOutcome.UNREADABLE, fold)
    if fold is not None and not reaches(restored, fold):
        return Merged(MergeOutcome.DIVERGED, fold)
    return Merged(MergeOutcome.ADVANCED, restored)


def reaches(fold, other):
    """Return whether a fold is not behind another one, so that it may replace it."""
    return (
        fold.applied_offset >= other.applied_offset
        and fold.state.version >= other.state.version
    )


def _within(items, size_limit_bytes):
    chosen, size_bytes = [], 0
    for item in items:
        size_bytes += _size_bytes(item)
        if chosen and size_bytes > size_limit_bytes:
            break
        chosen.append(item)
    return chosen


def _size_bytes(item):
    return len(item.body or b"")
