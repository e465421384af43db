"""Tests of which groups a process controls, and of its controllers."""

import random

import curio

from siskinthread.errors import PlatformUnavailableError, TargetError
from siskinthread.group_maps import (
    ExpertLayout,
    GroupController,
    GroupDirectory,
    GroupManager,
    GroupMapSettings,
    GroupRanks,
    GroupState,
    MapMeasures,
    PassClock,
    PassModel,
    Prepare,
    RankCounts,
    Shares,
)
from siskinthread.group_maps._slow_ranks import SlowRanks
from siskinthread.group_maps.tests.fake_group import FakeClient, FakeGroup
from siskinthread.observability import Metrics
from siskinthread.timing import SYSTEM_CLOCK

RANKS = 2
HOLDINGS = [[(0, 1), (2, 3)]]
# Passes are always long, so that each gain is worth a change.
MODEL = PassModel(0.85, fixed_s=1.0, request_s=0.0)
LAYOUT = ExpertLayout(
    1, 4, 3, 1, MODEL, copy_s=0.0, report_lag_s=0.01, pass_limit_s=0.12
)
SETTINGS = GroupMapSettings(
    glance_interval_s=0.01,
    idle_count_s=0.05,
    renew_interval_s=0.02,
    reconcile_interval_s=0.01,
    share_lapse_s=0.1,
    failure_wait_s=0.02,
    stuck_limit_s=0.1,
    order_tries=3,
    lost_rank_memory_s=0.05,
)
HANG_S = 5.0


class Entry:
    """An entry of the target list."""

    def __init__(self, instance_id, port=None):
        self.instance_id = instance_id
        self.host = "127.0.0.1"
        self.failure_domain = "a"
        self.port = int(instance_id[-1]) if port is None else port


class CountingClient(FakeClient):
    """A rank whose requests mostly select the first expert."""

    def __init__(self, group, number, holdings):
        super().__init__(group, number, holdings)
        self.is_silent = False
        self.breaks = False
        self._tokens = 0

    async def report(self, wait_s):
        """Return the report, unless silent."""
        if self.is_silent:
            raise TargetError("silent")
        if self.breaks:
            raise ZeroDivisionError
        self._group.advance()
        return await super().report(wait_s)

    async def counts(self, wait_s):
        """Return the counts after one more second of requests."""
        self._tokens += 100
        one_set = [3 * self._tokens, 0, self._tokens, 0]
        return RankCounts(self._group.epoch, self._group.pass_number, [one_set])


class FakeHome:
    """An entry that controls groups and sees no passes of them."""

    def __init__(self, stalled=()):
        self._stalled = stalled
        self.is_candidate = True
        self.is_away = False
        self.drains = False
        self.home = {"a"}

    def is_control_candidate(self):
        """Return whether this process should control groups."""
        return self.is_candidate

    def is_store_unreachable(self):
        """Return whether no entry reaches the store."""
        return self.is_away

    def is_draining(self):
        """Return whether the shares should be handed over."""
        return self.drains

    def is_heir_of(self, name):
        """Return whether to stand in for a controller that has stopped sending."""
        return False

    def note_controlled(self, names):
        """Ignore the groups."""

    def is_home(self, name, rank_domains):
        """Return whether a group is controlled from this failure domain."""
        return self.home == set(rank_domains)

    def should_release(self, name):
        """Return whether a group is stalled."""
        return name in self._stalled

    def is_broken(self, name):
        """Return whether a group is broken."""
        return False

    def note_slow(self, name, target_ids):
        """Ignore slow targets."""

    def pass_view(self, name):
        """Return a clock that has seen no pass."""
        return PassClock()


class FakeShares:
    """Assigns all shares, until it is set to fail."""

    def __init__(self):
        self.is_lost = False
        self.numbers = {0, 1, 2, 3}
        self.left_count = 0
        self.renewed_count = 0
        self.leave_s = 0.0

    async def leave(self):
        """Count a hand-over of the shares."""
        await curio.sleep(self.leave_s)
        self.left_count += 1

    async def renew(self):
        """Return the shares."""
        self.renewed_count += 1
        if self.is_lost:
            raise PlatformUnavailableError("lost")
        return Shares(self.numbers, 4)


def build(group, stalled=(), settings=SETTINGS):
    """Return a `GroupManager` for one group, with its directory, shares and clients."""
    clients = {
        f"i-{number}": CountingClient(group, number, HOLDINGS)
        for number in range(RANKS)
    }
    directory = GroupDirectory(
        lambda entry: clients[entry.instance_id], settings, SYSTEM_CLOCK
    )
    shares = FakeShares()
    manager = GroupManager(
        directory,
        shares,
        lambda instance_id: LAYOUT,
        FakeHome(stalled),
        settings,
        SYSTEM_CLOCK,
        MapMeasures(Metrics()),
        random.Random(1),
    )
    return manager, directory, shares, clients


async def until(condition):
    """Wait until a condition holds."""
    async with curio.timeout_after(HANG_S):
        while not condition():
            await curio.sleep(0.005)


def test_refused_versions_are_left_behind():
    """Guards against eight refused changes in a row after a rank was replaced.

    Another controller has sent ranks a version that no report shows yet, and that is
    some steps higher than the next version chosen here.
    """

    async def main():
        group = FakeGroup(RANKS)
        for rank in group.ranks:
            rank.highest = 2_500_000
        manager, directory, _, clients = build(group)
        await directory.refresh([Entry(one) for one in clients])
        task = await curio.spawn(manager.run)
        await until(lambda: all(rank.version > 0 for rank in group.ranks))
        await task.cancel()
        prepared = [order for _, order in group.orders if isinstance(order, Prepare)]
        return len({order.group_map.version for order in prepared})

    assert curio.run(main) <= 4


def test_uneven_group_gets_a_better_map():
    """Skewed demand is detected, and the hot expert gets a second replica."""

    async def main():
        group = FakeGroup(RANKS)
        manager, directory, _, clients = build(group)
        await directory.refresh([Entry(one) for one in clients])
        task = await curio.spawn(manager.run)
        await until(lambda: all(rank.version > 0 for rank in group.ranks))
        await task.cancel()
        return group

    group = curio.run(main)
    assert not group.mixed_passes
    assert len({rank.version for rank in group.ranks}) == 1


def test_shares_are_taken_from_the_first_group_on():
    """Guards against renewals without any groups, and against late ones."""

    async def main():
        group = FakeGroup(RANKS)
        manager, directory, shares, clients = build(group)
        task = await curio.spawn(manager.run)
        await curio.sleep(5 * SETTINGS.renew_interval_s)
        assert shares.renewed_count == 0
        await directory.refresh([Entry(one) for one in clients])
        await until(lambda: manager._controllers)
        # The temporary absence of a rank does not end the renewals.
        await directory.refresh([])
        await curio.sleep(2 * SETTINGS.lost_rank_memory_s)
        await directory.refresh([])
        assert not directory.complete_groups()
        before = shares.renewed_count
        await until(lambda: shares.renewed_count > before + 1)
        await task.cancel()

    curio.run(main)


def test_lapsed_shares_end_the_control():
    """Guards against two processes that control one group for long.

    The service that assigns shares is unreachable for longer than they last.
    """

    async def main():
        manager, directory, shares, clients = build(FakeGroup(RANKS))
        await directory.refresh([Entry(one) for one in clients])
        task = await curio.spawn(manager.run)
        await until(lambda: manager._controllers)
        shares.is_lost = True
        await until(lambda: not manager._controllers)
        shares.is_lost = False
        await until(lambda: manager._controllers)
        await task.cancel()
        return manager._controllers

    assert curio.run(main) == {}


def test_control_that_broke_off_is_taken_up_again():
    """Guards against maps that never change again without any other sign.

    An unexpected response of a rank makes the task of the controller fail, and a new
    controller must be started.
    """

    async def main():
        group = FakeGroup(RANKS)
        manager, directory, _, clients = build(group)
        await directory.refresh([Entry(one) for one in clients])
        clients["i-0"].breaks = True
        task = await curio.spawn(manager.run)
        await curio.sleep(0.1)
        clients["i-0"].breaks = False
        await until(lambda: all(rank.version > 0 for rank in group.ranks))
        await task.cancel()

    curio.run(main)


def test_each_group_falls_to_one_process():
    """If all shares are assigned, each group has exactly one controller."""
    holders = [Shares({0, 1}, 8), Shares({2, 3, 4}, 8), Shares({5, 6, 7}, 8)]
    for number in range(200):
        name = f"g{number}"
        assert sum(one.contains(name) for one in holders) == 1


def test_controller_goes_on_after_ranks_that_did_not_answer():
    """Guards against maps that never change again after a network cut."""

    async def main():
        group = FakeGroup(RANKS)
        clients = [CountingClient(group, number, HOLDINGS) for number in range(RANKS)]
        controller = GroupController(
            "g",
            GroupRanks(clients, SETTINGS),
            LAYOUT,
            PassClock(),
            GroupState(SETTINGS),
            SETTINGS,
            SYSTEM_CLOCK,
            MapMeasures(Metrics()),
            SlowRanks([], list, SETTINGS),
            random.Random(1),
        )
        clients[1].is_silent = True
        task = await curio.spawn(controller.run)
        await curio.sleep(0.05)
        before = [rank.version for rank in group.ranks]
        clients[1].is_silent = False
        await until(lambda: all(rank.version > 0 for rank in group.ranks))
        await task.cancel()
        return before

    assert curio.run(main) == [0, 0]


def test_group_that_another_controller_left_held_is_relieved():
    """Guards against a group stalled for 4 s, where callers left 40 streams.

    The host that controls the group is stopped in the middle of a change, and its share
    does not move before it expires.
    """

    async def main():
        group = FakeGroup(RANKS)
        group.held_pass = group.pass_number + 1
        manager, directory, shares, clients = build(group, stalled={"g"})
        shares.numbers = set()
        await directory.refresh([Entry(one) for one in clients])
        task = await curio.spawn(manager.run)
        await until(lambda: group.held_pass is None)
        await curio.sleep(0.1)
        await task.cancel()
        return [rank.version for rank in group.ranks], group.mixed_passes

    # The group is released, and no change is started: another process controls it.
    assert curio.run(main) == ([0] * RANKS, [])


def test_change_whose_controller_stopped_before_the_release_is_finished_at_once():
    """Guards against a stall of 1.7 s, 1 s of it waiting until an undo is allowed."""

    async def main():
        group = FakeGroup(RANKS)
        group.held_pass = group.pass_number + 1
        for rank in group.ranks:
            rank.prepared = rank.highest = 2
            rank.armed = (2, group.held_pass)
        settings = SETTINGS.with_values(stuck_limit_s=HANG_S)
        manager, directory, shares, clients = build(group, {"g"}, settings)
        shares.numbers = set()
        await directory.refresh([Entry(one) for one in clients])
        task = await curio.spawn(manager.run)
        await until(lambda: group.held_pass is None)
        await until(lambda: group.ranks[0].version == 2)
        await task.cancel()
        return [rank.version for rank in group.ranks], group.mixed_passes

    began_s = SYSTEM_CLOCK.monotonic_s()
    assert curio.run(main) == ([2] * RANKS, [])
    assert SYSTEM_CLOCK.monotonic_s() - began_s < HANG_S


def test_group_that_moves_is_left_to_its_controller():
    """A held group that no stream shows as stalled is in the middle of a change."""

    async def main():
        group = FakeGroup(RANKS)
        group.held_pass = group.pass_number + 5
        manager, directory, shares, clients = build(group)
        shares.numbers = set()
        await directory.refresh([Entry(one) for one in clients])
        task = await curio.spawn(manager.run)
        await curio.sleep(0.3)
        await task.cancel()
        return group.held_pass

    assert curio.run(main) is not None


class StartingClient(CountingClient):
    """A rank that reports its start time and counts the reads of its map."""

    def __init__(self, group, number, holdings):
        super().__init__(group, number, holdings)
        self.started_unix_ms = 1_000
        self.reads = 0
        self.failing_reads = 0

    async def report(self, wait_s):
        """Return the report with the start time."""
        report = await super().report(wait_s)
        report.started_unix_ms = self.started_unix_ms
        return report

    async def held_experts(self, wait_s):
        """Return the map, unless the read has to fail."""
        self.reads += 1
        if self.failing_reads:
            self.failing_reads -= 1
            raise TargetError("not yet")
        return await super().held_experts(wait_s)


def test_map_is_read_anew_when_a_rank_has_started_anew():
    """Guards against using the map of before a restart as the map in force.

    All ranks restart with the same epoch number, and the first read of their map fails.
    """

    async def main():
        group = FakeGroup(RANKS)
        manager, directory, _, clients = build(group)
        for number, one in enumerate(list(clients)):
            clients[one] = StartingClient(group, number, HOLDINGS)
        first = clients["i-0"]
        await directory.refresh([Entry("i-0"), Entry("i-1")])
        await manager._renew()
        await manager._reconcile()
        async with curio.timeout_after(HANG_S):
            while not first.reads:
                await curio.sleep(0.005)
            for client in clients.values():
                client.started_unix_ms = 2_000
            first.failing_reads = 1
            while first.failing_reads:
                await curio.sleep(0.005)
            before = first.reads
            while first.reads == before:
                await curio.sleep(0.005)
        await manager._stop_all()

    curio.run(main)
