"""How often one process may append to the audit stream."""

from siskinthread.admission._bucket import TokenBucket
from siskinthread.timing import Deadline


class Pace:
    """A token bucket with a burst of one, and jitter before each append.

    All that one process writes to the audit stream shares one bucket.

    Parameters
    ----------
    settings : AuditSettings
        Least time between appends.
    clock : Clock
        The process's clock.
    random : random.Random
        Source of the jitter.
    bucket : TokenBucket or None
        Shared by all that the process writes; None for a new one, see `share`.

    Notes
    -----
    The bucket bounds the mean rate of n processes by ``n / append_interval_s``; the
    jitter keeps an event that all of them see at one moment from making them all
    append at that moment.
    """

    __slots__ = (
        "_bucket",
        "_clock",
        "_deadline",
        "_interval_s",
        "_random",
        "_settings",
    )

    def __init__(self, settings, clock, random, bucket=None):
        self._settings = settings
        self._interval_s = settings.append_interval_s
        self._clock = clock
        self._random = random
        self._bucket = bucket or TokenBucket(clock, 1.0 / self._interval_s, 1.0)
        self._deadline = None

    def share(self):
        """Return a pace with a jitter of its own and the same bucket."""
        return Pace(self._settings, self._clock, self._random, self._bucket)

    def ready(self):
        """Return whether to append now; asked again and again while there is need."""
        if self._deadline is None:
            jitter_s = self._random.uniform(0.0, self._interval_s)
            wait_s = max(jitter_s, self._bucket.wait_s(1.0))
            self._deadline = Deadline.after(self._clock, wait_s)
        return self._deadline.passed() and self._bucket.wait_s(1.0) == 0.0

    def spend(self):
        """Take in that an append is made, whatever becomes of it."""
        self._bucket.take(1.0)
        self._deadline = None

    def rest(self):
        """Take in that there is nothing to append, so that the next need has jitter."""
        self._deadline = None
