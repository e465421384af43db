"""Token bucket."""


class TokenBucket:
    """A token bucket that allows debt for costs above its burst.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock for the refill.
    rate_per_s : float
        Units added each second.
    burst : float
        Capacity of the bucket, which starts full.

    Notes
    -----
    Within any time T at an unchanged rate, the units taken are at most ``rate_per_s *
    T + max(burst, largest cost)``: a cost above the burst is taken from a full bucket,
    whose level becomes negative until the refill has made up for it.  Without such a
    debt, an entry host whose share of a small account's limit is less than one request
    would refuse that account for ever.
    """

    __slots__ = ("_burst", "_clock", "_filled_at_s", "_level", "_rate_per_s")

    def __init__(self, clock, rate_per_s, burst):
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._filled_at_s = clock.monotonic_s()

    def resize(self, rate_per_s, burst):
        """Change rate and burst.

        The time since the last refill counts at the lower of the two rates.  It is
        unknown when the rate changed within that time, and the higher rate could add
        units that another entry host has admitted too.
        """
        if rate_per_s == self._rate_per_s and burst == self._burst:
            return
        self._rate_per_s = min(rate_per_s, self._rate_per_s)
        self._refill()
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def wait_s(self, cost):
        """Return the time until `cost` can be taken, seconds; 0.0 if it can be now."""
        self._refill()
        missing = min(cost, self._burst) - self._level
        if missing <= 0.0:
            return 0.0
        return missing / self._rate_per_s if self._rate_per_s else float("inf")

    def take(self, cost):
        """Take `cost` units, without checking the level; check `wait_s` before."""
        self._refill()
        self._level -= cost

    def refund(self, units):
        """Return unused units to the bucket; a negative number is charged."""
        self._refill()
        self._level = min(self._burst, self._level + units)

    def _refill(self):
        now_s = self._clock.monotonic_s()
        added = self._rate_per_s * (now_s - self._filled_at_s)
        self._level = min(self._burst, self._level + added)
        self._filled_at_s = now_s
