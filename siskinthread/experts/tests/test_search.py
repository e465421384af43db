"""Differential tests of the search against a naive search."""

import numpy as np
import pytest

from siskinthread.experts import ExpertMap, recompute_map, Search
from siskinthread.experts.tests._naive import naive_best_peak

MAX_PEAK_RATIO = 0.995


@pytest.mark.parametrize("seed", range(60))
def test_step_is_the_best_of_all_single_steps(seed):
    """The peak bound of a step is the smallest peak that the naive search finds."""
    random = np.random.default_rng(seed)
    expert_map = ExpertMap.round_robin(6, 2, 8)
    if seed % 2:
        expert_map = recompute_map(np.exp(random.normal(0, 1, 8)), 6, 2)
    loads = np.exp(random.normal(0, 1.2, 8))
    slowness = np.where(random.random(6) < 0.2, 1.5, 1.0)
    naive = naive_best_peak(expert_map.slots, loads, slowness, swap_penalty=0.1)
    search = Search(expert_map, loads, slowness, swap_penalty=0.1)
    before = search.rank_times().max()
    step = search.step()
    if naive >= before * MAX_PEAK_RATIO:
        assert step is None
    else:
        assert step.peak_bound == pytest.approx(naive)


def test_every_expert_keeps_a_slot():
    """No expert loses its last replica in a long search."""
    random = np.random.default_rng(5)
    expert_map = ExpertMap.round_robin(16, 2, 24)
    loads = np.exp(random.normal(0, 2, 24))
    search = Search(expert_map, loads, np.ones(16), swap_penalty=0.0)
    steps = 0
    while (step := search.step()) is not None and steps < 200:
        steps += 1
        assert set(step.slots) == set(range(24))
    assert steps > 3
