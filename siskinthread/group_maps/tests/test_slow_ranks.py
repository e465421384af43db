"""Which ranks get no requests because they are slow."""

import pytest

from siskinthread.group_maps import GroupMapSettings, RankReport
from siskinthread.group_maps._slow_ranks import SlowRanks

SETTINGS = GroupMapSettings()
RANKS = 10


def report(rank, slowness):
    """Return the report of a rank."""
    return RankReport(
        "g", 1, rank, RANKS, True, 7, 0, None, None, None, 3, slowness=slowness
    )


def told_after(*rounds):
    """Return what is told at last, after rounds of slowness by rank."""
    told = []
    ranks = SlowRanks([f"i-{rank}" for rank in range(RANKS)], told.append, SETTINGS)
    for slowness_by_rank in rounds:
        ranks.note([report(*one) for one in slowness_by_rank.items()])
    return told[-1], ranks.numbers


def test_rank_that_takes_several_times_as_long_is_slow():
    """The others differ a little, as ranks do."""
    usual = {rank: 1 + rank / 40 for rank in range(RANKS)}
    assert told_after(usual | {4: 4.0}) == (["i-4"], [4])


def test_rank_is_not_slow_any_more_once_it_says_so():
    """The next look asks the slow ranks and one other."""
    usual = dict.fromkeys(range(RANKS), 1.0)
    assert told_after(usual | {4: 12.0}, {4: 12.0, 0: 1.0}) == (["i-4"], [4])
    assert told_after(usual | {4: 12.0}, {4: 1.0, 0: 1.0}) == ([], [])


@pytest.mark.parametrize(("slow_count", "expected"), [(1, 1), (2, 2), (3, 0), (10, 0)])
def test_many_slow_ranks_get_requests_like_all(slow_count, expected):
    """Symptom: requests are refused while three of ten ranks have no request.

    Cause: the slots of slow ranks are worth more than shorter passes when the group
    is slow anyway.
    """
    usual = dict.fromkeys(range(RANKS), 1.0)
    slow = dict.fromkeys(range(slow_count), 4.0)
    assert len(told_after(usual | slow)[0]) == expected


def test_report_of_a_rank_that_is_not_known_changes_nothing():
    """A group may be larger than what this process knows of it."""
    assert told_after({RANKS + 3: 9.0}) == ([], [])
