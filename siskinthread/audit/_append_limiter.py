"""Rate limit on the appends of one process to the audit stream."""

from siskinthread.admission._bucket import TokenBucket
from siskinthread.timing import Deadline


class AppendLimiter:
    """Token bucket with a burst of one append, and jitter before each append.

    All writers of a process to the audit stream share one bucket.

    Parameters
    ----------
    settings : AuditSettings
        Settings with ``append_interval_s``, the minimum time between appends.
    clock : Clock
        Clock of the process.
    random : random.Random
        Source of the jitter.
    bucket : TokenBucket or None
        Bucket that all writers of the process share; None for a new one, see `share`.

    Notes
    -----
    The bucket bounds the mean rate of n processes to ``n / append_interval_s``.  The
    jitter spreads the appends of processes that observe the same event at the same
    time.
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
        """Return a limiter with the same bucket and a jitter of its own."""
        return AppendLimiter(self._settings, self._clock, self._random, self._bucket)

    def ready(self):
        """Return whether an append is allowed now; polled while one is pending."""
        if self._deadline is None:
            jitter_s = self._random.uniform(0.0, self._interval_s)
            wait_s = max(jitter_s, self._bucket.wait_s(1.0))
            self._deadline = Deadline.after(self._clock, wait_s)
        return self._deadline.passed() and self._bucket.wait_s(1.0) == 0.0

    def note_append(self):
        """Count an append, whether it succeeds or not."""
        self._bucket.take(1.0)
        self._deadline = None

    def reset(self):
        """Discard the deadline, so that the next pending append draws new jitter."""
        self._deadline = None
