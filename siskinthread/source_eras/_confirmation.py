"""How long ago a source was known to hold nothing after a position."""

import math

import curio

from siskinthread.timing import Deadline

# A read that waits for changes is answered within this time after a change is known
# from elsewhere, seconds; otherwise it counts as lost.
ANSWER_GRACE_S = 0.1
# Interval between checks while they fail, seconds.
FAILED_CHECK_INTERVAL_S = 2.0


class PositionConfirmation:
    """Time at which the source last had no records after a host's position.

    It does not matter whether the source has answered this host or a peer.  A read that
    waits for records confirms nothing while it waits, since it may be lost: the source
    was silent when the read arrived, or the path drops the data of its connection.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock for ages.
    age_limit_s : callable
        Returns the age at which the source must be asked again, seconds.
    failure_age_limit_s : float
        Age from which on a failed check ends the read that waits, seconds.  Before it,
        the check is repeated after ``FAILED_CHECK_INTERVAL_S``.

    Attributes
    ----------
    on_check : callable or None
        Coroutine function that is called after each check by this host which has found
        no records.
    """

    __slots__ = (
        "_age_limit_s",
        "_clock",
        "_confirmed_at_s",
        "_failure_age_limit_s",
        "_hastened",
        "_hastened_deadline",
        "on_check",
    )

    def __init__(self, clock, age_limit_s, failure_age_limit_s=math.inf):
        self._clock = clock
        self._age_limit_s = age_limit_s
        self._failure_age_limit_s = failure_age_limit_s
        self._confirmed_at_s = None
        # When the source is to be asked because a peer has read further.
        self._hastened_deadline = None
        self._hastened = curio.Event()
        self.on_check = None

    def note(self, age_s=0.0):
        """Note that a peer read up to the position `age_s` seconds ago."""
        confirmed_at_s = self._clock.monotonic_s() - age_s
        if self._confirmed_at_s is None or confirmed_at_s > self._confirmed_at_s:
            self._confirmed_at_s = confirmed_at_s

    def note_own(self, age_s=0.0):
        """Note that this host read up to the position `age_s` seconds ago."""
        self._hastened_deadline = None
        self.note(age_s)

    async def note_check(self, age_s):
        """Note that a check of this host, begun `age_s` seconds ago, found nothing."""
        self.note_own(age_s)
        if self.on_check is not None:
            await self.on_check()

    async def hasten(self):
        """Note that a peer has read further than this host."""
        if self._hastened_deadline is None:
            self._hastened_deadline = Deadline.after(self._clock, ANSWER_GRACE_S)
            await self._hastened.set()

    def age_s(self):
        """Return the time since the last confirmation, seconds; None without one."""
        if self._confirmed_at_s is None:
            return None
        return self._clock.monotonic_s() - self._confirmed_at_s

    def left_s(self):
        """Return the time until the source must be asked, seconds; 0 if it is due."""
        if self._confirmed_at_s is None:
            return 0.0
        left_s = max(0.0, self._age_limit_s() - self.age_s())
        if self._hastened_deadline is not None:
            left_s = min(left_s, self._hastened_deadline.left_s())
        return left_s

    def is_lost_by_failure(self):
        """Return whether a failed check ends the read that waits."""
        age_s = self.age_s()
        return age_s is None or age_s > self._failure_age_limit_s

    async def wait_until_due(self):
        """Wait until the source must be asked."""
        while (left_s := self.left_s()) > 0:
            self._hastened.clear()
            await curio.ignore_after(left_s, self._hastened.wait)
