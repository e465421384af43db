"""Tests that no pass starts with two maps, whatever happens to orders."""

import itertools

import curio
import pytest

from siskinthread.group_maps import (
    Arm,
    ChangeResult,
    ExpertLayout,
    GroupMap,
    GroupMapSettings,
    GroupRanks,
    Hold,
    MapChange,
    OrderResult,
    PassEstimate,
    PassModel,
    planned_version,
    Prepare,
)
from siskinthread.group_maps.tests.fake_group import (
    ControllerCrashError,
    FakeClient,
    FakeGroup,
    Fault,
)
from siskinthread.timing import ManualClock, SYSTEM_CLOCK

RANKS = 2
# Version of the new map.
PLANNED = planned_version(0, 1)
FIRST = [[(0, 1), (2, 3)]]
SECOND = [[(0, 1, 2), (2, 3)]]
MODEL = PassModel(0.85, fixed_s=0.03, request_s=0.005)
LAYOUT = ExpertLayout(1, 4, 3, 1, MODEL, copy_s=0.0, report_lag_s=0.0)
SETTINGS = GroupMapSettings(order_tries=3, prepare_margin_s=0.01, arm_interval_s=0.001)
# With one attempt, a single fault leaves an order unanswered.
ONE_TRY = GroupMapSettings(order_tries=1, prepare_margin_s=0.01, arm_interval_s=0.001)
# Prepare, hold, arm and release, each with room for retries.
ORDERS_OF_A_CHANGE = 12
RECOVERY_LIMIT = 30


def change_of(group, settings=SETTINGS):
    """Return a `MapChange` of a fake group, as for one more controller."""
    clients = [FakeClient(group, number, FIRST) for number in range(len(group.ranks))]
    return MapChange(GroupRanks(clients, settings), LAYOUT, settings, SYSTEM_CLOCK)


def is_crash(error):
    """Return whether an error or its cause is an injected crash."""
    while isinstance(error, curio.TaskError):
        error = error.__cause__
    return isinstance(error, ControllerCrashError)


def passes_of(group):
    """Return a `PassEstimate` of the group, as after a report."""
    passes = PassEstimate(SYSTEM_CLOCK)
    passes.note(group.pass_number, 0.0)
    return passes


async def recover(group):
    """Recover a group as the next controller does, until nothing is held or armed."""
    change = change_of(group)
    for _ in range(RECOVERY_LIMIT):
        if await change.finish_or_undo(GroupMap(0, FIRST, 4)):
            return
        group.advance()
    raise AssertionError("the group is still held")


async def finish_without_undo(group):
    """Recover a stalled group as hosts that don't control it do."""
    change = change_of(group)
    for _ in range(3):
        await change.finish()
        group.advance()


async def run_change(group, settings=SETTINGS, recovery=recover):
    """Change the map once, recover as needed, and let the group continue."""
    group.on_pause = lambda: recovery(group)
    try:
        result = await change_of(group, settings).run(
            1, GroupMap(0, FIRST, 4), GroupMap(PLANNED, SECOND, 4), passes_of(group)
        )
    except (ControllerCrashError, curio.TaskError) as error:
        if not is_crash(error):
            raise
        result = None
    group.faults = {}
    if result is not ChangeResult.IN_FORCE:
        await recover(group)
    before = group.pass_number
    for _ in range(20):
        group.advance()
    group._carry_out_late()
    for late in group.late:
        group.carry_out(*late[1:])
    if group.held_pass is not None:
        await recover(group)
    for _ in range(20):
        group.advance()
    assert group.pass_number > before, "the group is stalled"
    return result


def test_change_comes_into_force():
    """All ranks run the new map from the same pass on."""
    group = FakeGroup(RANKS)
    assert curio.run(run_change, group) is ChangeResult.IN_FORCE
    assert [rank.version for rank in group.ranks] == [PLANNED, PLANNED]
    assert not group.mixed_passes


def test_rank_that_still_copies_is_armed_once_it_is_done():
    """Ranks that copy for longer than predicted refuse, and the change succeeds."""
    group = FakeGroup(RANKS, copying_orders=4)
    assert curio.run(run_change, group) is ChangeResult.IN_FORCE
    assert [rank.version for rank in group.ranks] == [PLANNED, PLANNED]
    assert not group.mixed_passes


def test_group_is_not_held_while_it_copies():
    """The hold follows the copies, so that a slow copy delays no stream."""
    group = FakeGroup(RANKS, passes_per_order=0)
    curio.run(run_change, group)
    kinds = [type(order).__name__ for _, order in group.orders]
    assert kinds[:RANKS] == ["Prepare"] * RANKS
    assert kinds[RANKS] == "Hold"
    assert kinds[-1] == "Release"


@pytest.mark.parametrize("slowdown", [4, 12])
def test_group_whose_passes_became_longer_is_held_at_a_near_pass(slowdown):
    """Guards against a change that waits for seconds once a rank becomes slow."""
    clock, pass_s, since_s = ManualClock(), 0.05, 0.32

    async def run():
        group = FakeGroup(RANKS, passes_per_order=0)
        passes = PassEstimate(clock)
        passes.note(group.pass_number, 0.0)
        for _ in range(10):
            group.advance()
        clock.advance(10 * pass_s)
        passes.note(group.pass_number, 0.0)
        clock.advance(since_s)
        for _ in range(int(since_s / (pass_s * slowdown))):
            group.advance()
        result = await change_of(group).run(
            1, GroupMap(0, FIRST, 4), GroupMap(PLANNED, SECOND, 4), passes
        )
        holds = [order for _, order in group.orders if isinstance(order, Hold)]
        return result, holds[-1].pass_number - group.pass_number

    result, ahead = curio.run(run)
    assert result is ChangeResult.IN_FORCE
    assert ahead <= 2


@pytest.mark.parametrize("passes_per_order", [0, 1, 4])
@pytest.mark.parametrize("settings", [SETTINGS, ONE_TRY])
# With 4, ranks are still copying when they get the first order to arm.
@pytest.mark.parametrize("copying_orders", [0, 4])
# What another host does while the controller is paused.
@pytest.mark.parametrize("recovery", [recover, finish_without_undo])
def test_no_pass_is_mixed_under_any_two_faults(
    passes_per_order, settings, copying_orders, recovery
):
    """Guards against ranks of a group that compute one pass with different maps.

    Any two orders of a change are lost, unanswered or carried out late, or the
    controller stops or pauses before them, while the group starts zero, one or four
    passes between orders.  No pass may start while only some ranks are armed.
    """
    runs = 0
    for first, second in itertools.combinations(range(ORDERS_OF_A_CHANGE), 2):
        for faults in itertools.product(Fault, repeat=2):
            group = FakeGroup(
                RANKS,
                dict(zip((first, second), faults, strict=True)),
                passes_per_order,
                copying_orders,
                FIRST,
            )
            curio.run(run_change, group, settings, recovery)
            assert not group.mixed_passes, (first, second, faults)
            runs += 1
    assert runs == 66 * 25


def test_left_change_is_finished():
    """Guards against a group that stalls for good.

    A controller stops after the hold and one of two arms, so nobody releases the pass.
    The next controller arms the other rank and releases the pass.
    """
    # Two prepares, a hold, an arm, and the arm that is not sent.
    group = FakeGroup(RANKS, {4: Fault.CRASH}, passes_per_order=0)
    curio.run(run_change, group)
    assert [rank.version for rank in group.ranks] == [PLANNED, PLANNED]


def test_nothing_armed_is_released_with_late_arms_ruled_out():
    """Guards against a mixed pass after a release with no rank armed.

    A controller pauses after its hold, and another one releases the pass.  The first
    one continues and arms one rank just before the pass and one after it, which worked
    while its version was still prepared.
    """
    group = FakeGroup(RANKS, passes_per_order=0)
    second = GroupMap(PLANNED, SECOND, 4)
    held_pass = group.pass_number + 2
    for number in range(RANKS):
        group.carry_out(number, Prepare(1, second))
    group.carry_out(0, Hold(1, held_pass))
    curio.run(recover, group)
    early = group.carry_out(0, Arm(1, PLANNED, held_pass))
    for _ in range(5):
        group.advance()
    late = group.carry_out(1, Arm(1, PLANNED, held_pass))
    assert (early, late) == (OrderResult.REFUSED, OrderResult.REFUSED)
    assert group.pass_number > held_pass
    assert not group.mixed_passes


def test_version_of_a_plan_is_never_given_to_another_map():
    """Guards against a mixed pass after a release whose map reuses a version.

    A controller abandons its change after the hold, while ranks still copy and so do
    not report the version that they copy, and one arm is carried out late.  If the map
    that invalidates late arms has the version that is being copied, it invalidates
    nothing.
    """
    faults = {0: Fault.PAUSE, 3: Fault.LATE}
    group = FakeGroup(RANKS, faults, 0, copying_orders=4, first_holdings=FIRST)
    curio.run(run_change, group, ONE_TRY)
    assert not group.mixed_passes
    assert all(
        planned_version(known, step) % 2 == 0 for known in (0, 7) for step in (1, 2)
    )


def test_rank_that_takes_no_order_holds_the_change_back():
    """No pass is held for a change that some rank may not have prepared."""
    faults = dict.fromkeys(range(1, 10), Fault.LOST)
    group = FakeGroup(RANKS, faults)
    result = curio.run(
        change_of(group).run,
        1,
        GroupMap(0, FIRST, 4),
        GroupMap(PLANNED, SECOND, 4),
        passes_of(group),
    )
    assert result is ChangeResult.NOT_BEGUN
    assert group.held_pass is None
    assert {type(order) for _, order in group.orders} == {Prepare}


def test_another_epoch_refuses_the_change():
    """A group that has re-formed since the plan keeps its map."""
    group = FakeGroup(RANKS)
    group.epoch = 2
    result = curio.run(
        change_of(group).run,
        1,
        GroupMap(0, FIRST, 4),
        GroupMap(PLANNED, SECOND, 4),
        passes_of(group),
    )
    assert result is ChangeResult.NOT_BEGUN
    assert [rank.version for rank in group.ranks] == [0, 0]
