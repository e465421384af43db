"""The era that the store reports in each of its answers."""

from siskinthread.observability import part_logger

ERA_HEADER = b"store-era"
# Logged values are truncated to this many characters.
VALUE_LIMIT = 80
# `int` raises an error for a text of several thousand digits.
DIGITS_LIMIT = 18

_logger = part_logger("platform")


class EraReader:
    """Reads the era of answers.

    Parameters
    ----------
    eras : siskinthread.source_eras.EraWatch
        Notified that an era can't be read.

    Notes
    -----
    An unreadable era counts as no era rather than as a new one, which would make all
    hosts read everything again.  It is logged once, until an era can be read again.
    """

    __slots__ = ("_eras", "_has_seen_era", "_is_logged")

    def __init__(self, eras):
        self._eras = eras
        self._has_seen_era = False
        self._is_logged = False

    def read(self, headers):
        """Return the era in the headers of an answer, or None.

        Parameters
        ----------
        headers : iterable of tuple of bytes
            Names in lower case, and values.
        """
        values = [value for name, value in headers if name == ERA_HEADER]
        is_single = len(values) == 1 and len(values[0]) <= DIGITS_LIMIT
        if is_single and values[0].isdigit():
            self._has_seen_era = True
            self._is_logged = False
            return int(values[0])
        # An older store never reports an era.
        if (values or self._has_seen_era) and not self._is_logged:
            self._is_logged = True
            self._eras.note_unreadable()
            logged_value = b", ".join(values)[:VALUE_LIMIT].decode("latin-1")
            _logger.event("era of the store is unknown", told=logged_value or None)
        return None
