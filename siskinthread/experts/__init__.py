"""Expert maps: load estimates, planner and the protocol of map changes."""

from siskinthread.experts._controller import Controller, SkipReason
from siskinthread.experts._estimates import Estimates
from siskinthread.experts._expert_map import ExpertMap
from siskinthread.experts._map_change import ChangeResult, MapChange
from siskinthread.experts._order_frames import encode_map
from siskinthread.experts._orders import (
    Done,
    Hold,
    Order,
    OrderNumber,
    Promise,
    RankState,
    Refused,
    Release,
    Stage,
    Switch,
)
from siskinthread.experts._planner import Objective, Plan, Planner, Verdict
from siskinthread.experts._rank_engine import RankEngine, RankReport
from siskinthread.experts._rank_gate import RankGate
from siskinthread.experts._rank_service import RankService
from siskinthread.experts._rank_settings import RankSettings
from siskinthread.experts._recomputation import recompute_map
from siskinthread.experts._remote_ranks import RemoteRanks
from siskinthread.experts._search import Search, Step
from siskinthread.experts._settings import PlannerSettings

__all__ = [
    "ChangeResult",
    "Controller",
    "Done",
    "Estimates",
    "ExpertMap",
    "SkipReason",
    "Hold",
    "MapChange",
    "Objective",
    "Order",
    "OrderNumber",
    "Plan",
    "Planner",
    "PlannerSettings",
    "Promise",
    "RankEngine",
    "RankGate",
    "RankReport",
    "RankService",
    "RankSettings",
    "RankState",
    "Refused",
    "Release",
    "RemoteRanks",
    "Search",
    "Stage",
    "Step",
    "Switch",
    "Verdict",
    "encode_map",
    "recompute_map",
]
