"""Records collected at the start, and where to begin with them."""

from siskinthread.configuration._fold import Fold
from siskinthread.configuration._records import RecordError
from siskinthread.configuration._snapshots import restore, SnapshotAssembler


class CollectedRecords:
    """Consecutive records of the log, and the snapshots among them.

    Attributes
    ----------
    next_offset : int
        Where the log ended at the last read.
    size_bytes : int
        Length of all bodies together.
    why_unusable : str
        Why there is nothing to start from.
    """

    __slots__ = (
        "_assembler",
        "_first_offset",
        "_records",
        "_snapshots",
        "next_offset",
        "size_bytes",
        "why_unusable",
    )

    def __init__(self):
        self.next_offset = 0
        self.why_unusable = ""
        self.restart(0)

    @property
    def end_offset(self):
        """Offset behind the last record."""
        return self._first_offset + len(self._records)

    def restart(self, first_offset):
        """Drop all records; those before an offset expired while they were read."""
        self._first_offset = first_offset
        self._records = []
        self.size_bytes = 0
        self._snapshots = []
        self._assembler = SnapshotAssembler()

    def extend(self, span):
        """Add the records of a `LogSpan`."""
        self.next_offset = span.next_offset
        for record in span.records:
            self._records.append(record)
            self.size_bytes += len(record.body)
            snapshot = self._assembler.add(record)
            if snapshot is not None:
                self._snapshots.append(snapshot)

    def after(self, offset):
        """Return the records behind an offset."""
        return self._records[offset + 1 - self._first_offset :]

    def usable_base(self, known_format, oldest):
        """Return the `Fold` to start from, or None, which `why_unusable` explains.

        Parameters
        ----------
        known_format : int
            Newest format that this program can read.
        oldest : bool
            Start from the oldest usable snapshot instead of the newest.
        """
        if self._first_offset == 0 and oldest:
            return Fold(known_format)
        self.why_unusable = f"the log starts at {self._first_offset}, no snapshot fits"
        order = sorted(
            self._snapshots,
            key=lambda snapshot: snapshot.applied_offset,
            reverse=not oldest,
        )
        for snapshot in order:
            if not self._first_offset <= snapshot.applied_offset + 1 <= self.end_offset:
                continue
            try:
                return restore(snapshot, known_format)
            except RecordError as error:
                self.why_unusable = str(error)
        return Fold(known_format) if self._first_offset == 0 else None
