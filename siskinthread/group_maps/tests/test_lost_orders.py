"""Replays of changes in groups that leave orders unanswered, in virtual time."""

import random

import curio
import pytest

from scripts.order_replay import PERMITTED_PAUSE_S, play, Replay
from siskinthread.errors import TargetError
from siskinthread.group_maps import ChangeResult, GroupMapSettings
from siskinthread.group_maps.tests.virtual_time import run_in_virtual_time

SETTINGS = GroupMapSettings()
SEEDS = 20
MAX_ATTEMPTS = 20


@pytest.mark.parametrize("size", [15, 24, 32, 96])
@pytest.mark.parametrize("pass_s", [0.03, 0.06, 0.1])
def test_group_does_not_stall_while_half_of_the_orders_are_unanswered(size, pass_s):
    """Guards against a group that stalls for 0.3 s to 0.5 s at the held pass.

    Half of the orders are unanswered and executed 2 s to 12 s later, after newer ones.
    This happens with a timeout of 0.1 s for each, and a held pass that is not far
    enough ahead for that.
    """
    runs = [
        run_in_virtual_time(play, size, pass_s, 0.5, seed, SETTINGS)
        for seed in range(SEEDS)
    ]
    assert all(result is ChangeResult.IN_FORCE for result, *_ in runs)
    in_time = sum(stall_s <= PERMITTED_PAUSE_S for _, stall_s, *_ in runs)
    assert in_time >= SEEDS - 1


@pytest.mark.parametrize("size", [15, 96])
def test_orders_are_hardly_repeated_without_a_fault(size):
    """Guards against costly retries because of a too short timeout."""
    needed = sent = 0
    for seed in range(SEEDS):
        measured = run_in_virtual_time(play, size, 0.05, 0.0, seed, SETTINGS)
        fixed = GroupMapSettings(least_order_wait_s=SETTINGS.order_wait_s)
        sent += measured[-1]
        needed += run_in_virtual_time(play, size, 0.05, 0.0, seed, fixed)[-1]
    assert sent <= 1.02 * needed


@pytest.mark.parametrize("share", [0.0, 0.5])
def test_map_for_96_ranks_gets_over_a_slow_link(share):
    """Guards against retries of prepare orders while the first are being sent.

    A map of some 20 KB goes to 96 ranks over 14 Mbit/s, which takes 1.3 s, while the
    timeout follows the responses to small orders.
    """

    async def main(clock):
        link_bytes_s = 14_000_000 / 8
        settings = SETTINGS.with_values(send_rate_bytes_s=link_bytes_s)
        replay = Replay(clock, 96, 0.05, share, 1, settings, set_count=24)
        replay.group.link_rate_bytes_s = link_bytes_s
        first = await replay.change()
        orders = replay.group.order_count
        timeout_s = replay.ranks._timeouts.first_s(5)
        # The next change can't start before the pass of this one.
        await curio.sleep(1.0)
        return first, await replay.change(), orders, timeout_s

    first, second, orders, timeout_s = run_in_virtual_time(main)
    assert (first, second) == (ChangeResult.IN_FORCE, ChangeResult.IN_FORCE)
    needed = 2 * 96 + 4
    assert orders <= needed * (1.02 if share == 0.0 else 2.5)
    assert timeout_s <= SETTINGS.order_wait_s


def kill_ranks(dead, after_s):
    """Return a disturbance: ranks neither execute nor respond after a while."""

    async def disturb(replay):
        await curio.sleep(after_s)
        replay.group.dead |= dead

    return disturb


@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.25])
@pytest.mark.parametrize("dead", [{7}, set(range(8, 16))])
def test_dead_rank_or_domain_gets_few_orders(dead, after_s):
    """Guards against endless orders to ranks that died or were cut off.

    This happens before or during a change, while half of the other orders are
    unanswered.  Once the ranks are back, the group continues.
    """

    async def main(clock):
        replay = Replay(clock, 24, 0.05, 0.5, 3, SETTINGS)
        result = await replay.change(kill_ranks(dead, after_s))
        attempts = max(client.max_attempts for client in replay.clients)
        was_held = replay.group.held_pass is not None
        replay.group.dead.clear()
        await replay.settle()
        before = replay.group.pass_number
        await curio.sleep(1.0)
        assert replay.group.pass_number > before
        return result, attempts, was_held, replay.group.mixed_passes

    result, attempts, was_held, mixed_passes = run_in_virtual_time(main)
    assert attempts <= MAX_ATTEMPTS
    assert not mixed_passes
    if after_s < 0.2:
        assert (result, was_held) == (ChangeResult.NOT_BEGUN, False)


def test_slow_rank_gets_its_orders_once():
    """Guards against retries of each order to a rank that is 12 times slower."""

    async def main(clock):
        replay = Replay(clock, 16, 0.05, 0.0, 5, SETTINGS)
        await replay.change()
        replay.group.slowness[3] = 12.0
        results = [await replay.change() for _ in range(3)]
        before = replay.group.order_count
        results.append(await replay.change())
        return results, replay.group.order_count - before

    results, orders = run_in_virtual_time(main)
    assert set(results) == {ChangeResult.IN_FORCE}
    # Prepare and arm at each rank, a release, and holds of passes that have started.
    assert orders <= 2 * 16 + 1 + 3


def test_pause_of_the_controller_is_no_lost_response():
    """Guards against retries of answered orders after a pause of the process.

    The process is paused for 0.3 s while it waits for 16 responses, all of which
    arrive. Timeouts have expired when it continues.  The pause must not count as a
    response time either.
    """

    async def main(clock):
        replay = Replay(clock, 16, 0.05, 0.0, 5, SETTINGS)
        await replay.change()

        async def pause(replay):
            await curio.sleep(0.002)
            clock.advance(0.3)

        before = replay.ranks.attempts.copy()
        timeouts_s = [replay.ranks._timeouts.first_s(rank) for rank in range(16)]
        result = await replay.change(pause)
        after_s = [replay.ranks._timeouts.first_s(rank) for rank in range(16)]
        return (
            result,
            replay.ranks.attempts.retries - before.retries,
            timeouts_s,
            after_s,
        )

    result, retries, before_s, after_s = run_in_virtual_time(main)
    assert result is ChangeResult.IN_FORCE
    assert retries == 0
    assert max(after_s) < 2 * max(before_s)


def test_two_controllers_mix_no_pass_while_orders_are_executed_late():
    """Guards against mixed passes when two controllers change a group at once."""

    async def main(clock, seed):
        first = Replay(clock, 15, 0.05, 0.5, seed, SETTINGS)
        second = first.other_controller()
        rng = random.Random(seed)
        other = await curio.spawn(second.change)
        await curio.sleep(rng.uniform(0.0, 0.5))
        await first.change()
        await other.join()
        await first.settle()
        before = first.group.pass_number
        await curio.sleep(1.0)
        return first.group.mixed_passes, first.group.pass_number > before

    for seed in range(SEEDS):
        assert run_in_virtual_time(main, seed) == ([], True)


def poll_reports(size, share, dead=frozenset()):
    """Return how many of 20 polls got all reports, and the number of requests."""

    async def main(clock):
        replay = Replay(clock, size, 0.05, 0.0, 2, SETTINGS)
        await replay.ranks.reports()
        replay.group.unanswered_report_share = share
        replay.group.dead |= dead
        before, complete = replay.group.report_count, 0
        for _ in range(20):
            try:
                await replay.ranks.reports()
                complete += 1
            except TargetError:
                pass
        return complete, replay.group.report_count - before

    return run_in_virtual_time(main)


def test_lost_report_is_asked_for_again():
    """Guards against failing polls of 96 ranks while 1 of 33 reports is lost.

    A poll fails if any report is missing, so reports need a retry.
    """
    complete, asked = poll_reports(96, 0.03)
    assert complete >= 18
    assert asked <= 1.06 * 20 * 96
    assert poll_reports(96, 0.0) == (20, 20 * 96)


def test_silent_rank_is_asked_again_only_at_first():
    """Guards against twice as many queries to ranks that are dead or cut off."""
    assert poll_reports(15, 0.0, {4}) == (0, 20 * 15 + 1)
