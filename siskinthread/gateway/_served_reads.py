"""Data that the readers of a failure domain serve to its other hosts."""


class ServedTable:
    """Configuration as a reader serves it.

    Parameters
    ----------
    position : siskinthread.source_eras.Position
        Position up to which the reader has read.
    table : RouteTable or None
        Newest configuration at the position.
    record : object
        The same configuration in the form of the source, to be served to other hosts.
    evacuated : frozenset of str
        Failure domains that are evacuated at the position.
    """

    __slots__ = ("evacuated", "position", "record", "table")

    def __init__(self, position, table, record, evacuated):
        self.position = position
        self.table = table
        self.record = record
        self.evacuated = evacuated

    def is_as_new_as(self, reading):
        """Return whether the configuration is not older than a `TableReading`."""
        version = 0 if self.table is None else self.table.version
        is_behind = self.position.is_behind(reading.position)
        return not is_behind and version >= reading.version


class ServedTargets:
    """Target list as a reader serves it.

    Parameters
    ----------
    position : siskinthread.source_eras.Position
        Position up to which the reader has read.
    age_s : float
        Time since that read began, seconds.
    entries : list of TargetEntry
        Complete list at the position.
    gone : dict of str to ReportMark
        Newest reports of the targets that were removed last, by listed id.
    """

    __slots__ = ("age_s", "entries", "gone", "position")

    def __init__(self, position, age_s, entries, gone=None):
        self.gone = {} if gone is None else gone
        self.position = position
        self.age_s = age_s
        self.entries = entries
