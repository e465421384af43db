"""What readers of a failure domain hand out to its other hosts."""


class ToldTable:
    """What a reader hands out of its reading.

    Parameters
    ----------
    position : siskinthread.source_eras.Position
        Up to where the reader has read.
    table : RouteTable or None
        The newest configuration there.
    record : object
        The same as the source holds it, for whoever asks this host.
    evacuated : frozenset of str
        Failure domains that are listed as evacuated at the position.
    """

    __slots__ = ("evacuated", "position", "record", "table")

    def __init__(self, position, table, record, evacuated):
        self.position = position
        self.table = table
        self.record = record
        self.evacuated = evacuated

    def is_as_new_as(self, reading):
        """Return whether it has all that a `TableReading` tells of."""
        version = 0 if self.table is None else self.table.version
        is_behind = self.position.is_behind(reading.position)
        return not is_behind and version >= reading.version


class ToldTargets:
    """What a reader hands out of its reading of the list.

    Parameters
    ----------
    position : siskinthread.source_eras.Position
        Up to where the reader has read.
    age_s : float
        Time since that read began, seconds.
    entries : list of TargetEntry
        The whole list there.
    """

    __slots__ = ("age_s", "entries", "position")

    def __init__(self, position, age_s, entries):
        self.position = position
        self.age_s = age_s
        self.entries = entries
