"""Plans: small, possible, and better than before."""

import random

from hypothesis import given, settings as hypothesis_settings, strategies as st

from siskinthread.group_maps import (
    ExpertLayout,
    GroupMap,
    GroupMapSettings,
    PassModel,
    plan_changes,
    relative_pass_time,
)

MODEL = PassModel(0.85, fixed_s=0.03, request_s=0.005)
LAYOUT = ExpertLayout(2, 16, 6, 2, MODEL, copy_s=0.1, report_lag_s=0.2)
SETTINGS = GroupMapSettings(copies_limit=3)
RANKS = 4
EVEN = [1.0] * RANKS


def first_map():
    """Return the map that deals the experts out in turn."""
    ranks = [tuple(range(rank, 16, RANKS)) for rank in range(RANKS)]
    return GroupMap(0, [ranks] * LAYOUT.set_count, LAYOUT.expert_count)


def skewed(seed):
    """Return loads where a few experts have most."""
    draw = random.Random(seed)
    return [
        [draw.random() ** 6 + 0.01 for _ in range(LAYOUT.expert_count)]
        for _ in range(LAYOUT.set_count)
    ]


@given(st.integers(0, 10_000))
@hypothesis_settings(max_examples=60)
def test_plans_keep_the_limits_and_help(seed):
    """No rank gets more than it may, every expert stays held, no plan is worse."""
    loads = skewed(seed)
    group_map = first_map()
    for version in range(1, 4):
        plans = plan_changes(group_map, loads, EVEN, LAYOUT, SETTINGS, version)
        if not plans:
            break
        times = [plans[0].time_before, *(plan.time_after for plan in plans)]
        assert times == sorted(times, reverse=True)
        for plan in plans:
            new_experts = group_map.new_experts(plan.group_map)
            assert max(new_experts) <= plan.copies <= SETTINGS.copies_limit
        plan = plans[-1]
        for ranks, before in zip(
            plan.group_map.holdings, group_map.holdings, strict=True
        ):
            assert {expert for rank in ranks for expert in rank} == set(range(16))
            for rank, rank_before in zip(ranks, before, strict=True):
                assert len(rank) <= LAYOUT.place_count
                assert len(set(rank) - set(rank_before)) <= LAYOUT.spare_count
        group_map = plan.group_map


def test_few_small_changes_even_a_strong_skew_out():
    """Three changes of three copies bring a hot expert's group near to even."""
    loads = [[20.0] + [1.0] * 15, [1.0] * 15 + [20.0]]
    group_map = first_map()
    before = relative_pass_time(group_map.holdings, loads, MODEL.expert_share, EVEN)
    for version in range(1, 4):
        plans = plan_changes(group_map, loads, EVEN, LAYOUT, SETTINGS, version)
        group_map = plans[-1].group_map if plans else group_map
    after = relative_pass_time(group_map.holdings, loads, MODEL.expert_share, EVEN)
    assert before > 2.0
    assert after < 1.15


def test_even_demand_changes_nothing():
    """Without a gain nothing is copied."""
    loads = [[1.0] * 16] * 2
    assert plan_changes(first_map(), loads, EVEN, LAYOUT, SETTINGS, 1) == []


def test_slow_rank_gets_less_to_do():
    """Symptom: a whole group is slow for as long as one of its ranks is.

    Events: one rank takes twice as long for the same work.  Part of its experts' load
    goes to replicas on other ranks.
    """
    slowness = [2.0, 1.0, 1.0, 1.0]
    loads = [[1.0] * 16] * 2
    group_map = first_map()
    share = MODEL.expert_share
    before = relative_pass_time(group_map.holdings, loads, share, slowness)
    for version in range(1, 4):
        plans = plan_changes(group_map, loads, slowness, LAYOUT, SETTINGS, version)
        group_map = plans[-1].group_map if plans else group_map
    after = relative_pass_time(group_map.holdings, loads, share, slowness)
    assert before == 2.0
    assert after < 1.6


def test_very_slow_rank_gives_its_experts_away():
    """Symptom: passes of a whole group take ten times as long for seconds.

    Events: one rank takes twelve times as long for the same work.  Cause: experts were
    only added to other ranks, and the slow one still did its part of each.
    """
    slowness = [12.0, 1.0, 1.0, 1.0]
    loads = [[1.0] * 16] * 2
    group_map = first_map()
    share = MODEL.expert_share
    before = relative_pass_time(group_map.holdings, loads, share, slowness)
    for version in range(1, 3):
        plans = plan_changes(group_map, loads, slowness, LAYOUT, SETTINGS, version)
        group_map = plans[-1].group_map
    after = relative_pass_time(group_map.holdings, loads, share, slowness)
    own_part = (1 - share) * slowness[0]
    assert before == 12.0
    assert after < own_part + 1.5 * share
