"""Tests of complete map changes over loopback, with the stand-in of a group."""

import curio
import pytest

from siskinthread.experts import ChangeResult
from siskinthread.experts.tests.group_bench import run_bench

NO_PENDING_ORDERS = {"order_limit_s": 0.0}


def versions(bench):
    return {rank.expert_map.version for rank in bench.group.ranks}


def held(bench):
    return [rank.held for rank in bench.group.ranks]


@pytest.mark.parametrize("options", [(), ("--checks-fencing",)])
def test_controller_evens_the_load(options):
    """Rounds without faults reduce the skew, and no step runs on mixed maps."""

    async def scenario(bench):
        controller = await bench.controller(fencing=7)
        before = bench.group.ranks[0].expert_map.skew(bench.group.last_loads)
        results = []
        for _ in range(6):
            await bench.step(3)
            results.append(await controller.run_once())
        after = bench.group.ranks[0].expert_map.skew(bench.group.last_loads)
        assert results[0] is ChangeResult.CHANGED
        assert after < before
        assert held(bench) == [False] * 4
        assert bench.group._counts["mixed_steps"] == 0
        assert bench.group._counts["steps"] == 18
        fencing, old_version, version, result = bench.records[0]
        assert (fencing, old_version, result) == (7, 0, ChangeResult.CHANGED)
        assert version == 7 << 20

    run_bench(scenario, *options, **NO_PENDING_ORDERS)


def test_controller_that_dies_behind_the_hold_is_followed():
    """Guards against a group that stays held after its controller has failed.

    A controller stages and holds every rank, then fails, and a successor has a newer
    claim.  The successor must finish or undo the change, so that all ranks step on the
    same map.
    """

    async def scenario(bench):
        first = await bench.controller(fencing=7)
        broadcast = first._ranks.broadcast
        sent = []

        async def die_before_switching(orders):
            sent.append(type(next(iter(orders.values()))).__name__)
            if sent[-1] == "Switch":
                raise curio.TaskCancelled
            return await broadcast(orders)

        first._ranks.broadcast = die_before_switching
        with pytest.raises(curio.TaskCancelled):
            await first.run_once()
        assert sent[-2:] == ["Hold", "Switch"]
        assert all(held(bench))
        await bench.step()
        assert bench.group._counts["steps"] == 0
        second = await bench.controller(fencing=9, quiet=True)
        await second.run_once()
        await bench.step()
        assert held(bench) == [False] * 4
        assert bench.group._counts["steps"] == 1
        assert len(versions(bench)) == 1
        assert bench.group._counts["mixed_steps"] == 0

    run_bench(scenario, hold_limit_s=60.0, **NO_PENDING_ORDERS)


def test_hold_of_a_dead_controller_lapses():
    """Guards against a group that stays held during an outage of the log.

    The controller fails after the hold, and no process can claim the group.  Ranks that
    are held and not switched must be released after the hold limit.
    """

    async def scenario(bench):
        controller = await bench.controller(fencing=7)
        broadcast = controller._ranks.broadcast

        async def die_before_switching(orders):
            if type(next(iter(orders.values()))).__name__ == "Switch":
                raise curio.TaskCancelled
            return await broadcast(orders)

        controller._ranks.broadcast = die_before_switching
        with pytest.raises(curio.TaskCancelled):
            await controller.run_once()
        while any(held(bench)):
            await curio.sleep(0.01)
        assert versions(bench) == {0}

    run_bench(scenario, hold_limit_s=0.05, **NO_PENDING_ORDERS)


def test_lost_answer_to_a_switch_is_made_up_for():
    """Guards against a rank that stays held or on another map after a lost answer.

    Every rank switches, and one answer is lost.  A missing answer must not count as a
    refusal.
    """

    async def scenario(bench):
        controller = await bench.controller(fencing=7)
        broadcast = controller._ranks.broadcast

        async def lose_one_answer(orders):
            if type(next(iter(orders.values()))).__name__ == "Switch":
                bench.group.ranks[1]._answers_to_lose = 1
                controller._ranks.broadcast = broadcast
            return await broadcast(orders)

        controller._ranks.broadcast = lose_one_answer
        result = await controller.run_once()
        while result is not ChangeResult.CHANGED or any(held(bench)):
            result = await controller.run_once() or result
        await bench.step()
        assert len(versions(bench)) == 1
        assert bench.group._counts["mixed_steps"] == 0
        assert bench.group._counts["steps"] == 1

    run_bench(scenario, hold_limit_s=60.0, **NO_PENDING_ORDERS)


def test_rank_that_stalls_before_the_hold_leaves_the_map_as_it_was():
    """Guards against ranks that stay held because one rank stalls.

    Every rank stages the map, and one rank stalls before the hold.  The change must be
    cancelled and the other ranks released.
    """

    async def scenario(bench):
        controller = await bench.controller(fencing=7)
        broadcast = controller._ranks.broadcast
        stalled = bench.group.ranks[2]

        async def stall_at_the_hold(orders):
            if type(next(iter(orders.values()))).__name__ == "Hold":
                stalled.stalled = True
            return await broadcast(orders)

        controller._ranks.broadcast = stall_at_the_hold
        assert await controller.run_once() is ChangeResult.UNCHANGED
        others = [rank.held for rank in bench.group.ranks if rank is not stalled]
        assert others == [False] * 3
        assert versions(bench) == {0}
        stalled.stalled = False

    run_bench(scenario, hold_limit_s=60.0, answer_wait_s=0.3, **NO_PENDING_ORDERS)
