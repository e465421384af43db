"""A position in the records of a source."""


class Position:
    """Up to where records of a source have been read.

    Parameters
    ----------
    era : int or None
        Era of the source in which it was read; None if the source tells none.
    offset : int
        The next record, counted from the first one.
    """

    __slots__ = ("era", "offset")

    def __init__(self, era, offset):
        self.era = era
        self.offset = offset

    def is_behind(self, other):
        """Return whether another position has more records, of the same or a later era.

        One of an unknown era says nothing beside one of a known era.
        """
        if self.era == other.era:
            return self.offset < other.offset
        return self.is_of_earlier_era(other)

    def is_of_earlier_era(self, other):
        """Return whether another position is known to be of a later era."""
        if self.era is None or other.era is None:
            return False
        return self.era < other.era
