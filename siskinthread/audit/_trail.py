"""View that one process has of the audit trail: archive and sources together."""

import curio

from siskinthread.audit._archive import Archive, sort_key
from siskinthread.audit._entries import lost_entry
from siskinthread.configuration._reading import Condition
from siskinthread.ownership._tail import LogTail

# Longer bodies are decoded in a thread: tens of milliseconds on the event loop would
# delay the heartbeats of every connection of the process.
THREAD_BODY_BYTES = 16 * 1024


class SourceState:
    """State of the reading of one source.

    Parameters
    ----------
    source : ConfigurationSource or OwnershipSource
        Source that is read.

    Attributes
    ----------
    entries : dict of str to Entry
        SourceReading entries that are not archived yet, by id, oldest first.
    seen : int
        Offset up to which this process has read the source; -1 before the first read.
    trouble : str
        Reason why the source can't be followed; empty if it can.
    """

    __slots__ = ("entries", "seen", "source", "trouble")

    def __init__(self, source):
        self.source = source
        self.entries = {}
        self.seen = -1
        self.trouble = ""


class Trail:
    """Reads the audit stream and the sources.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the audit stream.
    sources : list
        Sources of events, such as `ConfigurationSource`.
    settings : AuditSettings
        Bounds of the archive.

    Attributes
    ----------
    archive : Archive
        Entries of the audit stream.
    sources : list of SourceState
        States of the sources, in the same order.
    offsets_lost : bool
        Whether the last read found that the audit stream was shortened or rewritten.
    """

    __slots__ = ("_tail", "archive", "offsets_lost", "sources")

    def __init__(self, client, stream, sources, settings):
        self._tail = LogTail(client, stream)
        self.archive = Archive(settings)
        self.sources = [SourceState(source) for source in sources]
        self.offsets_lost = False

    async def read_on(self):
        """Read all streams to their ends.

        Returns
        -------
        audit_records : list of LogRecord
            New records of the audit stream.
        derived : dict of Kind to list of LogRecord
            New records of each source.

        Raises
        ------
        PlatformUnavailableError
            If the log does not answer; records that were read before are kept.
        """
        audit_records = await self._read_archive()
        derived = {}
        for state in self.sources:
            derived[state.source.kind] = await self._read_source(state)
        return audit_records, derived

    def entries(self):
        """Return every entry once, oldest first."""
        by_id = {entry.event_id: entry for entry in self.archive.entries()}
        for state in self.sources:
            for event_id, entry in state.entries.items():
                by_id.setdefault(event_id, entry)
        return sorted(by_id.values(), key=sort_key)

    async def _read_archive(self):
        records = []
        self.offsets_lost = False
        while True:
            reading = await self._tail.read_on()
            if reading.condition in (Condition.SHORTENED, Condition.REWRITTEN):
                self._tail.restart()
                self.archive.forget_offsets()
                self.offsets_lost = True
                records = []
                continue
            for record in reading.records:
                await self._add(record)
            records += reading.records
            if reading.at_end:
                return records

    async def _add(self, record):
        if len(record.body) > THREAD_BODY_BYTES:
            await curio.run_in_thread(self.archive.add, record)
        else:
            self.archive.add(record)

    async def _read_source(self, state):
        derived = await state.source.read_on()
        state.trouble = derived.trouble
        if derived.records:
            self._note_lost(state, derived.records[0])
            state.seen = max(state.seen, derived.records[-1].offset)
        for entry in derived.entries:
            state.entries[entry.event_id] = entry
        for entry in list(state.entries.values()):
            if self.archive.holds_or_dropped(entry):
                del state.entries[entry.event_id]
        return derived.records

    def _note_lost(self, state, first):
        # Records expired as no process archived them within the retention.  The entry
        # distinguishes the gap from a time without changes.
        kind = state.source.kind
        known = max(state.seen, self.archive.through.get(kind, -1))
        if first.offset > known + 1:
            entry = lost_entry(kind, known + 1, first.offset - 1, first.at_ms)
            state.entries[entry.event_id] = entry
