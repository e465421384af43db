"""Entries that the audit stream contains."""

import operator

from siskinthread.audit._pages import read_page, size_bytes

MILLISECONDS_PER_DAY = 24 * 3600 * 1000
NOT_IN_STREAM = -1


class KeptEntry:
    """An entry with its position in the audit stream.

    Parameters
    ----------
    entry : Entry
        Archived entry.
    offset : int
        Offset of the newest record of the audit stream that contains the entry.

    Attributes
    ----------
    size_bytes : int
        Encoded size of the entry.
    """

    __slots__ = ("entry", "offset", "size_bytes")

    def __init__(self, entry, offset):
        self.entry = entry
        self.offset = offset
        self.size_bytes = size_bytes(entry)


class Archive:
    """Entries of the audit stream within the bounds of the settings.

    Parameters
    ----------
    settings : AuditSettings
        Bounds on age, number and size of the entries.

    Attributes
    ----------
    through : dict of str to int
        Offset up to which each source is archived.
    dropped_through_ms : int or None
        Time of the newest entry that was dropped to meet the bounds, Unix milliseconds;
        None if no entry was dropped.
    """

    __slots__ = (
        "_kept",
        "_newest_ms",
        "_settings",
        "_size_bytes",
        "dropped_through_ms",
        "through",
    )

    def __init__(self, settings):
        self._settings = settings
        self._kept = {}
        self._size_bytes = 0
        self._newest_ms = 0
        self.through = {}
        self.dropped_through_ms = None

    def holds_or_dropped(self, entry):
        """Return whether an entry is archived, or as old as the dropped entries."""
        if entry.event_id in self._kept:
            return True
        dropped_ms = self.dropped_through_ms
        return dropped_ms is not None and entry.at_ms <= dropped_ms

    def add(self, record):
        """Add the entries of an audit record, and drop entries beyond the bounds."""
        page = read_page(record.body)
        if page is None:
            return
        self._newest_ms = max(self._newest_ms, record.at_ms)
        for source, offset in page.through.items():
            self.through[source] = max(offset, self.through.get(source, -1))
        for entry in page.entries:
            self._keep(entry, record.offset)
        self._drop()

    def forget_offsets(self):
        """Mark all entries as absent from the stream, so that they are appended again.

        Called after the stream lost records.  Otherwise entries that only the lost
        records contained would count as archived, and be lost with this process.
        """
        for kept in self._kept.values():
            kept.offset = NOT_IN_STREAM

    def entries(self):
        """Return all entries, oldest first."""
        entries = [kept.entry for kept in self._kept.values()]
        return sorted(entries, key=sort_key)

    def oldest_offset(self):
        """Return the lowest offset of an entry, or None without entries."""
        offsets = (kept.offset for kept in self._kept.values())
        return min(offsets, default=None)

    def newest_offset(self):
        """Return the highest offset of an entry, or None without entries."""
        offsets = (kept.offset for kept in self._kept.values())
        return max(offsets, default=None)

    def entries_before(self, offset):
        """Return the entries that are only in records before `offset`, oldest first."""
        older = [kept for kept in self._kept.values() if kept.offset < offset]
        older.sort(key=operator.attrgetter("offset"))
        return [kept.entry for kept in older]

    def _keep(self, entry, offset):
        known = self._kept.get(entry.event_id)
        if known is not None:
            known.offset = max(known.offset, offset)
            return
        kept = KeptEntry(entry, offset)
        self._kept[entry.event_id] = kept
        self._size_bytes += kept.size_bytes

    def _drop(self):
        settings = self._settings
        oldest_ms = self._newest_ms - settings.keep_days * MILLISECONDS_PER_DAY
        within = self._size_bytes <= settings.keep_limit_bytes
        if within and len(self._kept) <= settings.keep_entries:
            return
        ordered = sorted(self._kept.values(), key=lambda kept: sort_key(kept.entry))
        for kept in ordered:
            spare = len(self._kept) > settings.keep_entries
            too_old = spare and kept.entry.at_ms < oldest_ms
            if not too_old and self._size_bytes <= settings.keep_limit_bytes:
                return
            del self._kept[kept.entry.event_id]
            self._size_bytes -= kept.size_bytes
            self.dropped_through_ms = kept.entry.at_ms


def sort_key(entry):
    """Return the key by which entries are sorted: time, source offset, id."""
    return entry.at_ms, entry.offset or 0, entry.event_id
