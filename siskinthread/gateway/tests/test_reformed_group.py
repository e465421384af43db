"""Delay until a re-formed group has an expert map with which streams are in time."""

import functools
import random

import curio

from siskinthread.errors import TargetError
from siskinthread.gateway import GatewaySettings
from siskinthread.gateway._control_home import ControlHome
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway.tests.parts import entry
from siskinthread.group_maps import (
    ArmedMap,
    ExpertLayout,
    GroupController,
    GroupDirectory,
    GroupMapSettings,
    GroupRanks,
    GroupState,
    MapMeasures,
    OutageWatch,
    PassClock,
    PassModel,
    RankPlace,
    RankReport,
)
from siskinthread.group_maps._slow_ranks import SlowRanks
from siskinthread.group_maps.tests.model_group import ModelClient, ModelGroup
from siskinthread.observability import Metrics
from siskinthread.timing import SYSTEM_CLOCK

# Parameters of an engine whose streams permit a pause of 0.12 s and that copies an
# expert in 0.4 s, with fewer ranks.
RANKS, EXPERTS = 6, 48
PASS_LIMIT_S = 0.12
LAG_S = 0.2
MODEL = PassModel(0.85, fixed_s=0.018, request_s=0.0072)
LAYOUT = ExpertLayout(1, EXPERTS, 11, 4, MODEL, 0.4, LAG_S, PASS_LIMIT_S)
SETTINGS = GroupMapSettings()
RUNNING = 4
SNAPSHOT_S = 0.01
ROUND_TRIP_S = 0.015
# Ranks that don't answer while the group is broken.
CUT_OFF = (1, 4)
SETTLED_S = 3.0
BROKEN_S = 1.2


class BreakingGroup(ModelGroup):
    """A group that breaks and re-forms, and whose reports lag."""

    def __init__(self, *parts):
        super().__init__(*parts)
        self.is_open = True
        self.opened_at_s = None
        self.passes = []
        self.snapshots = []
        self.report_count = 0
        # How long after an opening counts are not answered.
        self.uncounted_s = 0.0

    def stop_passes(self):
        """Break the group, so that it runs no more passes."""
        self.is_open = False
        self.pass_clock.stop()

    def reform(self):
        """Open in a new epoch, with the initial map and no prepared map."""
        for rank in self.ranks:
            rank.version = rank.highest = 0
            rank.prepared = rank.armed = None
        self.held_pass = None
        self.epoch += 1
        self.is_open = True
        self.opened_at_s = SYSTEM_CLOCK.monotonic_s()

    def advance(self):
        """Begin a pass unless the group is broken."""
        if self.is_open:
            super().advance()

    def _pass_s(self):
        if not self.is_open:
            return SNAPSHOT_S
        pass_s = super()._pass_s()
        self.passes.append((SYSTEM_CLOCK.monotonic_s(), pass_s))
        return pass_s

    async def keep_snapshots(self):
        """Record the state at intervals, to be reported later."""
        while True:
            ranks = [(one.version, one.prepared, one.armed) for one in self.ranks]
            state = (
                self.epoch,
                self.is_open,
                self.pass_number,
                self.held_pass,
                ranks,
            )
            self.snapshots.append((SYSTEM_CLOCK.monotonic_s(), state))
            await curio.sleep(SNAPSHOT_S)

    def reported(self):
        """Return the lagging state that the ranks report now."""
        due_s = SYSTEM_CLOCK.monotonic_s() - LAG_S
        past = [state for at_s, state in self.snapshots if at_s <= due_s]
        return past[-1] if past else self.snapshots[0][1]


class LaggingClient(ModelClient):
    """A rank of a `BreakingGroup`."""

    def __init__(self, group, number, host):
        super().__init__(group, number)
        self._host = host

    async def _travel(self, wait_s):
        if self._number in CUT_OFF and not self._group.is_open:
            await curio.sleep(wait_s)
            raise TargetError("cut off")
        await curio.sleep(ROUND_TRIP_S)

    async def counts(self, wait_s):
        """Return the expert counts, unless they are not available yet."""
        await self._travel(wait_s)
        group = self._group
        if group.opened_at_s is not None:
            since_s = SYSTEM_CLOCK.monotonic_s() - group.opened_at_s
            if since_s < group.uncounted_s:
                raise TargetError("no counts yet")
        return await super().counts(wait_s)

    async def held_experts(self, wait_s):
        """Return the experts of the map in force."""
        await self._travel(wait_s)
        return await super().held_experts(wait_s)

    async def order(self, order, wait_s):
        """Send an order."""
        await curio.sleep(ROUND_TRIP_S)
        return await super().order(order, wait_s)

    async def report(self, wait_s):
        """Return the lagging report of the rank."""
        group = self._group
        group.report_count += 1
        asked_at_s = SYSTEM_CLOCK.monotonic_s()
        await self._travel(wait_s)
        epoch, is_open, pass_number, held_pass, ranks = group.reported()
        version, prepared, armed = ranks[self._number]
        report = RankReport(
            "g",
            epoch,
            self._number,
            RANKS,
            is_open,
            pass_number,
            version,
            prepared,
            None if armed is None else ArmedMap(*armed),
            held_pass if self._number == 0 else None,
            running=group.running,
        )
        self._host.outages.note_report(report, asked_at_s - LAG_S)
        return report


def demand(shares):
    """Return a demand in which some experts of the first rank have large shares."""
    loads = [(1 - sum(shares)) / (EXPERTS - len(shares))] * EXPERTS
    for number, share in enumerate(shares):
        loads[number * RANKS] = share
    return [loads]


class Host:
    """An entry that controls the group, and watches it while it is broken."""

    def __init__(self, group):
        now = SYSTEM_CLOCK
        self.parts = GatewayParts(
            GatewaySettings(), "a", None, now, Metrics(), random.Random(1)
        )
        self.outages = self.parts.outages
        self.home = ControlHome(
            None, "a", self.parts.progress, None, None, self.outages
        )
        self.clients = [LaggingClient(group, number, self) for number in range(RANKS)]
        places = {f"i-{one}": RankPlace("g", one, RANKS) for one in range(RANKS)}
        self.directory = GroupDirectory(self._client, SETTINGS, now)
        self.directory.learn([entry(one) for one in places], places)
        self.watch = OutageWatch(
            self.directory, lambda: ["g"], self.home, SETTINGS, now, random.Random(1)
        )

    def _client(self, listed):
        return self.clients[int(listed.instance_id[2:])]


def build_controller(host, pass_clock, memory):
    """Return the controller of a group."""
    return GroupController(
        "g",
        GroupRanks(host.clients, SETTINGS),
        LAYOUT,
        pass_clock,
        memory,
        SETTINGS,
        SYSTEM_CLOCK,
        MapMeasures(Metrics()),
        SlowRanks([], list, SETTINGS),
        random.Random(1),
        functools.partial(host.outages.is_broken, "g"),
    )


async def time_to_map(broken_s, shares=(0.4,), uncounted_s=0.0):
    """Measure the time from the opening until passes stay within the limit.

    Returns
    -------
    tuple of float, int
        Time from the opening to the first pass after the last late one, seconds, and
        the number of reports while the group was broken.
    """
    first = [[tuple(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)]]
    pass_clock = PassClock()
    group = BreakingGroup(first, LAYOUT, demand(shares), RUNNING, pass_clock)
    group.uncounted_s = uncounted_s
    host = Host(group)
    controller = build_controller(host, pass_clock, GroupState(SETTINGS))
    tasks = [
        await curio.spawn(host.watch.run),
        await curio.spawn(group.keep_snapshots),
        await curio.spawn(group.run_passes),
        await curio.spawn(controller.run),
    ]
    await curio.sleep(SETTLED_S)
    assert group.passes[-1][1] <= PASS_LIMIT_S
    group.stop_passes()
    reports_before = group.report_count
    host.outages.note_declined("g")
    await curio.sleep(broken_s)
    before = len(group.passes)
    report_count = group.report_count - reports_before
    group.reform()
    await curio.sleep(4.0)
    for task in tasks:
        await task.cancel()
    assert not group.mixed_passes
    after = group.passes[before:]
    assert after[0][1] > PASS_LIMIT_S
    last_late = max(i for i, (_, pass_s) in enumerate(after) if pass_s > PASS_LIMIT_S)
    return after[last_late + 1][0] - group.opened_at_s, report_count


def longest_time_to_map(**changes):
    """Return the longest `time_to_map` over outages of different lengths, seconds."""

    async def main():
        phases = [BROKEN_S + 0.07 * number for number in range(5)]
        tasks = [
            await curio.spawn(functools.partial(time_to_map, one, **changes))
            for one in phases
        ]
        results = [await task.join() for task in tasks]
        return max(took_s for took_s, _ in results)

    return curio.run(main)


def test_map_is_in_force_soon_after_a_group_has_reformed():
    """Guards against streams that are late for seconds after a partition.

    The group re-forms with its initial map, on which a pass takes 0.15 s.  Reports lag
    by 0.2 s, and an expert is copied in 0.4 s.
    """
    assert longest_time_to_map() < 1.5


def test_first_change_after_an_outage_needs_no_counts():
    """Guards against a map that changes only after counts can be compared again."""
    assert longest_time_to_map(uncounted_s=2.0) < 1.5
