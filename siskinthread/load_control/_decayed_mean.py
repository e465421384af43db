"""Exponentially weighted means."""

import math


class DecayedMean:
    """Exponentially weighted mean that restarts after a step change.

    Parameters
    ----------
    memory_s : float
        Decay time of the weights, seconds.
    weight_limit : float
        Maximum sum of the weights.
    """

    __slots__ = ("_at_s", "_memory_s", "_streak", "_weight_limit", "total", "weight")

    def __init__(self, memory_s, weight_limit):
        self._memory_s = memory_s
        self._weight_limit = weight_limit
        self._at_s = 0.0
        # Distance and value of the last sample if it was far from the mean, else None.
        self._streak = None
        self.total = 0.0
        self.weight = 0.0

    def decay(self, now_s):
        """Decay the weights until `now_s`, monotonic seconds."""
        if now_s <= self._at_s:
            return
        factor = math.exp((self._at_s - now_s) / self._memory_s)
        self._at_s = now_s
        self.weight *= factor
        self.total *= factor

    def discount(self, factor):
        """Multiply the weight of all samples by a factor."""
        self.weight *= factor
        self.total *= factor

    def note(self, value, now_s, change_limit=math.inf):
        """Add a sample of weight 1.

        Parameters
        ----------
        value : float
            The sample.
        now_s : float
            Current time, monotonic seconds.
        change_limit : float
            Distance from the mean above which two consecutive samples on the same side
            count as a step change, which discards the earlier samples.
        """
        self.decay(now_s)
        distance = value - self.mean(value)
        is_far = abs(distance) > change_limit
        if is_far and self._streak is not None and self._streak[0] * distance > 0:
            self.weight, self.total = 1.0, self._streak[1]
            is_far = False
        self._streak = (distance, value) if is_far else None
        self.weight += 1.0
        self.total += value
        if self.weight > self._weight_limit:
            self.discount(self._weight_limit / self.weight)

    def mean(self, default=0.0):
        """Return the mean, or a default without any sample."""
        return self.total / self.weight if self.weight > 1e-9 else default
