"""Tests of which ranks get no requests because they are slow."""

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


def notified_after(*rounds):
    """Return the last notification and the slow ranks after rounds of reports."""
    notified = []
    ranks = SlowRanks([f"i-{rank}" for rank in range(RANKS)], notified.append, SETTINGS)
    for slowness_by_rank in rounds:
        ranks.note([report(*one) for one in slowness_by_rank.items()])
    return notified[-1], ranks.numbers


def test_rank_that_takes_several_times_as_long_is_slow():
    """The other ranks differ a little, as ranks normally do."""
    usual = {rank: 1 + rank / 40 for rank in range(RANKS)}
    assert notified_after(usual | {4: 4.0}) == (["i-4"], [4])


def test_rank_is_not_slow_any_more_once_it_says_so():
    """The next poll queries the slow ranks and one other rank."""
    usual = dict.fromkeys(range(RANKS), 1.0)
    assert notified_after(usual | {4: 12.0}, {4: 12.0, 0: 1.0}) == (["i-4"], [4])
    assert notified_after(usual | {4: 12.0}, {4: 1.0, 0: 1.0}) == ([], [])


@pytest.mark.parametrize(("slow_count", "expected"), [(1, 1), (2, 2), (3, 0), (10, 0)])
def test_many_slow_ranks_get_requests_like_all(slow_count, expected):
    """Guards against refused requests while three of ten ranks have no request.

    If many ranks are slow, their request slots are worth more than shorter passes.
    """
    usual = dict.fromkeys(range(RANKS), 1.0)
    slow = dict.fromkeys(range(slow_count), 4.0)
    assert len(notified_after(usual | slow)[0]) == expected


def test_report_of_a_rank_that_is_not_known_changes_nothing():
    """A group may have more ranks than this process knows."""
    assert notified_after({RANKS + 3: 9.0}) == ([], [])
