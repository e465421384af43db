"""Controls the expert map of one group."""

import curio

from siskinthread.errors import TargetError
from siskinthread.group_maps._change import (
    ChangeResult,
    highest_version,
    MapChange,
)
from siskinthread.group_maps._demand import Demand
from siskinthread.group_maps._layout import GroupMap
from siskinthread.group_maps._planner import plan_change
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("group_maps")

# A pass of an idle or just formed group has not been timed; between the fastest
# engines' 0.03 s and a fully loaded group's 0.1 s.
USUAL_PASS_S = 0.06
LEAST_PASS_S = 0.02
# Two controllers choose the same version once in a million plans made at once.
VERSION_STEP = 1_000_000
# Reports of two ranks may be of different ages.  Waiting for several times their lag
# keeps what one rank had long done from looking undone beside another's newer report.
STUCK_LAGS = 4
LONGEST_PASS_S = 1.0


class GroupController:
    """Looks at a group's demand and changes its map, for as long as it is told to.

    Parameters
    ----------
    group_name : str
        For the log.
    ranks : GroupRanks
        The ranks of the group.
    layout : ExpertLayout
        Shape of the maps.
    settings : GroupMapSettings
        Times and limits.
    clock : siskinthread.timing.Clock
        Clocks.
    measures : MapMeasures
        Metrics.
    random : random.Random
        For versions of maps.
    """

    __slots__ = (
        "_change",
        "_clock",
        "_demand",
        "_epoch",
        "_expected_time",
        "_group_name",
        "_last_look",
        "_layout",
        "_map",
        "_measures",
        "_next_sample",
        "_passes",
        "_random",
        "_ranks",
        "_reports",
        "_settings",
        "_unsettled_since_s",
        "_version_floor",
    )

    def __init__(self, group_name, ranks, layout, settings, clock, measures, random):
        self._random = random
        self._group_name = group_name
        self._ranks = ranks
        self._layout = layout
        self._settings = settings
        self._clock = clock
        self._measures = measures
        self._change = MapChange(ranks, layout, settings, clock)
        self._demand = Demand(settings)
        self._epoch = None
        self._map = None
        self._reports = []
        self._last_look = None
        # Time of a pass, relative to an even one, that the map in force promised.
        self._expected_time = 1.0
        self._unsettled_since_s = None
        self._passes = _PassTimes(clock)
        self._next_sample = 0
        self._version_floor = 0

    async def run(self):
        """Control the group until cancelled, which is harmless at any moment."""
        while True:
            next_glance = Deadline.after(self._clock, self._settings.glance_interval_s)
            try:
                is_due_again = await self._glance()
            except TargetError as error:
                _logger.event(
                    "group can't be looked at",
                    group=self._group_name,
                    reason=str(error),
                )
                await curio.sleep(self._settings.failure_wait_s)
                continue
            if not is_due_again:
                await curio.sleep(next_glance.left_s())

    async def relieve(self):
        """Finish or undo what another controller has left; return once all is settled.

        Nothing is begun, and a group that is not held is only looked at.
        """
        limit = Deadline.after(self._clock, self._settings.relief_limit_s)
        while not limit.passed():
            try:
                if await self._is_undisturbed() or self._epoch is None:
                    return
            except TargetError as error:
                _logger.event(
                    "group can't be relieved",
                    group=self._group_name,
                    reason=str(error),
                )
                return
            await curio.sleep(self._layout.report_lag_s)

    async def _glance(self):
        """Ask for the group's state; return whether to ask again at once."""
        if not await self._is_undisturbed():
            await curio.sleep(self._layout.report_lag_s)
            return True
        if not self._is_look_due():
            return False
        return await self._look()

    def _is_look_due(self):
        """Return whether the demand should be counted now, which is paid for.

        A shift of the demand shows in the time of passes, which costs nothing to see.
        """
        settings = self._settings
        if self._demand.loads_by_set is None or self._last_look is None:
            return True
        since_s = self._clock.monotonic_s() - self._last_look
        if since_s >= settings.look_limit_s:
            return True
        if since_s < settings.glance_interval_s:
            return False
        pass_s = self._passes.pass_s
        if pass_s < settings.quick_pass_s:
            return False
        if since_s >= settings.busy_look_interval_s:
            return True
        expected_s = self._even_pass_s() * self._expected_time
        return pass_s > expected_s * settings.suspicious_ratio

    def _even_pass_s(self):
        running = sum(one.running for one in self._reports) / len(self._reports)
        return self._layout.model.even_pass_s(running)

    async def _look(self):
        """Count the demand and act on it; return whether to ask again at once."""
        self._last_look = self._clock.monotonic_s()
        await self._count()
        if self._demand.loads_by_set is None:
            # The first look tells nothing by itself; a second one soon does.
            await curio.sleep(self._settings.first_interval_s)
            return True
        return await self._plan_and_change()

    async def _is_undisturbed(self):
        """Return whether the group runs, and no other change is under way in it."""
        self._reports = reports = await self._ranks.reports()
        report = reports[0]
        if any(not one.is_open or one.epoch != report.epoch for one in reports):
            self._epoch = None
            return False
        self._passes.note(report)
        if report.epoch != self._epoch or report.map_version > self._map.version:
            await self._read_map()
        is_settled = report.map_version == self._map.version
        if is_settled and report.held_pass is None and report.armed is None:
            self._unsettled_since_s = None
            return True
        now_s = self._clock.monotonic_s()
        limit_s = max(
            self._settings.stuck_limit_s, STUCK_LAGS * self._layout.report_lag_s
        )
        if self._unsettled_since_s is None:
            self._unsettled_since_s = now_s
        elif now_s - self._unsettled_since_s > limit_s:
            self._unsettled_since_s = None
            if await self._change.finish_or_undo(self._map):
                self._epoch = None
        return False

    async def _read_map(self):
        held = await self._ranks.held_experts()
        epochs = {one.epoch for one in held}
        versions = {one.map_version for one in held}
        if len(epochs) != 1 or len(versions) != 1:
            raise TargetError("the ranks are changing their map")
        set_count = self._layout.set_count
        holdings = [[one.experts_by_set[i] for one in held] for i in range(set_count)]
        self._map = GroupMap(versions.pop(), holdings, self._layout.expert_count)
        self._epoch = epochs.pop()
        _logger.event(
            "map learnt",
            group=self._group_name,
            epoch=self._epoch,
            version=self._map.version,
        )

    async def _count(self):
        """Read the counts of a few ranks, always the same ones."""
        settings = self._settings
        counts = {}
        step = max(1, len(self._ranks.clients) // settings.sample_rank_count)
        for rank in range(0, len(self._ranks.clients), step):
            client = self._ranks.clients[rank]
            counts[rank] = await client.counts(settings.order_wait_s)
        self._demand.note(counts)

    async def _plan_and_change(self):
        version = self._next_version()
        plan = plan_change(
            self._map,
            self._demand.loads_by_set,
            [one.slowness for one in self._reports],
            self._layout,
            self._settings,
            version,
        )
        self._measures.relative_pass_time(self._group_name, plan.time_before)
        self._expected_time = plan.time_before
        if not self._is_worth_it(plan):
            return False
        result = await self._change.run(
            self._epoch, self._map, plan.group_map, self._passes.pass_s
        )
        _logger.event(
            "map change",
            group=self._group_name,
            epoch=self._epoch,
            version=version,
            result=result.value,
            time_before=round(plan.time_before, 3),
            time_after=round(plan.time_after, 3),
            pass_s=round(self._passes.pass_s, 3),
            even_pass_s=round(self._even_pass_s(), 3),
        )
        self._measures.change_ended(result)
        # A version may have been heard of by some ranks; it must not be used again.
        self._version_floor = version
        if result is ChangeResult.IN_FORCE:
            self._map = plan.group_map
            self._expected_time = plan.time_after
            if plan.time_after > self._settings.uneven_time:
                # One change could not do it all; the next look follows at once.
                self._last_look = None
            return True
        await self._take_up(result)
        return False

    def _next_version(self):
        """Return a version that no other map of the group has.

        Two controllers that plan at the same time must not give one version to two
        maps: ranks would take either for prepared, and a pass would mix them.
        """
        known = max(self._version_floor, highest_version(self._reports))
        return known + self._random.randint(1, VERSION_STEP)

    def _is_worth_it(self, plan):
        """Return whether a plan is worth its orders and copies.

        While passes are short, streams are on time with an uneven map as well.
        """
        settings = self._settings
        pass_s = self._even_pass_s() * plan.time_before
        if pass_s < settings.short_pass_s:
            return plan.gain >= settings.least_gain_of_short
        return plan.gain >= settings.least_gain

    async def _take_up(self, result):
        """Go on after a change that did not come into force."""
        if result is ChangeResult.LEFT_HELD:
            limit = Deadline.after(self._clock, self._settings.stuck_limit_s)
            while not limit.passed():
                if await self._change.finish_or_undo(self._map):
                    break
        reports = await self._ranks.reports()
        self._version_floor = max(self._version_floor, highest_version(reports))
        # Whichever map it is now, it is read anew.
        self._epoch = None


class _PassTimes:
    """Time of a pass, from the numbers of passes in two reports."""

    __slots__ = ("_clock", "_last_number", "_last_s", "pass_s")

    def __init__(self, clock):
        self._clock = clock
        self._last_number = None
        self._last_s = None
        self.pass_s = USUAL_PASS_S

    def note(self, report):
        now_s = self._clock.monotonic_s()
        if self._last_number is not None and report.pass_number > self._last_number:
            pass_s = (now_s - self._last_s) / (report.pass_number - self._last_number)
            self.pass_s = min(LONGEST_PASS_S, max(LEAST_PASS_S, pass_s))
        self._last_number = report.pass_number
        self._last_s = now_s
