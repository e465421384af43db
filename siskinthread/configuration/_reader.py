"""Reader that folds the records of the configuration stream."""

import curio

from siskinthread.configuration._collecting import CollectedRecords
from siskinthread.configuration._fold import record_digest
from siskinthread.configuration._peers import (
    is_at_least_as_new,
    merge,
    own_status,
    RecentRecords,
    records_since,
)
from siskinthread.configuration._reading import Condition, Reading
from siskinthread.configuration._records import FORMAT_VERSION
from siskinthread.configuration._snapshots import contradicts, SnapshotAssembler
from siskinthread.errors import PlatformUnavailableError

READ_LIMIT = 100
# Records with larger bodies, and all records if the state is large, are folded in a
# thread: tens of milliseconds in the event loop would delay the heartbeats of every
# connection of the process.
THREAD_BODY_BYTES = 16 * 1024
THREAD_OBJECTS = 300


class LogReader:
    """Keeps a fold up to date with the log and never reverts it to an older state.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the configuration stream.
    known_format : int
        Newest record format that this program can read.
    whole_history : bool
        Whether to start from the oldest snapshot instead of the newest, to get more
        verdicts.

    Attributes
    ----------
    fold : Fold or None
        None until the log has been read once.
    base_offset : int
        Applied offset of the newest complete snapshot seen; -1 if there is none.
    """

    __slots__ = (
        "_assembler",
        "_client",
        "_known_format",
        "_lock",
        "_recent",
        "_stream",
        "_whole_history",
        "base_offset",
        "fold",
    )

    def __init__(
        self, client, stream, known_format=FORMAT_VERSION, whole_history=False
    ):
        self._client = client
        self._stream = stream
        self._known_format = known_format
        self._whole_history = whole_history
        self._assembler = SnapshotAssembler()
        self._recent = RecentRecords()
        # Other tasks answer peers while a thread may be folding.
        self._lock = curio.Lock()
        self.fold = None
        self.base_offset = -1

    async def read_on(self, wait_s=0.0):
        """Fold the records after the applied offset.

        Parameters
        ----------
        wait_s : float
            Time for which the log may wait for a new record, in seconds.

        Returns
        -------
        Reading

        Raises
        ------
        PlatformUnavailableError
            If the log didn't respond; records folded before are kept.
        """
        if self.fold is None:
            return await self._rebuild()
        if self.fold.halted_reason:
            next_offset = self.fold.applied_offset + 1
            return Reading(Condition.HALTED, next_offset, self.fold.halted_reason)
        wanted = self.fold.applied_offset + 1
        span = await self._client.read(self._stream, wanted, READ_LIMIT, wait_s)
        if span.next_offset < wanted:
            detail = f"the log ends at {span.next_offset}, {wanted - 1} was applied"
            return Reading(Condition.SHORTENED, span.next_offset, detail)
        if span.first_offset > wanted:
            return await self._rebuild()
        if span.records and not await self._applied_record_matches(span.first_offset):
            detail = f"record {wanted - 1} is another one than was applied"
            return Reading(Condition.REWRITTEN, span.next_offset, detail)
        _check_first(span, wanted)
        return await self._fold_on(self.fold, span.records, span.next_offset)

    async def catch_up(self):
        """Read to the end of the log and return a single `Reading`."""
        whole = await self.read_on()
        while whole.condition is Condition.GOOD:
            if self.fold.applied_offset + 1 >= whole.next_offset:
                break
            reading = await self.read_on()
            reading.records = whole.records + reading.records
            reading.verdicts = whole.verdicts + reading.verdicts
            whole = reading
        return whole

    async def merge_update(self, update):
        """Fold a peer's `ConfigurationUpdate` and return the result of `merge`.

        Must not be called while `read_on` runs.
        """
        async with self._lock:
            merged = await curio.run_in_thread(
                merge, update, self.fold, self._recent, self._known_format
            )
            self.fold = merged.fold
            # Parts of snapshots arrive without bodies, so the offset of the newest
            # complete snapshot is taken from the peer's status.
            if _same_history(update.status, self.fold):
                known_offset = update.status.snapshot_offset
                self.base_offset = max(self.base_offset, known_offset)
        return merged

    async def answer(self, request, confirmed_age_ms, size_limit_bytes):
        """Return the `ConfigurationUpdate` for a peer's `ConfigurationRequest`."""
        async with self._lock:
            status = own_status(self.fold, confirmed_age_ms, self.base_offset)
            return await curio.run_in_thread(
                records_since,
                request.status,
                self.fold,
                self._recent,
                status,
                size_limit_bytes,
            )

    async def _applied_record_matches(self, first_offset):
        # A log that was shortened and has grown again since the last read ends beyond
        # the applied offset, like an intact log.  Only the record at that offset shows
        # whether the following records continue the same history.
        fold = self.fold
        if fold.applied_digest is None or fold.applied_offset < first_offset:
            return True
        span = await self._client.read(self._stream, fold.applied_offset, 1)
        if not span.records or span.records[0].offset != fold.applied_offset:
            return span.first_offset > fold.applied_offset
        return record_digest(span.records[0]) == fold.applied_digest

    async def _rebuild(self):
        """Rebuild the fold from the newest usable snapshot, or from offset 0."""
        collected = await self._collect()
        arguments = (self._known_format, self._whole_history)
        if collected.size_bytes > THREAD_BODY_BYTES:
            base = await curio.run_in_thread(collected.usable_base, *arguments)
        else:
            base = collected.usable_base(*arguments)
        if base is None:
            return Reading(
                Condition.GAP, collected.next_offset, collected.unusable_reason
            )
        base_offset = base.applied_offset
        earlier = (self._assembler, self._recent)
        self._assembler, self._recent = SnapshotAssembler(), RecentRecords()
        records = collected.records_after(base_offset)
        reading = await self._fold_on(base, records, collected.next_offset)
        if self.fold is not None and not is_at_least_as_new(base, self.fold):
            self._assembler, self._recent = earlier
            detail = f"the log now stands for less than {self.fold.applied_offset}"
            return Reading(Condition.SHORTENED, collected.next_offset, detail)
        # The fold is published only when it is complete: a partial fold would put an
        # older configuration in force than before.
        self.fold = base
        self.base_offset = max(self.base_offset, base_offset)
        return reading

    async def _collect(self):
        collected = CollectedRecords()
        while True:
            wanted = collected.end_offset
            span = await self._client.read(self._stream, wanted, READ_LIMIT)
            if span.first_offset > wanted:
                collected.restart(span.first_offset)
            _check_first(span, collected.end_offset)
            collected.extend(span)
            if collected.end_offset >= span.next_offset:
                return collected
            if collected.end_offset == wanted:
                raise PlatformUnavailableError("log: no records before its end")

    async def _fold_on(self, fold, records, next_offset):
        reading = Reading(Condition.GOOD, next_offset)
        for record in records:
            diverged, verdict = await self._apply(fold, record)
            if diverged:
                reading.diverged_offsets.append(record.offset)
            if verdict is None:
                reading.condition = Condition.HALTED
                reading.detail = fold.halted_reason
                break
            reading.records.append(record)
            reading.verdicts.append(verdict)
            self._track_snapshot(record)
        return reading

    async def _apply(self, fold, record):
        async with self._lock:
            chain_before = fold.chain
            if _needs_thread(fold, record):
                diverged, verdict = await curio.run_in_thread(
                    _compare_and_apply, fold, record
                )
            else:
                diverged, verdict = _compare_and_apply(fold, record)
            if verdict is not None:
                self._recent.add(record, chain_before, verdict)
        # Let other tasks run between the records of a long log.
        await curio.sleep(0)
        return diverged, verdict

    def _track_snapshot(self, record):
        snapshot = self._assembler.add(record)
        if snapshot is not None:
            self.base_offset = max(self.base_offset, snapshot.applied_offset)


def _check_first(span, wanted):
    if span.records and span.records[0].offset != wanted:
        raise PlatformUnavailableError(
            f"log: record {span.records[0].offset} came for {wanted}"
        )


def _same_history(status, fold):
    if fold is None or status.snapshot_offset is None:
        return False
    return (status.applied_offset, status.chain) == (fold.applied_offset, fold.chain)


def _compare_and_apply(fold, record):
    diverged = contradicts(fold, record)
    return diverged, fold.apply(record)


def _needs_thread(fold, record):
    return len(record.body) > THREAD_BODY_BYTES or fold.state.size() > THREAD_OBJECTS
