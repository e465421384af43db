"""Expert maps: model of the work, planner and change protocol."""

from siskinthread.experts._estimates import Estimates
from siskinthread.experts._expert_map import ExpertMap
from siskinthread.experts._planner import Objective, Plan, Planner, Verdict
from siskinthread.experts._recomputation import recompute_map
from siskinthread.experts._search import Search, Step
from siskinthread.experts._settings import PlannerSettings

__all__ = [
    "Estimates",
    "ExpertMap",
    "Objective",
    "Plan",
    "Planner",
    "PlannerSettings",
    "Search",
    "Step",
    "Verdict",
    "recompute_map",
]
