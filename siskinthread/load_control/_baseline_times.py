"""Typical request durations at a target of typical speed, by route and size."""

import math

# Maximum number of kinds of requests; the oldest is dropped.
KINDS_LIMIT = 512
# Requests of a kind before its typical duration counts as known.
MIN_SAMPLES = 3
# Minimum weight of the newest request; 0.1 follows a change of all targets within some
# ten requests.
MIN_WEIGHT = 0.1


class _Baseline:
    """Logarithm of a typical duration, and the number of its samples."""

    __slots__ = ("count", "log_s")

    def __init__(self, log_s):
        self.count = 1
        self.log_s = log_s


class BaselineTimes:
    """Typical durations, corrected for the known speed of each target.

    Durations are compared by their logarithms: a target that is twice as slow adds the
    same amount to each, and a single very long request does not dominate the mean.
    """

    __slots__ = ("_baselines",)

    def __init__(self):
        self._baselines = {}

    def typical_s(self, kind):
        """Return the typical duration of a kind of requests, seconds, or None."""
        baseline = self._baselines.get(kind)
        if baseline is None or baseline.count < MIN_SAMPLES:
            return None
        return math.exp(baseline.log_s)

    def note(self, kind, took_s, slowness):
        """Record the duration of a request.

        Parameters
        ----------
        kind : tuple
            Route and size class, on which the duration depends.
        took_s : float
            Its duration, seconds.
        slowness : float
            Ratio of the durations at its target to typical ones.

        Returns
        -------
        float or None
            Logarithm of its duration relative to the typical one, or None if that is
            not known yet.
        """
        log_s = math.log(max(took_s, 1e-6))
        baseline = self._baselines.get(kind)
        if baseline is None:
            if len(self._baselines) >= KINDS_LIMIT:
                del self._baselines[next(iter(self._baselines))]
            self._baselines[kind] = _Baseline(log_s - math.log(slowness))
            return None
        is_known = baseline.count >= MIN_SAMPLES
        ratio = log_s - baseline.log_s
        baseline.count += 1
        weight = max(MIN_WEIGHT, 1 / baseline.count)
        baseline.log_s += weight * (ratio - math.log(slowness))
        return ratio if is_known else None


def size_class(token_counts):
    """Return a class of sizes within a factor of two, or None if unstated."""
    if token_counts is None:
        return None
    return token_counts.prompt.bit_length(), token_counts.most_output.bit_length()
