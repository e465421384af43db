"""Control of the expert maps of groups whose ranks accept orders over HTTP.

Interface: ``GroupDirectory(build_client, settings, clock)`` finds out which targets are
ranks of which groups.  ``GroupManager(directory, shares, find_layout, home, settings,
clock, measures, random)`` with ``async run()`` controls the groups whose shares this
process holds, and recovers stalled groups of other controllers.
``OutageWatch(directory, controlled, home, settings, clock, random)`` with ``async
run()`` polls broken groups until they are open.  `MapChange` describes how a map is
changed without a mixed pass.
"""

from siskinthread.group_maps._change import ChangeResult, MapChange, planned_version
from siskinthread.group_maps._controller import GroupController
from siskinthread.group_maps._demand import Demand
from siskinthread.group_maps._directory import GroupDirectory, RankPlace
from siskinthread.group_maps._group_state import GroupState
from siskinthread.group_maps._layout import (
    ExpertLayout,
    GroupMap,
    PassModel,
    rank_loads,
    relative_pass_time,
)
from siskinthread.group_maps._manager import GroupManager, Shares
from siskinthread.group_maps._measures import MapMeasures
from siskinthread.group_maps._orders import (
    Arm,
    ArmedMap,
    Disarm,
    HeldExperts,
    Hold,
    OrderResult,
    Prepare,
    RankCounts,
    RankReport,
    Release,
)
from siskinthread.group_maps._outage_watch import OutageWatch
from siskinthread.group_maps._pass_clock import PassClock, PassView, ReportedPass
from siskinthread.group_maps._passes import PassEstimate
from siskinthread.group_maps._planner import Plan, plan_changes, search_plans
from siskinthread.group_maps._ranks import GroupRanks
from siskinthread.group_maps._sample_schedule import SampleCause, SampleSchedule
from siskinthread.group_maps._settings import GroupMapSettings
from siskinthread.group_maps._sizing import choose_plan

__all__ = [
    "Arm",
    "ArmedMap",
    "ChangeResult",
    "Demand",
    "Disarm",
    "ExpertLayout",
    "GroupController",
    "GroupDirectory",
    "GroupManager",
    "GroupMap",
    "GroupMapSettings",
    "GroupState",
    "GroupRanks",
    "HeldExperts",
    "Hold",
    "SampleCause",
    "SampleSchedule",
    "MapChange",
    "MapMeasures",
    "OrderResult",
    "OutageWatch",
    "PassClock",
    "PassEstimate",
    "PassModel",
    "PassView",
    "Plan",
    "Prepare",
    "RankCounts",
    "RankPlace",
    "RankReport",
    "Release",
    "Shares",
    "choose_plan",
    "plan_changes",
    "planned_version",
    "rank_loads",
    "relative_pass_time",
    "search_plans",
    "ReportedPass",
]
