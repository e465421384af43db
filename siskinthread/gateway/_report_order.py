"""Order of the reports of targets, by which late ones are recognised.

A source may carry out a write seconds after it was sent, when newer reports of the same
target have been read, or when its entry has been removed.  Such a report would bring a
target back that has left.
"""

from collections import OrderedDict

# Number of removed targets that are remembered; enough for a fleet of 600 that is
# completely replaced within minutes.
GONE_LIMIT = 1024
# Number of removed targets that are told to other hosts, the most recent ones.
TOLD_LIMIT = 32
# A report that is further behind the newest one is not taken for late: writes are
# carried out within seconds, and targets report about once a second.
LATE_REPORTS_LIMIT = 30
# Number of the first report of a start.
FIRST_REPORT_NUMBER = 1


class ReportMark:
    """Place of a report among all reports of its target.

    Parameters
    ----------
    started_unix_ms : int or None
        Time of the target's start, Unix milliseconds; None if it is not stated.
    number : int
        Sequence number of the report, counted from the start.
    address : str
        Address of the target, ``host:port``.
    """

    __slots__ = ("address", "number", "started_unix_ms")

    def __init__(self, started_unix_ms, number, address):
        self.started_unix_ms = started_unix_ms
        self.number = number
        self.address = address

    @classmethod
    def of_entry(cls, entry):
        """Return the mark of a `TargetEntry`."""
        address = f"{entry.host}:{entry.port}"
        return cls(entry.started_unix_ms, entry.report_number, address)

    def as_row(self):
        """Return the mark as JSON values."""
        return [self.started_unix_ms, self.number, self.address]

    @classmethod
    def from_row(cls, row):
        """Return the mark of JSON values.

        Raises
        ------
        TypeError, ValueError, OverflowError
            If the values are unreadable.
        """
        started_unix_ms, number, address = row
        if started_unix_ms is not None:
            started_unix_ms = int(started_unix_ms)
        return cls(started_unix_ms, int(number), str(address))

    def is_earlier_start_than(self, other):
        """Return whether another mark is known to be of a later start."""
        starts = (self.started_unix_ms, other.started_unix_ms)
        return None not in starts and starts[0] < starts[1]

    def is_behind(self, other):
        """Return whether another mark is known to be of a later report."""
        if self.started_unix_ms == other.started_unix_ms:
            return self.number < other.number
        return self.is_earlier_start_than(other)

    def is_late_after(self, newest):
        """Return whether a report is one that the source has carried out late.

        Parameters
        ----------
        newest : ReportMark
            The newest report of the target that was read before.

        Notes
        -----
        An equal number is not late: a report that was read is not carried out again,
        but a source that was restored gets it again.  Without a stated start, a target
        that has started again is told by another address or its first report.
        """
        if self.started_unix_ms != newest.started_unix_ms:
            return self.is_earlier_start_than(newest)
        if self.started_unix_ms is None:
            is_first = self.number <= FIRST_REPORT_NUMBER
            if is_first or self.address != newest.address:
                return False
        return 0 < newest.number - self.number <= LATE_REPORTS_LIMIT


class ReportOrder:
    """Newest report of each listed target, and of targets that were removed lately."""

    __slots__ = ("_gone", "_newest")

    def __init__(self):
        self._newest = {}
        # Listed ids of removed targets, the most recent last.
        self._gone = OrderedDict()

    def newest(self, listed_id):
        """Return the `ReportMark` of the newest report of a target, or None."""
        return self._newest.get(listed_id)

    def is_late(self, entry):
        """Return whether a `TargetEntry` is a report that was carried out late."""
        newest = self._newest.get(entry.listed_id)
        return newest is not None and ReportMark.of_entry(entry).is_late_after(newest)

    def is_of_earlier_start(self, entry):
        """Return whether a `TargetEntry` is of an earlier start than is known."""
        newest = self._newest.get(entry.listed_id)
        mark = ReportMark.of_entry(entry)
        return newest is not None and mark.is_earlier_start_than(newest)

    def note(self, entry):
        """Note the newest `TargetEntry` of a target, which is listed."""
        self._gone.pop(entry.listed_id, None)
        self._newest[entry.listed_id] = ReportMark.of_entry(entry)

    def note_listed(self, entry):
        """Note a `TargetEntry` that is listed, and may be older than the newest one."""
        self._gone.pop(entry.listed_id, None)
        self._note_newest(entry.listed_id, ReportMark.of_entry(entry))

    def replace(self, entries):
        """Note all listed targets of a restored source, although older than before."""
        for entry in entries:
            self.note(entry)

    def note_gone(self, listed_id):
        """Note that a target is no longer listed."""
        if listed_id not in self._newest:
            return
        self._gone[listed_id] = None
        self._gone.move_to_end(listed_id)
        while len(self._gone) > GONE_LIMIT:
            oldest_id, _ = self._gone.popitem(last=False)
            del self._newest[oldest_id]

    def note_told(self, listed_id, mark):
        """Note the newest report of a target that a peer knows to be removed."""
        self._note_newest(listed_id, mark)
        self.note_gone(listed_id)

    def recently_gone(self):
        """Return the marks of the targets that were removed last, by listed id."""
        return {one: self._newest[one] for one in list(self._gone)[-TOLD_LIMIT:]}

    def _note_newest(self, listed_id, mark):
        newest = self._newest.get(listed_id)
        if newest is None or not mark.is_behind(newest):
            self._newest[listed_id] = mark
