"""Progress of a host's own reading of the configuration, as it is sent to peers."""

import math

from siskinthread.source_eras import Position

MILLISECONDS_PER_SECOND = 1000


class SuspectsReading:
    """Position up to which a host has read the suspected requests of a store.

    Parameters
    ----------
    position : siskinthread.source_eras.Position
        Position up to which it has read.
    age_s : float
        Time since the store last held nothing after it, seconds.
    """

    __slots__ = ("age_s", "position")

    def __init__(self, position, age_s):
        self.position = position
        self.age_s = age_s


class TableReading:
    """Position up to which a host has read the published configuration.

    Parameters
    ----------
    position : siskinthread.source_eras.Position
        Position up to which it has read.
    version : int
        Version of the configuration in force there; 0 without one.
    age_s : float
        Time since the source last held nothing after the position, seconds.
    suspects : SuspectsReading or None
        Its progress in the suspected requests, in the same era.
    """

    __slots__ = ("age_s", "position", "suspects", "version")

    def __init__(self, position, version, age_s, suspects=None):
        self.suspects = suspects
        self.position = position
        self.version = version
        self.age_s = age_s

    def as_row(self):
        """Return the reading as JSON values."""
        era, offset = self.position.era, self.position.offset
        row = [era, offset, self.version, _milliseconds(self.age_s)]
        if self.suspects is not None and self.suspects.position.era == era:
            age_ms = _milliseconds(self.suspects.age_s)
            row += [self.suspects.position.offset, age_ms]
        return row

    @classmethod
    def from_row(cls, row):
        """Return the reading of JSON values.

        Raises
        ------
        TypeError, ValueError, OverflowError
            If the values are unreadable.
        """
        era, offset, version, age_ms, *suspects = row
        era = None if era is None else int(era)
        suspects_reading = None
        if suspects:
            suspects_offset, suspects_age_ms = suspects
            position = Position(era, int(suspects_offset))
            suspects_reading = SuspectsReading(position, _seconds(suspects_age_ms))
        position = Position(era, int(offset))
        return cls(position, int(version), _seconds(age_ms), suspects_reading)


def _milliseconds(age_s):
    return math.ceil(age_s * MILLISECONDS_PER_SECOND)


def _seconds(age_ms):
    return max(0, int(age_ms)) / MILLISECONDS_PER_SECOND
