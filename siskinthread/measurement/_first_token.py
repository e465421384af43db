"""Quantiles of the time to first token, corrected for the phases of engine steps."""

import statistics

import numpy as np

SUBSETS = 4
TOKENS_FOR_THE_PHASE = 16


def next_step_wait_s(sent_at_s, arrivals_s, step_s):
    """Return the time that a request waited for the next step of its engine, seconds.

    Each token, shifted back by the steps since the first token, gives an estimate of
    the time at which the engine generated the first token.  The earliest estimate is
    used; it is exact up to a constant delay.

    Parameters
    ----------
    sent_at_s : float
        Time at which the request was sent, monotonic seconds.
    arrivals_s : list of float
        Times at which tokens arrived, monotonic seconds.
    step_s : float
        Step time of the engine, seconds.
    """
    known = arrivals_s[:TOKENS_FOR_THE_PHASE]
    made_at_s = min(
        arrival_s - number * step_s for number, arrival_s in enumerate(known)
    )
    return (made_at_s - sent_at_s) % step_s


class FirstTokenSamples:
    """Times to first token of one level of load.

    A request that arrives just after a step begins waits almost a whole step for its
    first token; a request that arrives just before the next step hardly waits.  The
    random distribution of these phases would hide the time that the path adds.  Each
    sample is therefore weighted with the part of the step that its phase represents, as
    if the phases were evenly distributed.

    Parameters
    ----------
    times_s : list of float
        Times to first token, seconds.
    waits_s : list of float
        Wait of each request for the next step of the engine, seconds.
    step_s : float
        Step time, seconds.
    """

    __slots__ = ("_step_s", "_times_s", "_waits_s")

    def __init__(self, times_s, waits_s, step_s):
        order = np.argsort(waits_s)
        self._waits_s = np.asarray(waits_s, dtype=float)[order]
        self._times_s = np.asarray(times_s, dtype=float)[order]
        self._step_s = step_s

    def __len__(self):
        return len(self._times_s)

    def quantile_s(self, share):
        """Return a weighted quantile in seconds."""
        return self._quantile_s(share, slice(None))

    def quantile_error_s(self, share):
        """Return the standard error of a quantile in seconds.

        The samples, sorted by phase, are divided into four interleaved subsets.  The
        standard deviation of their quantiles is at least twice that of the quantile of
        all samples.
        """
        values = [
            self._quantile_s(share, slice(first, None, SUBSETS))
            for first in range(SUBSETS)
        ]
        return statistics.stdev(values) / SUBSETS**0.5

    def _quantile_s(self, share, subset):
        weights = _phase_weights(self._waits_s[subset], self._step_s)
        return _weighted_quantile(self._times_s[subset], weights, share)


def _phase_weights(waits_s, step_s):
    """Return the length of the part of the step that is nearest to each phase."""
    after_s = np.diff(waits_s, append=waits_s[0] + step_s)
    before_s = np.roll(after_s, 1)
    return (after_s + before_s) / 2


def _weighted_quantile(values, weights, share):
    """Return a weighted quantile, with each value at the midpoint of its weight."""
    order = np.argsort(values)
    reached = np.cumsum(weights[order]) - weights[order] / 2
    return float(np.interp(share * weights.sum(), reached, values[order]))
