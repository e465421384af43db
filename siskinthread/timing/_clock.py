"""The system clock, and a clock that tests set manually."""

import time


class Clock:
    """The monotonic and wall clocks of the system."""

    __slots__ = ()

    def monotonic_s(self):
        """Return the monotonic time, seconds; it never decreases."""
        return time.monotonic()

    def unix_ms(self):
        """Return the wall-clock time, Unix milliseconds; it differs between hosts."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock for tests that advances only by `advance`.

    Parameters
    ----------
    monotonic_s : float
        Initial value of the monotonic clock, seconds.
    unix_ms : int
        Initial value of the wall clock, Unix milliseconds.
    """

    __slots__ = ("_monotonic_s", "_unix_ms")

    def __init__(self, monotonic_s=1_000.0, unix_ms=1_700_000_000_000):
        self._monotonic_s = monotonic_s
        self._unix_ms = unix_ms

    def monotonic_s(self):
        """Return the monotonic time, seconds."""
        return self._monotonic_s

    def unix_ms(self):
        """Return the wall-clock time, Unix milliseconds."""
        return self._unix_ms

    def advance(self, step_s):
        """Advance both clocks by `step_s` seconds."""
        self._monotonic_s += step_s
        self._unix_ms += round(step_s * 1000)


SYSTEM_CLOCK = Clock()
