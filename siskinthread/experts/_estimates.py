"""Smoothed expert loads and rank speeds from lagging statistics."""

import numpy as np

LEAST_LOAD = 1e-9


class Estimates:
    """What is believed about the experts and ranks of a group.

    A rank's slowness is judged at equal load: its time divided by the tokens it had,
    against the median rank.  Without that, a rank that holds a popular expert would be
    taken for slow and lose experts that it serves well, while a slow rank would be
    given fewer popular experts, which leaves it slow.

    Parameters
    ----------
    expert_count, rank_count : int
        Size of the layer.
    settings : PlannerSettings
        Smoothing and the ratio above which a rank counts as slow.
    """

    __slots__ = ("_settings", "_slowness", "expert_loads")

    def __init__(self, expert_count, rank_count, settings):
        self._settings = settings
        self._slowness = np.ones(rank_count)
        self.expert_loads = np.ones(expert_count)

    def observe(self, expert_map, expert_tokens, rank_times):
        """Take in the statistics of one interval.

        Parameters
        ----------
        expert_map : ExpertMap
            The map that was in force.
        expert_tokens : numpy.ndarray
            Tokens of each expert; NaN where the report is missing.
        rank_times : numpy.ndarray
            Step time of each rank; NaN where missing, any unit.
        """
        known = ~np.isnan(expert_tokens)
        weight = self._settings.smoothing
        self.expert_loads[known] += weight * (
            np.maximum(expert_tokens[known], LEAST_LOAD) - self.expert_loads[known]
        )
        loads = expert_map.rank_loads(self.expert_loads)
        self._observe_ranks(rank_times / np.maximum(loads, LEAST_LOAD))

    def _observe_ranks(self, time_per_token):
        known = ~np.isnan(time_per_token)
        if not known.any():
            return
        ratio = time_per_token[known] / np.median(time_per_token[known])
        weight = self._settings.smoothing
        self._slowness[known] += weight * (ratio - self._slowness[known])

    @property
    def slowness(self):
        """Relative time of each rank for a token; 1 for all that are not slow."""
        slow = self._slowness > self._settings.slow_rank_ratio
        return np.where(slow, self._slowness, 1.0)
