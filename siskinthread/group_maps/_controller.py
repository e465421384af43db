"""Control of the expert map of one group."""

import curio

from siskinthread.errors import TargetError
from siskinthread.group_maps._change import (
    ChangeResult,
    highest_version,
    HOLDING_RANK,
    MapChange,
    planned_version,
)
from siskinthread.group_maps._layout import GroupMap
from siskinthread.group_maps._passes import PassEstimate
from siskinthread.group_maps._planner import search_plans
from siskinthread.group_maps._sample_schedule import SampleCause, SampleSchedule
from siskinthread.group_maps._sizing import choose_plan, is_enough, is_settled
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("group_maps")

# Range of the random step between versions. Two controllers that plan at the same time
# choose the same version with a probability of 1 in 1,000,000.
MAX_VERSION_STEP = 1_000_000
# Number of report lags to wait before a group counts as stuck. Reports of two ranks may
# differ in age; with a shorter wait, a step that a rank has done long ago looks undone
# beside a newer report of another rank.
STUCK_REPORT_LAGS = 4
# Time for which planning may block the event loop; a tenth of the shortest pass.
PLANNING_SLICE_S = 0.005


class GroupController:
    """Samples the demand of a group and changes its map until cancelled.

    Parameters
    ----------
    group_name : str
        Name of the group in log lines.
    ranks : GroupRanks
        The ranks of the group.
    layout : ExpertLayout
        Shape of the maps.
    pass_clock : PassClock or PassView
        Pass times from stream events.
    group_state : GroupState
        State from earlier controllers of the group.
    settings : GroupMapSettings
        Intervals and limits.
    clock : siskinthread.timing.Clock
        Clock for all intervals.
    measures : MapMeasures
        Metrics.
    slow_ranks : SlowRanks
        Receives the reports of ranks.
    random : random.Random
        Source of the random steps of map versions.
    is_broken : callable, optional
        Returns whether the group is known to be broken; the controller only waits then.
    """

    __slots__ = (
        "_change",
        "_clock",
        "_demand",
        "_epoch",
        "_group_name",
        "_has_reformed",
        "_is_broken",
        "_layout",
        "_sample_schedule",
        "_map",
        "_measures",
        "_group_state",
        "_next_poll",
        "_own_change_reported",
        "_pass_clock",
        "_passes",
        "_random",
        "_ranks",
        "_reports",
        "_settings",
        "_slow_ranks",
        "_starts_unix_ms",
        "_unsettled_since_s",
    )

    def __init__(
        self,
        group_name,
        ranks,
        layout,
        pass_clock,
        group_state,
        settings,
        clock,
        measures,
        slow_ranks,
        random,
        is_broken=None,
    ):
        self._is_broken = is_broken or _never
        # Whether the group has re-formed and its map was not changed since.
        self._has_reformed = False
        self._slow_ranks = slow_ranks
        self._random = random
        self._group_name = group_name
        self._ranks = ranks
        self._layout = layout
        self._pass_clock = pass_clock
        self._settings = settings
        self._clock = clock
        self._measures = measures
        self._change = MapChange(ranks, layout, settings, clock)
        self._group_state = group_state
        self._demand = group_state.demand
        self._sample_schedule = SampleSchedule(
            pass_clock, layout.pass_limit_s, settings, clock
        )
        self._epoch = None
        self._map = None
        self._reports = []
        self._next_poll = Deadline.after(clock, 0.0)
        # When reports will show this controller's own last change.
        self._own_change_reported = Deadline.after(clock, 0.0)
        self._unsettled_since_s = None
        # Start times of the ranks, as far as they were reported.
        self._starts_unix_ms = {}
        self._passes = PassEstimate(clock)

    async def run(self):
        """Control the group until cancelled, which is safe at any moment."""
        while True:
            if self._is_broken():
                # An `OutageWatch` polls the group often, so its opening is noticed at
                # once.
                self._epoch = None
                await curio.sleep(self._settings.watch_interval_s)
                continue
            try:
                await self._step()
            except TargetError as error:
                _logger.event(
                    "group can't be looked at",
                    group=self._group_name,
                    reason=str(error),
                )
                await curio.sleep(self._settings.failure_wait_s)

    async def _step(self):
        """Do what is due, or sleep for a short interval."""
        if self._epoch is None or self._next_poll.passed():
            interval_s = self._settings.glance_interval_s
            self._next_poll = Deadline.after(self._clock, interval_s)
            if not await self._is_ready_for_change(await self._poll_reports()):
                self._next_poll = Deadline.after(self._clock, 0.0)
                await curio.sleep(self._layout.report_lag_s)
                return
        cause = self._sample_schedule.cause()
        if self._has_reformed:
            await self._plan_from_known_demand()
        elif cause is None:
            await curio.sleep(self._settings.watch_interval_s)
        else:
            await self._sample_and_plan(cause)

    async def recover(self):
        """Finish or undo a change that another controller has left unfinished.

        Return once the group is settled, or after `relief_limit_s`.  No new change is
        started, and a group that is not held is only polled.
        """
        limit = Deadline.after(self._clock, self._settings.relief_limit_s)
        while not limit.passed():
            try:
                reports = await self._poll_reports()
                if await self._is_ready_for_change(reports) or self._epoch is None:
                    return
                await self._finish_if_stalled(reports[0])
            except TargetError as error:
                _logger.event(
                    "stalled group can't be recovered",
                    group=self._group_name,
                    reason=str(error),
                )
                return
            await curio.sleep(self._layout.report_lag_s)

    async def _finish_if_stalled(self, report):
        """Finish the change for which a group is stalled at a held pass.

        A controller that is stopped before its release leaves all ranks armed.  All
        streams of the group wait, and callers disconnect after 2 s of silence, so this
        does not wait for `GroupMapSettings.stuck_limit_s`, after which a change that
        can't be finished is undone.

        Parameters
        ----------
        report : RankReport
            Report of the holding rank.
        """
        if report.held_pass != report.pass_number + 1:
            return
        if await self._change.finish():
            _logger.event(
                "change that was left is finished",
                group=self._group_name,
                epoch=report.epoch,
                held_pass=report.held_pass,
            )

    async def _plan_from_known_demand(self):
        """Change the first map of a re-formed group by the last known demand.

        Requests continue with the same demand, and the counts of ranks restart.
        Waiting for new counts would leave all streams late for one sample and its
        passes.
        """
        self._sample_schedule.note_sample()
        counting = await curio.spawn(self._count_baseline, daemon=True)
        try:
            self._reports = await self._ranks.reports()
            self._slow_ranks.note(self._reports)
            if await self._is_ready_for_change(self._reports):
                self._has_reformed = False
                await self._plan_and_change(SampleCause.REFORMED)
        finally:
            await counting.cancel()

    async def _count_baseline(self):
        """Read the baseline for the next counts."""
        try:
            await self._count()
        except TargetError as error:
            _logger.event(
                "demand can't be sampled", group=self._group_name, reason=str(error)
            )

    async def _sample_and_plan(self, cause):
        """Sample the demand, and change the map if that is worth it."""
        self._sample_schedule.note_sample()
        if cause is SampleCause.JUMP:
            # A slow rank makes passes longer too, and its report is available before
            # the two counts.
            self._slow_ranks.note(await self._ranks.reports())
        await self._count()
        if cause is SampleCause.JUMP or self._demand.loads_by_set is None:
            # The counts so far are mostly from before the shift of the demand.
            self._demand.restart()
            await curio.sleep(self._count_wait_s())
            await self._count()
        if self._demand.loads_by_set is None:
            return
        # The plan depends on the running requests and the slowness of each rank.
        self._reports = await self._ranks.reports()
        self._slow_ranks.note(self._reports)
        if await self._is_ready_for_change(self._reports):
            await self._plan_and_change(cause)

    async def _poll_reports(self):
        """Return the reports of the holding rank, a random other rank and slow ranks.

        They show whether the group runs, whether a change was left unfinished in it,
        and whether slow ranks are still slow.  Querying all ranks twice a second took
        two thirds of all queries to 72 ranks.
        """
        others = range(HOLDING_RANK + 1, len(self._ranks.clients))
        queried = {self._random.choice(others)} if others else set()
        queried.update(self._slow_ranks.numbers)
        reports = await self._ranks.reports(
            [HOLDING_RANK, *sorted(queried - {HOLDING_RANK})]
        )
        self._slow_ranks.note(reports)
        return reports

    def _count_wait_s(self):
        """Return the time between two counts that show the demand, seconds."""
        settings = self._settings
        pass_s = self._pass_clock.current_s(self._clock.monotonic_s())
        if pass_s is None:
            return settings.idle_count_s
        return min(settings.idle_count_s, pass_s * settings.count_passes)

    async def _is_ready_for_change(self, reports):
        """Return whether the group runs and no other change is under way in it.

        Parameters
        ----------
        reports : list of RankReport
            Reports of some ranks; the first is that of the holding rank.
        """
        report = reports[0]
        if any(not other.is_open or other.epoch != report.epoch for other in reports):
            self._epoch = None
            return False
        self._passes.note(report.pass_number, self._layout.report_lag_s)
        self._note_starts(reports)
        if report.epoch != self._epoch or (
            report.map_version > self._map.version
            and self._own_change_reported.passed()
        ):
            await self._read_map()
        is_settled = report.map_version == self._map.version
        if is_settled and report.held_pass is None and report.armed is None:
            self._unsettled_since_s = None
            return True
        if not self._own_change_reported.passed():
            # The reports are older than the change, which is known to be in force.
            return True
        now_s = self._clock.monotonic_s()
        limit_s = max(
            self._settings.stuck_limit_s, STUCK_REPORT_LAGS * self._layout.report_lag_s
        )
        if self._unsettled_since_s is None:
            self._unsettled_since_s = now_s
        elif now_s - self._unsettled_since_s > limit_s:
            self._unsettled_since_s = None
            if await self._change.finish_or_undo(self._map):
                self._epoch = None
        return False

    def _note_starts(self, reports):
        """Reset the epoch if a rank has restarted, since its number may be the same."""
        starts_unix_ms = {report.rank: report.started_unix_ms for report in reports}
        for rank, start_unix_ms in starts_unix_ms.items():
            if self._starts_unix_ms.get(rank, start_unix_ms) != start_unix_ms:
                self._epoch = None
        self._starts_unix_ms |= starts_unix_ms

    async def _read_map(self):
        held = await self._ranks.held_experts()
        epochs = {experts.epoch for experts in held}
        versions = {experts.map_version for experts in held}
        if len(epochs) != 1 or len(versions) != 1:
            raise TargetError("ranks report different epochs or map versions")
        set_count = self._layout.set_count
        holdings = [
            [experts.experts_by_set[i] for experts in held] for i in range(set_count)
        ]
        self._map = GroupMap(versions.pop(), holdings, self._layout.expert_count)
        self._epoch = epochs.pop()
        if self._group_state.note_epoch(self._epoch):
            self._passes.restart()
            self._has_reformed = self._demand.loads_by_set is not None
        # The map may be the first one again, so the known demand has to be applied
        # again.
        self._sample_schedule.forget()
        _logger.event(
            "map read from the ranks",
            group=self._group_name,
            epoch=self._epoch,
            version=self._map.version,
        )

    async def _count(self):
        """Read the counts of a few ranks, always the same ranks."""
        settings = self._settings
        counts = {}
        step = max(1, len(self._ranks.clients) // settings.sample_rank_count)
        for rank in range(0, len(self._ranks.clients), step):
            counts[rank] = await self._ranks.counts(rank)
            self._passes.note(counts[rank].pass_number, 0.0)
        self._demand.note(counts)

    async def _plan_and_change(self, cause):
        version = self._next_version()
        even_pass_s = self._even_pass_s()
        plans = await self._search_plans(version, even_pass_s)
        if not plans:
            return
        self._measures.relative_pass_time(self._group_name, plans[0].time_before)
        plan = choose_plan(plans, even_pass_s, self._layout, self._settings)
        if plan is None:
            return
        if cause is SampleCause.REFORMED:
            # Too few passes were reported since the group has re-formed.
            self._passes.expect_at_least(even_pass_s * plan.time_before)
        began_s = self._clock.monotonic_s()
        earlier_attempts = self._ranks.attempts.copy()
        result = await self._run_to_completion(plan.group_map)
        _logger.event(
            "map change",
            group=self._group_name,
            epoch=self._epoch,
            version=version,
            cause=cause.value,
            result=result.value,
            copies=plan.copies,
            took_s=round(self._clock.monotonic_s() - began_s, 3),
            orders=self._ranks.attempts.sent - earlier_attempts.sent,
            repeated_orders=self._ranks.attempts.retries - earlier_attempts.retries,
            time_before=round(plan.time_before, 3),
            time_after=round(plan.time_after, 3),
            pass_s=round(self._passes.pass_s, 3),
            even_pass_s=round(even_pass_s, 3),
        )
        self._measures.change_ended(result)
        # Some ranks may have received the version; it must not be used again.
        self._group_state.version_floor = version
        if result is not ChangeResult.IN_FORCE:
            # Some rank may have received a higher version from another controller.
            self._group_state.version_floor += MAX_VERSION_STEP
            await self._recover_from(result)
            await curio.sleep(self._settings.failure_wait_s)
            return
        self._map = plan.group_map
        reported_s = self._layout.report_lag_s + 2 * self._passes.pass_s
        self._own_change_reported = Deadline.after(self._clock, reported_s)
        if not is_settled(even_pass_s * plan.time_after, self._layout, self._settings):
            # One change was not enough. The next sample follows once its pass has
            # started, since ranks refuse to prepare while they are armed.
            await curio.sleep(self._passes.pass_s)
            self._sample_schedule.forget()

    async def _run_to_completion(self, new_map):
        """Run a change to completion, even if this controller is cancelled meanwhile.

        An abandoned change holds its group until another controller finds it, which
        took 1.8 s when shares moved to another entry.  The change runs in a task of its
        own, since curio ignores timeouts where cancellation is disabled: a change whose
        order was not answered would never end.
        """
        change = await curio.spawn(
            self._change.run,
            self._epoch,
            self._map,
            new_map,
            self._passes,
            daemon=True,
        )
        async with curio.disable_cancellation():
            return await change.join()

    async def _search_plans(self, version, even_pass_s):
        """Return the plans to choose from, yielding to other tasks meanwhile.

        Planning for 96 ranks takes some 0.1 s of CPU time on a whole core, and entry
        hosts have half a core.  Without yielding, events of streams would be late by
        that time.
        """
        plans = []
        pause = Deadline.after(self._clock, PLANNING_SLICE_S)
        search = search_plans(
            self._map,
            self._demand.loads_by_set,
            [report.slowness for report in self._reports],
            self._layout,
            self._settings,
            version,
            self._non_expert_work(even_pass_s),
        )
        for plan in search:
            if plan is not None:
                plans.append(plan)
                if is_enough(plan, even_pass_s, self._layout, self._settings):
                    break
            if pause.passed():
                await curio.sleep(0)
                pause = Deadline.after(self._clock, PLANNING_SLICE_S)
        return plans

    def _non_expert_work(self, even_pass_s):
        """Return the non-expert work of each rank relative to the mean.

        A slow rank without requests delays the others by less than its slowness
        suggests. If a full share of the requests is assumed, predicted passes are too
        long with any map, and changes follow each other three times a second.
        """
        slow = self._slow_ranks.numbers
        return [
            self._layout.model.even_pass_s(report.running) / even_pass_s
            if report.rank in slow
            else 1.0
            for report in self._reports
        ]

    def _even_pass_s(self):
        running = sum(report.running for report in self._reports) / len(self._reports)
        return self._layout.model.even_pass_s(running)

    def _next_version(self):
        """Return a version that no other map of the group has.

        Two controllers that plan at the same time must not give the same version to two
        maps: ranks would accept either as prepared, and a pass would mix them.
        """
        known = max(self._group_state.version_floor, highest_version(self._reports))
        return planned_version(known, self._random.randint(1, MAX_VERSION_STEP))

    async def _recover_from(self, result):
        """Recover from a change that did not come into force."""
        if result is ChangeResult.LEFT_HELD:
            limit = Deadline.after(self._clock, self._settings.stuck_limit_s)
            while not limit.passed():
                if await self._change.finish_or_undo(self._map):
                    break
        reports = await self._ranks.reports()
        self._group_state.version_floor = max(
            self._group_state.version_floor, highest_version(reports)
        )
        # Either map may be in force now, so it is read again.
        self._epoch = None


def _never():
    return False
