"""Clocks: the system's, and one that tests set by hand."""

import time


class Clock:
    """The system's clocks."""

    __slots__ = ()

    def monotonic_s(self):
        """Return the monotonic clock, seconds; it never goes back."""
        return time.monotonic()

    def unix_ms(self):
        """Return the wall clock, Unix milliseconds; hosts disagree about it."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock for tests that moves only when told to.

    Parameters
    ----------
    monotonic_s : float
        First value of the monotonic clock, seconds.
    unix_ms : int
        First value of the wall clock, Unix milliseconds.
    """

    __slots__ = ("_monotonic_s", "_unix_ms")

    def __init__(self, monotonic_s=1_000.0, unix_ms=1_700_000_000_000):
        self._monotonic_s = monotonic_s
        self._unix_ms = unix_ms

    def monotonic_s(self):
        """Return the monotonic clock, seconds."""
        return self._monotonic_s

    def unix_ms(self):
        """Return the wall clock, Unix milliseconds."""
        return self._unix_ms

    def advance(self, step_s):
        """Move both clocks on by `step_s` seconds."""
        self._monotonic_s += step_s
        self._unix_ms += round(step_s * 1000)


SYSTEM_CLOCK = Clock()
