"""Controller of a group, which observes the ranks, plans and changes the map."""

import enum

import curio
import numpy as np

from siskinthread.experts._estimates import Estimates
from siskinthread.experts._expert_map import ExpertMap
from siskinthread.experts._map_change import ChangeResult, MapChange
from siskinthread.experts._planner import Planner, Verdict
from siskinthread.observability import part_logger

MILLISECONDS_PER_MINUTE = 60_000
CLAIM_VERSION_BITS = 20
"""Bits of a map version that number the changes under one claim."""

_logger = part_logger("experts")


class SkipReason(enum.StrEnum):
    """Why a round ended without a plan."""

    MAPS_DIFFER = "maps_differ"
    RANK_SILENT = "rank_silent"
    RANKS_MISSING = "ranks_missing"
    RECOVERY_UNFINISHED = "recovery_unfinished"


class Controller:
    """Rebalance a group while this process owns it.

    Parameters
    ----------
    group : str
        Name of the group.
    ranks : RemoteRanks
        Ranks of the group.
    settings : PlannerSettings
        Settings of the planner and the estimates.
    interval_s : float
        Time between two rounds.
    claim : callable
        ``async claim()`` reads the claims and returns the fencing number under which
        this process owns the group, or None.
    objective : callable
        Returns the group's `Objective` in force.
    record : callable
        Called with (fencing, old version, new version, `ChangeResult`) after each
        change, for the audit trail.
    clock : Clock
        Clock for the quiet windows and the time of the last change.

    Attributes
    ----------
    changed_at_ms : int or None
        When the last change ended, milliseconds since the Unix epoch.
    expert_map : ExpertMap or None
        Map of the ranks at the last observation or change.
    skip_reason : SkipReason or None
        Why the last round had no plan; None if it had one.
    last_plan : Plan or None
        The last plan under the present claim, shown to operators.
    pending_moves : int
        Expert loads of a planned change that is not finished.
    result : ChangeResult or None
        Result of the last change, or of the recovery of an unfinished change.
    skew : float or None
        Step-time skew of the last interval: slowest over mean rank.
    """

    __slots__ = (
        "_claim",
        "_clock",
        "_estimates",
        "_fencing",
        "_group",
        "_interval_s",
        "_objective",
        "_map_change",
        "_planner",
        "_ranks",
        "_record",
        "_is_recovered",
        "_settings",
        "changed_at_ms",
        "expert_map",
        "skip_reason",
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
        self._map_change = None
        self._is_recovered = False
        self.changed_at_ms = None
        self.expert_map = None
        self.skip_reason = None
        self.last_plan = None
        self.pending_moves = 0
        self.result = None
        self.skew = None

    async def run(self):
        """Run a round at each interval until cancelled."""
        while True:
            await self.run_once()
            await curio.sleep(self._interval_s)

    async def run_once(self):
        """Run one round: recover if necessary, then observe, plan and change.

        Returns
        -------
        ChangeResult or None
            Result of a change or recovery; None if this process is not the owner, the
            round was skipped or no change was planned.
        """
        fencing = await self._claim()
        if fencing is None or not self._ranks.names():
            self._fencing = None
            return None
        if fencing != self._fencing:
            self._fencing = fencing
            # One object for each claim continues the sequence of order numbers over
            # several changes; the gates would refuse numbers that start again.
            self._map_change = MapChange(self._ranks, fencing)
            self._is_recovered = False
            self.last_plan = None
            self.pending_moves = 0
        reports = await self._ranks.reports()
        if not self._is_complete(reports):
            self.skip_reason = SkipReason.RANKS_MISSING
            return None
        if not self._is_recovered:
            result = await self._recover(reports)
            if result is not ChangeResult.CHANGED:
                self.skip_reason = SkipReason.RECOVERY_UNFINISHED
                return result
            self._is_recovered = True
        return await self._rebalance(reports)

    def _is_complete(self, reports):
        """Return whether the known ranks are all ranks of the maps.

        A published selector may temporarily match fewer hosts than the group has ranks.
        Ranks that are missing from a change would keep the old map and step together
        with ranks that have the new one.
        """
        counts = {
            report.expert_map.rank_count
            for report in reports.values()
            if report is not None
        }
        if counts <= {len(reports)}:
            return True
        _logger.warning(
            "Skipping group %s: %d ranks are known, its maps have %s.",
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
        result = await self._map_change.recover(maps.get)
        if self.result is ChangeResult.UNFINISHED:
            self._record_result(result)
        _logger.info("Recovery of group %s: %s.", self._group, result)
        return result

    async def _rebalance(self, reports):
        known = [reports[name] for name in self._ranks.names()]
        if any(report is None for report in known):
            _logger.info("Skipping group %s: a rank sent no report.", self._group)
            self.skip_reason = SkipReason.RANK_SILENT
            return None
        versions = {report.expert_map.version for report in known}
        if len(versions) != 1:
            self._is_recovered = False
            self.skip_reason = SkipReason.MAPS_DIFFER
            return None
        expert_map = known[0].expert_map
        self.expert_map = expert_map
        self._observe(expert_map, known)
        plan = await self._plan(expert_map)
        self.last_plan = plan
        self.skip_reason = None
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
        # Successive controllers may plan from the same version.  The fencing number in
        # the upper bits keeps the versions of their maps distinct.
        version = max(old_map.version + 1, self._fencing << CLAIM_VERSION_BITS)
        new_map = ExpertMap(new_map.slots, new_map.expert_count, version)
        result = await self._map_change.change(old_map.version, version, new_map)
        self._is_recovered = result is not ChangeResult.UNFINISHED
        self._record_result(result)
        if result is ChangeResult.CHANGED:
            self.expert_map = new_map
        self._record(self._fencing, old_map.version, version, result)
        _logger.info(
            "Change of the map of group %s to version %d: %s.",
            self._group,
            version,
            result,
        )
        return result

    def _record_result(self, result):
        self.result = result
        self.changed_at_ms = self._clock.unix_ms()
        if result is not ChangeResult.UNFINISHED:
            self.pending_moves = 0
