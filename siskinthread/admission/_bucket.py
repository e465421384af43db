"""Token bucket."""


class TokenBucket:
    """A bucket that fills at a steady rate up to its burst.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock of the refill.
    rate_per_s : float
        Units added each second.
    burst : float
        Most units that the bucket holds; it starts full.

    Notes
    -----
    Within any time T at an unchanged rate, the units taken are at most ``rate_per_s *
    T + max(burst, largest cost)``: a cost above the burst is taken from a full bucket,
    which then lies below zero and is in debt until the rate has paid that back.
    Otherwise an entry host whose part of a small account's limit holds less than one
    request would refuse that account for ever.
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

        The time since the last use is refilled at the lower of the two rates: when
        within that time the rate changed is unknown, and the higher one would add units
        that another entry host may have granted too.
        """
        if rate_per_s == self._rate_per_s and burst == self._burst:
            return
        self._rate_per_s = min(rate_per_s, self._rate_per_s)
        self._refill()
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def wait_s(self, cost):
        """Return the seconds until `cost` can be taken; 0.0 if it can be now."""
        self._refill()
        missing = min(cost, self._burst) - self._level
        if missing <= 0.0:
            return 0.0
        return missing / self._rate_per_s if self._rate_per_s else float("inf")

    def take(self, cost):
        """Take `cost` units; the caller has asked `wait_s`."""
        self._refill()
        self._level -= cost

    def give_back(self, units):
        """Return units that were taken and not used; negative ones are charged."""
        self._refill()
        self._level = min(self._burst, self._level + units)

    def _refill(self):
        now_s = self._clock.monotonic_s()
        added = self._rate_per_s * (now_s - self._filled_at_s)
        self._level = min(self._burst, self._level + added)
        self._filled_at_s = now_s
