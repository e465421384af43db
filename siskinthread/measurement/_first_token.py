"""Quantiles of the time to the first token, freed of the engines' phases."""

import statistics

import numpy as np

SUBSETS = 4
TOKENS_FOR_THE_PHASE = 16


def next_step_wait_s(sent_at_s, arrivals_s, step_s):
    """Return how long a request waited for the step of its engine, seconds.

    The earliest of the tokens after the first, each set back by the steps between,
    shows when the engine made the first one, up to a constant delay.

    Parameters
    ----------
    sent_at_s : float
        When the request was sent, monotonic seconds.
    arrivals_s : list of float
        When tokens came, monotonic seconds.
    step_s : float
        Step time, seconds.
    """
    known = arrivals_s[:TOKENS_FOR_THE_PHASE]
    made_at_s = min(
        arrival_s - number * step_s for number, arrival_s in enumerate(known)
    )
    return (made_at_s - sent_at_s) % step_s


class FirstTokenSamples:
    """Times to the first token of one level of load.

    A request that comes just after a step waits almost a whole step for its first
    token, one that comes just before it almost none.  Which of the two happens how
    often is chance, and it would hide the time that the path adds.  Each sample is
    therefore weighted with the part of the step that its phase stands for, as if the
    phases were spread evenly.

    Parameters
    ----------
    times_s : list of float
        Times from the request to the first token, seconds.
    waits_s : list of float
        Of each, the wait for the engine's step, seconds.
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

        Every fourth sample in the order of the phases makes a subset of its own; the
        spread of the subsets' quantiles is at least twice that of the whole.
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
    """Return the part of the step that is nearer to each phase than to the others."""
    after_s = np.diff(waits_s, append=waits_s[0] + step_s)
    before_s = np.roll(after_s, 1)
    return (after_s + before_s) / 2


def _weighted_quantile(values, weights, share):
    """Return a quantile, with each value in the middle of its weight."""
    order = np.argsort(values)
    reached = np.cumsum(weights[order]) - weights[order] / 2
    return float(np.interp(share * weights.sum(), reached, values[order]))
