"""The controller of one group: watches the ranks, plans, changes the map."""

import enum

import curio
import numpy as np

from siskinthread.experts._estimates import Estimates
from siskinthread.experts._expert_map import ExpertMap
from siskinthread.experts._map_change import ChangeResult, MapChange
from siskinthread.experts._planner import Planner, Verdict
from siskinthread.observability import part_logger

MILLISECONDS_PER_MINUTE = 60_000
CLAIM_BITS = 20
"""Versions that one claim can number."""

_logger = part_logger("experts")


class Hindrance(enum.StrEnum):
    """Why a round ended before it had a plan."""

    MAPS_DIFFER = "maps_differ"
    RANK_SILENT = "rank_silent"
    RANKS_MISSING = "ranks_missing"
    RECOVERY_UNFINISHED = "recovery_unfinished"


class Controller:
    """Rebalances one group while this process owns it.

    Parameters
    ----------
    group : str
        Name of the group.
    ranks : RemoteRanks
        The group's ranks.
    settings : PlannerSettings
        The planner's settings.
    interval_s : float
        Time between plans.
    claim : callable
        ``async claim()`` returns the fencing number under which this process owns the
        group, read anew, or None.
    objective : callable
        Returns the group's `Objective` in force.
    record : callable
        Called with (fencing, old version, new version, `ChangeResult`) after each
        change, for the audit trail.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    changed_at_ms : int or None
        Wall clock of the end of the last change.
    expert_map : ExpertMap or None
        The map that the ranks had at the last look.
    hindrance : Hindrance or None
        Why the last round had no plan; None if it had one.
    last_plan : Plan or None
        The last plan under the present claim, for the operators' view.
    pending_moves : int
        Experts to load of a planned change that is not finished.
    result : ChangeResult or None
        Result of the last change, or of the recovery of one that was unfinished.
    skew : float or None
        Step-time skew of the last interval.
    """

    __slots__ = (
        "_claim",
        "_clock",
        "_estimates",
        "_fencing",
        "_group",
        "_interval_s",
        "_objective",
        "_orders",
        "_planner",
        "_ranks",
        "_record",
        "_recovered",
        "_settings",
        "changed_at_ms",
        "expert_map",
        "hindrance",
        "last_plan",
        "pending_moves",
        "result",
        "skew",
    )

    def __init__(
        self, group, ranks, settings, interval_s, claim, objective, record, clock
    ):
        self._group = group
        self._ranks = ranks
        self._settings = settings
        self._interval_s = interval_s
        self._claim = claim
        self._objective = objective
        self._record = record
        self._clock = clock
        self._planner = Planner(settings, objective())
        self._estimates = None
        self._fencing = None
        self._orders = None
        self._recovered = False
        self.changed_at_ms = None
        self.expert_map = None
        self.hindrance = None
        self.last_plan = None
        self.pending_moves = 0
        self.result = None
        self.skew = None

    async def run(self):
        """Plan at each interval; runs until cancelled."""
        while True:
            await self.run_once()
            await curio.sleep(self._interval_s)

    async def run_once(self):
        """Make one round: recover if need be, then observe, plan and change.

        Returns
        -------
        ChangeResult or None
            Result of a change or recovery; None if this process is not the owner or
            nothing had to be changed.
        """
        fencing = await self._claim()
        if fencing is None or not self._ranks.names():
            self._fencing = None
            return None
        if fencing != self._fencing:
            self._fencing = fencing
            # One object a claim: its orders are numbered on from one change to the
            # next, else the gates would refuse them as old.
            self._orders = MapChange(self._ranks, fencing)
            self._recovered = False
            self.last_plan = None
            self.pending_moves = 0
        reports = await self._ranks.reports()
        if not self._complete(reports):
            self.hindrance = Hindrance.RANKS_MISSING
            return None
        if not self._recovered:
            result = await self._recover(reports)
            if result is not ChangeResult.CHANGED:
                self.hindrance = Hindrance.RECOVERY_UNFINISHED
                return result
            self._recovered = True
        return await self._rebalance(reports)

    def _complete(self, reports):
        """Return whether the ranks that are known are all that the maps have.

        A published selector may for a while match fewer hosts than the group has
        ranks.  Ranks that are left out of a change would keep the old map and step
        with those that have the new one.
        """
        counts = {
            report.expert_map.rank_count
            for report in reports.values()
            if report is not None
        }
        if counts <= {len(reports)}:
            return True
        _logger.warning(
            "Group %s is left alone: %d ranks are known, its maps have %s.",
            self._group,
            len(reports),
            sorted(counts),
        )
        return False

    async def _recover(self, reports):
        maps = {
            report.expert_map.version: report.expert_map
            for report in reports.values()
            if report is not None
        }
        result = await self._orders.recover(maps.get)
        if self.result is ChangeResult.UNFINISHED:
            self._note(result)
        _logger.info("Recovery of group %s: %s.", self._group, result)
        return result

    async def _rebalance(self, reports):
        known = [reports[name] for name in self._ranks.names()]
        if any(report is None for report in known):
            _logger.info("Group %s is not planned: a rank is silent.", self._group)
            self.hindrance = Hindrance.RANK_SILENT
            return None
        versions = {report.expert_map.version for report in known}
        if len(versions) != 1:
            self._recovered = False
            self.hindrance = Hindrance.MAPS_DIFFER
            return None
        expert_map = known[0].expert_map
        self.expert_map = expert_map
        self._observe(expert_map, known)
        plan = await self._plan(expert_map)
        self.last_plan = plan
        self.hindrance = None
        if plan.verdict is not Verdict.MOVE:
            return None
        self.pending_moves = plan.moves
        return await self._change(expert_map, plan.expert_map)

    def _observe(self, expert_map, reports):
        tokens = np.nansum([report.expert_tokens for report in reports], axis=0)
        unknown = np.isnan([report.expert_tokens for report in reports]).all(axis=0)
        tokens[unknown] = np.nan
        times = np.array([report.step_time_ms for report in reports])
        if not np.isnan(times).all():
            self.skew = float(np.nanmax(times) / np.nanmean(times))
        if self._estimates is None:
            self._estimates = Estimates(len(tokens), len(reports), self._settings)
        self._estimates.observe(expert_map, tokens, times)

    async def _plan(self, expert_map):
        self._planner.set_objective(self._objective())
        minute = self._clock.unix_ms() // MILLISECONDS_PER_MINUTE
        slices = self._planner.plan_in_slices(expert_map, self._estimates, minute)
        while True:
            try:
                next(slices)
            except StopIteration as finished:
                return finished.value
            await curio.sleep(0)

    async def _change(self, old_map, new_map):
        # Two controllers in a row may plan from the same version; numbered by their
        # claims, their maps never share a version.
        version = max(old_map.version + 1, self._fencing << CLAIM_BITS)
        new_map = ExpertMap(new_map.slots, new_map.expert_count, version)
        result = await self._orders.change(old_map.version, version, new_map)
        self._recovered = result is not ChangeResult.UNFINISHED
        self._note(result)
        if result is ChangeResult.CHANGED:
            self.expert_map = new_map
        self._record(self._fencing, old_map.version, version, result)
        _logger.info("Map of group %s to version %d: %s.", self._group, version, result)
        return result

    def _note(self, result):
        self.result = result
        self.changed_at_ms = self._clock.unix_ms()
        if result is not ChangeResult.UNFINISHED:
            self.pending_moves = 0
