"""A point on the monotonic clock."""

MILLISECONDS_PER_SECOND = 1000


class Deadline:
    """A point on the monotonic clock by which something must have happened.

    Parameters
    ----------
    clock : Clock
        The clock that the deadline is read against.
    at_s : float
        The point, monotonic seconds.
    """

    __slots__ = ("_clock", "at_s")

    def __init__(self, clock, at_s):
        self._clock = clock
        self.at_s = at_s

    @classmethod
    def after(cls, clock, wait_s):
        """Return the deadline `wait_s` seconds from now."""
        return cls(clock, clock.monotonic_s() + wait_s)

    @classmethod
    def after_ms(cls, clock, time_left_ms):
        """Return the deadline for a `time_left_ms` that was read off the wire."""
        return cls.after(clock, time_left_ms / MILLISECONDS_PER_SECOND)

    def left_s(self):
        """Return the seconds left, never below zero."""
        return max(0.0, self.at_s - self._clock.monotonic_s())

    def left_ms(self):
        """Return the whole milliseconds left, as written on the wire."""
        return int(self.left_s() * MILLISECONDS_PER_SECOND)

    def passed(self):
        """Return whether the point lies in the past."""
        return self._clock.monotonic_s() >= self.at_s

    def __repr__(self):
        return f"Deadline(left_s={self.left_s():.3f})"
