"""The archive: what the audit stream holds."""

import operator

from siskinthread.audit._pages import read_page, size_bytes

MILLISECONDS_PER_DAY = 24 * 3600 * 1000
NOT_IN_STREAM = -1


class KeptEntry:
    """An entry and where the stream holds it.

    Parameters
    ----------
    entry : Entry
        The entry.
    offset : int
        Newest record of the audit stream that holds it.
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
        Bounds.

    Attributes
    ----------
    through : dict of str to int
        For each source, the offset up to which it is archived.
    dropped_through_ms : int or None
        Time of the newest entry that the bounds dropped; None before.
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
        """Return whether an entry is kept, or older than what the bounds dropped."""
        if entry.event_id in self._kept:
            return True
        dropped_ms = self.dropped_through_ms
        return dropped_ms is not None and entry.at_ms <= dropped_ms

    def add(self, record):
        """Take in a record of the audit stream."""
        page = read_page(record.body)
        if page is None:
            return
        self._newest_ms = max(self._newest_ms, record.at_ms)
        for source, offset in page.through.items():
            self.through[source] = max(offset, self.through.get(source, -1))
        for entry in page.entries:
            self._keep(entry, record.offset)
        self._drop()

    def forget_places(self):
        """Take in that the stream lost records; whatever is held must be re-appended.

        Without this, entries that only the lost records held would be taken for kept
        and vanish with this process.
        """
        for kept in self._kept.values():
            kept.offset = NOT_IN_STREAM

    def entries(self):
        """Return the entries, oldest first."""
        entries = [kept.entry for kept in self._kept.values()]
        return sorted(entries, key=order_of)

    def oldest_offset(self):
        """Return the oldest record that is still needed, or None without entries."""
        offsets = (kept.offset for kept in self._kept.values())
        return min(offsets, default=None)

    def newest_offset(self):
        """Return the newest record that is still needed, or None without entries."""
        offsets = (kept.offset for kept in self._kept.values())
        return max(offsets, default=None)

    def needed_before(self, offset):
        """Return the entries that no record from `offset` on holds, oldest first."""
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
        ordered = sorted(self._kept.values(), key=lambda kept: order_of(kept.entry))
        for kept in ordered:
            spare = len(self._kept) > settings.keep_entries
            too_old = spare and kept.entry.at_ms < oldest_ms
            if not too_old and self._size_bytes <= settings.keep_limit_bytes:
                return
            del self._kept[kept.entry.event_id]
            self._size_bytes -= kept.size_bytes
            self.dropped_through_ms = kept.entry.at_ms


def order_of(entry):
    """Return the key by which entries are sorted: time, then id."""
    return entry.at_ms, entry.offset or 0, entry.event_id
