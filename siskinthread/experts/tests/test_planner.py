"""Tests of the planner's decisions."""

import json
from pathlib import Path

import numpy as np

from siskinthread.experts import (
    Estimates,
    ExpertMap,
    Objective,
    Planner,
    PlannerSettings,
    Verdict,
)

GOLDEN_PATH = Path(__file__).parent / "golden" / "planning_session.json"
RANKS, SLOTS, EXPERTS = 8, 2, 12
NOON = 720


def make_estimates(loads, slowness=None):
    estimates = Estimates(EXPERTS, RANKS, PlannerSettings(smoothing=1.0))
    expert_map = ExpertMap.round_robin(RANKS, SLOTS, EXPERTS)
    times = expert_map.rank_loads(loads) * (1.0 if slowness is None else slowness)
    estimates.observe(expert_map, loads, times)
    return expert_map, estimates


def skewed_loads():
    loads = np.full(EXPERTS, 10.0)
    loads[3] = 200.0
    return loads


def test_golden_planning_session():
    """A seeded series of plans equals the golden file."""
    random = np.random.default_rng(11)
    planner = Planner(PlannerSettings(), Objective(1.0, 1.0, [(0, 60)]))
    expert_map = ExpertMap.round_robin(RANKS, SLOTS, EXPERTS)
    estimates = Estimates(EXPERTS, RANKS, PlannerSettings())
    log_loads = random.normal(0, 1, EXPERTS)
    plans = []
    for interval in range(24):
        log_loads += random.normal(0, 0.1, EXPERTS)
        loads = np.round(1000 * np.exp(log_loads))
        estimates.observe(expert_map, loads, expert_map.rank_loads(loads))
        plan = planner.plan(expert_map, estimates, interval * 15)
        expert_map = plan.expert_map
        plans.append(
            {
                "verdict": plan.verdict.value,
                "moves": plan.moves,
                "skew_before": round(plan.skew_before, 6),
                "skew_after": round(plan.skew_after, 6),
                "version": expert_map.version,
                "slots": expert_map.slots.tolist(),
            }
        )
    assert plans == json.loads(GOLDEN_PATH.read_text())


def test_no_move_within_a_quiet_window():
    """No move is planned in a quiet window that spans midnight."""
    expert_map, estimates = make_estimates(skewed_loads())
    planner = Planner(PlannerSettings(), Objective(1.0, 1.0, [(1380, 120)]))
    for minute in (1380, 1439, 0, 119):
        plan = planner.plan(expert_map, estimates, minute)
        assert (plan.verdict, plan.moves) == (Verdict.QUIET_WINDOW, 0)
    assert planner.plan(expert_map, estimates, 120).verdict is Verdict.MOVE


def test_noise_moves_nothing():
    """Guards against moving experts back and forth in an evenly loaded group.

    Reports differ a little from interval to interval, so that the slowest rank changes.
    A gain below ``least_gain`` must cause no move.
    """
    random = np.random.default_rng(2)
    planner = Planner(PlannerSettings(), Objective())
    expert_map = ExpertMap.round_robin(6, 2, 12)
    estimates = Estimates(12, 6, PlannerSettings())
    for _ in range(50):
        loads = 10_000.0 * random.normal(1.0, 0.008, 12)
        estimates.observe(expert_map, loads, expert_map.rank_loads(loads))
        plan = planner.plan(expert_map, estimates, NOON)
        assert plan.moves == 0


def test_slow_rank_is_given_less_load_and_popular_expert_more_replicas():
    """Guards against moving experts away from a rank that is busy but not slow.

    The step time of a rank increases with the popularity of its experts.  Slowness must
    be normalized by load; a rank that is slow at equal load must get less load.
    """
    slowness = np.ones(RANKS)
    slowness[5] = 1.6
    _, popular = make_estimates(skewed_loads())
    assert (popular.slowness == 1.0).all()
    even = np.full(EXPERTS, 100.0)
    expert_map, slow = make_estimates(even, slowness)
    assert (slow.slowness > 1.0).tolist() == [rank == 5 for rank in range(RANKS)]
    plan = Planner(PlannerSettings(), Objective()).plan(expert_map, slow, NOON)
    before = expert_map.rank_loads(even)[5]
    assert plan.expert_map.rank_loads(even)[5] < before


def test_lost_reports_leave_the_estimate_as_it_was():
    """Missing reports neither reset the load of experts nor mark ranks as slow."""
    loads = skewed_loads()
    expert_map, estimates = make_estimates(loads)
    lost = np.full(EXPERTS, np.nan)
    estimates.observe(expert_map, lost, np.full(RANKS, np.nan))
    assert (estimates.expert_loads == loads).all()
    assert (estimates.slowness == 1.0).all()


def test_moves_stay_within_the_weight_store_budget():
    """Successive plans stay within the accumulated and the steady budget of moves."""
    settings = PlannerSettings(moves_per_interval=0.5, moves_burst=1.0)
    planner = Planner(settings, Objective())
    expert_map, estimates = make_estimates(skewed_loads())
    moved = 0
    for interval in range(8):
        plan = planner.plan(expert_map, estimates, NOON)
        expert_map = plan.expert_map
        moved += plan.moves
        assert moved <= 1 + 0.5 * interval
    assert moved > 1
