"""Smoothed estimates of expert loads and rank slowness from delayed statistics."""

import numpy as np

MIN_LOAD = 1e-9


class Estimates:
    """Estimates of the expert loads and the slowness of the ranks of a group.

    The slowness of a rank is its step time per token, relative to the median rank.  If
    it were not normalized by load, a rank with a popular expert would count as slow and
    lose experts that it serves well, while a slow rank would get fewer popular experts,
    which leaves it slow.

    Parameters
    ----------
    expert_count, rank_count : int
        Size of the layer.
    settings : PlannerSettings
        ``smoothing``, and ``slow_rank_ratio``, above which a rank counts as slow.

    Attributes
    ----------
    expert_loads : numpy.ndarray
        Shape (experts,); smoothed tokens of each expert in an interval.
    """

    __slots__ = ("_settings", "_slowness", "expert_loads")

    def __init__(self, expert_count, rank_count, settings):
        self._settings = settings
        self._slowness = np.ones(rank_count)
        self.expert_loads = np.ones(expert_count)

    def observe(self, expert_map, expert_tokens, rank_times):
        """Update the estimates with the statistics of one interval.

        Parameters
        ----------
        expert_map : ExpertMap
            The map in force during the interval.
        expert_tokens : numpy.ndarray
            Shape (experts,); tokens of each expert, NaN if the report is missing.
        rank_times : numpy.ndarray
            Shape (ranks,); step time of each rank in any unit, NaN if missing.
        """
        is_known = ~np.isnan(expert_tokens)
        weight = self._settings.smoothing
        self.expert_loads[is_known] += weight * (
            np.maximum(expert_tokens[is_known], MIN_LOAD) - self.expert_loads[is_known]
        )
        loads = expert_map.rank_loads(self.expert_loads)
        self._observe_ranks(rank_times / np.maximum(loads, MIN_LOAD))

    def _observe_ranks(self, time_per_token):
        is_known = ~np.isnan(time_per_token)
        if not is_known.any():
            return
        ratio = time_per_token[is_known] / np.median(time_per_token[is_known])
        weight = self._settings.smoothing
        self._slowness[is_known] += weight * (ratio - self._slowness[is_known])

    @property
    def slowness(self):
        """Relative time of each rank per token; 1 for ranks that are not slow."""
        slow = self._slowness > self._settings.slow_rank_ratio
        return np.where(slow, self._slowness, 1.0)
