"""A position in the records of a source."""


class Position:
    """Position up to which the records of a source have been read.

    Parameters
    ----------
    era : int or None
        Era of the source in which the records were read; None if the source reports
        none.
    offset : int
        Offset of the next record to read, counted from the first record.
    """

    __slots__ = ("era", "offset")

    def __init__(self, era, offset):
        self.era = era
        self.offset = offset

    def is_behind(self, other):
        """Return whether another position is further, in the same or a later era.

        A position of an unknown era can't be compared with one of a known era; the
        result is then False.
        """
        if self.era == other.era:
            return self.offset < other.offset
        return self.is_of_earlier_era(other)

    def is_of_earlier_era(self, other):
        """Return whether another position is known to be of a later era."""
        if self.era is None or other.era is None:
            return False
        return self.era < other.era
