"""Back-off between retries."""


class Backoff:
    """Exponential back-off with full jitter.

    Each wait is uniformly distributed between zero and a bound that doubles.

    Parameters
    ----------
    settings : ConfigurationSettings
        First and largest bound.
    random : random.Random
        Source of the jitter.  Without jitter, a thousand nodes that lose the log at the
        same time would retry at the same time.
    """

    __slots__ = ("_bound_s", "_random", "_settings")

    def __init__(self, settings, random):
        self._settings = settings
        self._random = random
        self.reset()

    def reset(self):
        """Reset the bound to its first value, after a success."""
        self._bound_s = self._settings.retry_wait_first_s

    def next_wait_s(self):
        """Return the wait before the next retry, in seconds."""
        wait_s = self._random.uniform(0.0, self._bound_s)
        self._bound_s = min(self._settings.retry_wait_limit_s, 2 * self._bound_s)
        return wait_s
