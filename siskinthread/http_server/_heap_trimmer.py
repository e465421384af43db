"""Return free memory of the C heap to the system after pressure on it."""

from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

TRIM_INTERVAL_S = 0.5
# Longer than callers hold their connections without sending anything.
AFTER_PRESSURE_S = 20.0

logger = part_logger("callers")


class HeapTrimmer:
    """Trims the heap at intervals while limits on memory are reached and after it.

    Many buffers that are freed in another order than they were allocated leave gaps,
    which the C library keeps for later allocations.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock of the intervals.
    """

    __slots__ = ("_clock", "_next", "_pressure_ends", "_trim")

    def __init__(self, clock):
        self._clock = clock
        self._pressure_ends = None
        self._next = None
        self._trim = None

    def note_pressure(self):
        """Note that a limit on memory is reached."""
        self._pressure_ends = Deadline.after(self._clock, AFTER_PRESSURE_S)

    def trim_if_due(self):
        """Trim the heap if there was pressure and the interval has passed."""
        if self._pressure_ends is None:
            return
        if self._next is not None and not self._next.passed():
            return
        if self._trim is None:
            self._trim = _find_trim()
        self._trim(0)
        self._next = Deadline.after(self._clock, TRIM_INTERVAL_S)
        if self._pressure_ends.passed():
            self._pressure_ends = None


def _find_trim():
    """Return ``malloc_trim`` of the C library, or a function that does nothing."""
    # Takes memory itself, which most processes never need.
    import ctypes

    try:
        return ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError) as error:
        logger.warning("the heap can't be trimmed: %s", error)
        return lambda pad_bytes: 0
