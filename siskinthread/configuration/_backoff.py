"""Waits between retries."""


class Backoff:
    """Full jitter: each wait is drawn between zero and a bound that doubles.

    Parameters
    ----------
    settings : ConfigurationSettings
        First and last bound.
    random : random.Random
        Source of the jitter.  Without it, a thousand nodes that lost the log at one
        moment would come back to it at one moment.
    """

    __slots__ = ("_bound_s", "_random", "_settings")

    def __init__(self, settings, random):
        self._settings = settings
        self._random = random
        self.reset()

    def reset(self):
        """Start anew after a success."""
        self._bound_s = self._settings.retry_wait_first_s

    def next_wait_s(self):
        """Return the wait before the next retry, seconds."""
        wait_s = self._random.uniform(0.0, self._bound_s)
        self._bound_s = min(self._settings.retry_wait_limit_s, 2 * self._bound_s)
        return wait_s
