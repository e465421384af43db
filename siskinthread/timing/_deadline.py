"""Deadlines on the monotonic clock."""

MILLISECONDS_PER_SECOND = 1000


class Deadline:
    """A time on the monotonic clock at which a wait ends.

    Parameters
    ----------
    clock : Clock
        Clock with which the deadline is compared.
    at_s : float
        Time of the deadline, monotonic seconds.
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
        """Return the deadline for a `time_left_ms` received on the wire."""
        return cls.after(clock, time_left_ms / MILLISECONDS_PER_SECOND)

    def left_s(self):
        """Return the seconds left, at least zero."""
        return max(0.0, self.at_s - self._clock.monotonic_s())

    def left_ms(self):
        """Return the milliseconds left, rounded down, as sent on the wire."""
        return int(self.left_s() * MILLISECONDS_PER_SECOND)

    def passed(self):
        """Return whether the deadline has been reached."""
        return self._clock.monotonic_s() >= self.at_s

    def __repr__(self):
        return f"Deadline(left_s={self.left_s():.3f})"
