"""Tests of the estimate of demand for experts."""

from siskinthread.group_maps import Demand, GroupMapSettings, RankCounts

SETTINGS = GroupMapSettings(newest_weight=0.5)


def counts(epoch, *values):
    """Return the counts of one set of three experts."""
    return RankCounts(epoch, 1, [list(values)])


def test_two_looks_give_what_was_chosen_between_them():
    """Ranks count from their start; only the difference shows the demand."""
    demand = Demand(SETTINGS)
    demand.note({0: counts(1, 100, 100, 100)})
    assert demand.loads_by_set is None
    demand.note({0: counts(1, 130, 110, 100)})
    assert demand.loads_by_set == [[0.75, 0.25, 0.0]]


def test_ranks_count_together():
    """The counts of several ranks form one sample."""
    demand = Demand(SETTINGS)
    demand.note({0: counts(1, 0, 0, 0), 4: counts(1, 0, 0, 0)})
    demand.note({0: counts(1, 6, 0, 0), 4: counts(1, 0, 2, 0)})
    assert demand.loads_by_set == [[0.75, 0.25, 0.0]]


def test_newer_looks_weigh_more():
    """Old demand decays with the weight of the newest sample."""
    demand = Demand(SETTINGS)
    for values in ((0, 0, 0), (10, 0, 0), (10, 10, 0)):
        demand.note({0: counts(1, *values)})
    assert demand.loads_by_set == [[0.5, 0.5, 0.0]]


def test_restarted_rank_tells_nothing_at_first():
    """Guards against a negative demand.

    A group re-forms, and its ranks count from zero again.
    """
    demand = Demand(SETTINGS)
    demand.note({0: counts(1, 0, 0, 0)})
    demand.note({0: counts(1, 10, 0, 0)})
    demand.note({0: counts(2, 0, 3, 0)})
    assert demand.loads_by_set == [[1.0, 0.0, 0.0]]


def test_idle_group_keeps_the_last_demand():
    """Without selections the estimate does not change."""
    demand = Demand(SETTINGS)
    for _ in range(3):
        demand.note({0: counts(1, 4, 0, 0)})
    assert demand.loads_by_set is None


def test_counts_of_another_start_are_not_subtracted():
    """Guards against experts in demand that look idle.

    All ranks restart, so epochs and counts restart too, and equal epoch numbers must
    not be treated as the same epoch.
    """
    demand = Demand(GroupMapSettings())
    demand.note({0: RankCounts(1, 9, [[900, 100]], 5_000)})
    demand.note({0: RankCounts(1, 3, [[10, 30]], 6_000)})
    assert demand.loads_by_set is None
    demand.note({0: RankCounts(1, 5, [[20, 60]], 6_000)})
    assert demand.loads_by_set == [[0.25, 0.75]]
