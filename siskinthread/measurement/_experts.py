"""Comparison of the planner of expert maps with baselines on seeded workloads."""

import functools
import json
import time

import numpy as np

from siskinthread.experts import (
    Estimates,
    ExpertMap,
    Objective,
    Planner,
    PlannerSettings,
    recompute_map,
    Verdict,
)
from siskinthread.measurement._expert_workload import (
    make_intervals,
    report,
    WorkloadSettings,
)

WARM_UP_INTERVALS = 12
MILLISECONDS_PER_SECOND = 1000.0
MORNING_QUIET_WINDOWS = [(6 * 60, 9 * 60)]


class StaticPolicy:
    """Baseline that never changes the map."""

    name = "static"

    def next_map(self, expert_map, estimates, interval, following):
        """Return the map for the following interval."""
        return expert_map


class RecomputationPolicy:
    """Baseline that recomputes the whole map in each interval."""

    name = "full_recomputation"

    def next_map(self, expert_map, estimates, interval, following):
        """Return the map for the following interval."""
        return _recomputed(expert_map, estimates.expert_loads)


class OraclePolicy:
    """Baseline that recomputes the map from the true loads of the next interval."""

    name = "oracle"

    def next_map(self, expert_map, estimates, interval, following):
        """Return the map for the following interval."""
        return _recomputed(expert_map, following.expert_loads)


class PlannerPolicy:
    """The planner, with a record of its processor times and verdicts.

    Parameters
    ----------
    settings : PlannerSettings
        Settings of the planner.
    objective : Objective
        Published weights.
    name : str
        Name in the report.
    """

    def __init__(self, settings, objective, name):
        self.name = name
        self.plan_times_ms = []
        self.verdicts = []
        self._planner = Planner(settings, objective)

    def next_map(self, expert_map, estimates, interval, following):
        """Return the map for the following interval."""
        start_s = time.process_time()
        plan = self._planner.plan(expert_map, estimates, interval.minute)
        spent_s = time.process_time() - start_s
        self.plan_times_ms.append(spent_s * MILLISECONDS_PER_SECOND)
        self.verdicts.append(plan.verdict)
        return plan.expert_map


def _recomputed(expert_map, loads):
    rank_count, slots_per_rank = expert_map.slots.shape
    return recompute_map(loads, rank_count, slots_per_rank, expert_map.version + 1)


class PolicyRun:
    """Figures of one policy over one run, for each interval.

    Parameters
    ----------
    policy : object
        Policy of the run.
    """

    __slots__ = ("moves", "policy", "quiet_moves", "skews")

    def __init__(self, policy):
        self.policy = policy
        self.skews = []
        self.moves = []
        self.quiet_moves = 0

    def mean_skew(self):
        """Return the mean step-time skew after the warm-up."""
        return float(np.mean(self.skews[WARM_UP_INTERVALS:]))


def run_policy(policy, workload, seed, quiet=None):
    """Run one policy over a day.

    Parameters
    ----------
    policy : object
        Policy with a method ``next_map``.
    workload : WorkloadSettings
        Size and unrest.
    seed : int
        Seed of the day; the same seed gives each policy the same day.
    quiet : Objective or None
        Objective in whose quiet windows moves are counted; None to count none.

    Returns
    -------
    PolicyRun
    """
    intervals = make_intervals(workload, np.random.default_rng(seed))
    random = np.random.default_rng(seed + 1)
    ranks, slots, experts = (
        workload.rank_count,
        workload.slots_per_rank,
        workload.expert_count,
    )
    expert_map = ExpertMap.round_robin(ranks, slots, experts)
    estimates = Estimates(experts, ranks, PlannerSettings())
    run = PolicyRun(policy)
    reports = []
    for interval, following in zip(intervals, intervals[1:], strict=False):
        run.skews.append(expert_map.skew(interval.expert_loads, interval.slowness))
        reports.append((expert_map, *report(workload, interval, expert_map, random)))
        if len(reports) > workload.lag_intervals:
            estimates.observe(*reports.pop(0))
        new_map = policy.next_map(expert_map, estimates, interval, following)
        moves = expert_map.moves_to(new_map)
        run.moves.append(moves)
        if quiet is not None and quiet.is_quiet(interval.minute):
            run.quiet_moves += moves
        expert_map = new_map
    return run


def compare(seed, workload=None):
    """Return the `PolicyRun` of every policy on one seed.

    Parameters
    ----------
    seed : int
        Seed of the day.
    workload : WorkloadSettings or None
        Size and unrest.

    Returns
    -------
    list of PolicyRun
    """
    workload = workload or WorkloadSettings()
    inspectorate = Objective(skew_weight=1.0, cost_weight=0.5)
    caretaker = Objective(1.0, 2.0, MORNING_QUIET_WINDOWS)
    policies = [
        StaticPolicy(),
        RecomputationPolicy(),
        OraclePolicy(),
        PlannerPolicy(PlannerSettings(), inspectorate, "planner_inspectorate"),
        PlannerPolicy(PlannerSettings(), caretaker, "planner_caretaker"),
    ]
    run = functools.partial(run_policy, workload=workload, seed=seed, quiet=caretaker)
    return [run(policy) for policy in policies]


def figures(runs):
    """Return the figures of the runs on one seed as values for JSON."""
    by_name = {run.policy.name: run for run in runs}
    static = by_name["static"].mean_skew()
    full = by_name["full_recomputation"]
    return {
        name: {
            "mean_skew": round(run.mean_skew(), 4),
            "skew_to_full": round(run.mean_skew() / full.mean_skew(), 4),
            "excess_to_static": round((run.mean_skew() - 1) / (static - 1), 4),
            "moves": sum(run.moves),
            "moves_to_full": round(sum(run.moves) / sum(full.moves), 4),
            "moves_in_quiet_windows": run.quiet_moves,
            **_plan_figures(run.policy),
        }
        for name, run in by_name.items()
    }


@functools.singledispatch
def _plan_figures(policy):
    return {}


@_plan_figures.register
def _(policy: PlannerPolicy):
    held_back = sum(verdict != Verdict.MOVE for verdict in policy.verdicts)
    times_ms = policy.plan_times_ms
    return {
        "plan_p50_ms": round(float(np.median(times_ms)), 3),
        "plan_p99_ms": round(float(np.quantile(times_ms, 0.99)), 3),
        "plan_max_ms": round(max(times_ms), 3),
        "intervals_held_back": held_back,
    }


def measure_experts(seeds):
    """Return the figures of every policy for each seed as values for JSON."""
    return {str(seed): figures(compare(seed)) for seed in seeds}


if __name__ == "__main__":
    print(json.dumps(measure_experts([1, 2, 3]), indent=1))
