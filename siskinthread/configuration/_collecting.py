"""Collection of the log's records at the start, and the choice of a base state."""

from siskinthread.configuration._fold import Fold
from siskinthread.configuration._records import RecordError
from siskinthread.configuration._snapshots import restore, SnapshotAssembler


class CollectedRecords:
    """Consecutive records of the log, and the snapshots that they contain.

    Attributes
    ----------
    next_offset : int
        End of the log at the last read.
    size_bytes : int
        Total length of the bodies.
    unusable_reason : str
        Reason why `usable_base` found no base.
    """

    __slots__ = (
        "_assembler",
        "_first_offset",
        "_records",
        "_snapshots",
        "next_offset",
        "size_bytes",
        "unusable_reason",
    )

    def __init__(self):
        self.next_offset = 0
        self.unusable_reason = ""
        self.restart(0)

    @property
    def end_offset(self):
        """Offset after the last collected record."""
        return self._first_offset + len(self._records)

    def restart(self, first_offset):
        """Drop all records and start again from an offset.

        Needed if records before this offset expire while the log is being read.
        """
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

    def records_after(self, offset):
        """Return the records after an offset."""
        return self._records[offset + 1 - self._first_offset :]

    def usable_base(self, known_format, oldest):
        """Return the `Fold` to start from.

        Parameters
        ----------
        known_format : int
            Newest record format that this program can read.
        oldest : bool
            Whether to start from the oldest usable snapshot instead of the newest.

        Returns
        -------
        Fold or None
            None if the log doesn't start at offset 0 and contains no usable snapshot;
            `unusable_reason` gives the reason.
        """
        if self._first_offset == 0 and oldest:
            return Fold(known_format)
        self.unusable_reason = (
            f"the log starts at {self._first_offset}, no snapshot fits"
        )
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
                self.unusable_reason = str(error)
        return Fold(known_format) if self._first_offset == 0 else None
