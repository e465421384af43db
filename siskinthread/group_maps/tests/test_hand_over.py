"""Hand-over of the control of a group, and completion of its change."""

import curio

from siskinthread.group_maps import Hold, OrderResult
from siskinthread.group_maps.tests.fake_group import FakeGroup
from siskinthread.group_maps.tests.test_duty import (
    build,
    CountingClient,
    Entry,
    HANG_S,
    HOLDINGS,
    RANKS,
    SETTINGS,
    until,
)


def test_group_is_controlled_from_its_home_and_by_candidates_only():
    """Guards against late map changes across domains or slow links.

    The store assigns the share of a group to an entry far from its ranks, or to one
    with a slow link.
    """

    async def main():
        manager, directory, shares, _ = build(FakeGroup(RANKS))
        await directory.refresh([Entry("i-0"), Entry("i-1")])
        home = manager._home
        home.home = {"b"}
        await manager._renew()
        await manager._reconcile()
        elsewhere = list(manager._controllers)
        home.home = {"a"}
        await manager._reconcile()
        at_home = list(manager._controllers)
        home.is_candidate = False
        await manager._renew()
        left = list(manager._controllers)
        await manager._stop_all()
        return elsewhere, at_home, left, shares.left_count

    elsewhere, at_home, left, left_count = curio.run(main)
    assert elsewhere == left == []
    assert len(at_home) == 1
    assert left_count == 1


def test_control_that_passes_on_finishes_its_change_first():
    """Guards against a group that stalls for 1.8 s, so that callers disconnect.

    The shares of a controller expire while its change holds the group, and the
    controller is cancelled in the middle of the change.
    """

    async def main():
        group = FakeGroup(RANKS)
        manager, directory, _, clients = build(group)
        await directory.refresh([Entry("i-0"), Entry("i-1")])
        ended_while_held = False
        await manager._renew()
        await manager._reconcile()
        async with curio.timeout_after(HANG_S):
            while not ended_while_held:
                if group.held_pass is not None:
                    ended_while_held = True
                    manager._held_shares = None
                    await manager._reconcile()
                await curio.sleep(0)
        return group.held_pass, list(manager._controllers)

    held, controllers = curio.run(main)
    assert held is None
    assert controllers == []


class MuteClient(CountingClient):
    """A rank that does not respond to the first hold."""

    def __init__(self, group, number, holdings):
        super().__init__(group, number, holdings)
        self.is_mute = True

    async def order(self, order, wait_s):
        """Carry out an order, but let the first hold time out."""
        result = await super().order(order, wait_s)
        if isinstance(order, Hold) and self.is_mute:
            self.is_mute = False
            await curio.ignore_after(wait_s, curio.sleep, HANG_S)
            return OrderResult.UNKNOWN
        return result


def test_order_without_an_answer_does_not_stop_its_controller():
    """Guards against a group that gets no new map for 25 s and stalls for 1.7 s.

    The response to a hold is lost.  The change ran with cancellation disabled in its
    controller's task, where the timeout of the response had no effect either.
    """

    async def main():
        group = FakeGroup(RANKS)
        manager, directory, _, clients = build(group)
        for number, one in enumerate(list(clients)):
            clients[one] = MuteClient(group, number, HOLDINGS)
        await directory.refresh([Entry("i-0"), Entry("i-1")])
        await manager._renew()
        await manager._reconcile()
        async with curio.timeout_after(HANG_S):
            while group.ranks[0].version == 0:
                await curio.sleep(0.01)
        await manager._stop_all()

    curio.run(main)


def test_shares_are_kept_while_the_store_is_away_for_all():
    """Guards against shares that expire in an outage, which stops map changes.

    The store is unreachable for longer than shares last, while the demand shifts. No
    other entry could get the shares.
    """

    async def main():
        manager, directory, shares, _ = build(FakeGroup(RANKS))
        await directory.refresh([Entry("i-0"), Entry("i-1")])
        await manager._renew()
        shares.is_lost = True
        manager._home.is_away = True
        await curio.sleep(SETTINGS.share_lapse_s)
        await manager._renew()
        await manager._reconcile()
        kept = list(manager._controllers)
        manager._home.is_away = False
        await manager._renew()
        await manager._reconcile()
        lapsed = list(manager._controllers)
        await manager._stop_all()
        return kept, lapsed

    assert curio.run(main) == (["g"], [])


def test_drain_waits_until_the_shares_are_handed_over():
    """Guards against a group without a controller for 3 s after a planned stop.

    The drain of an idle entry ends before its shares are handed over.
    """

    async def main():
        manager, directory, shares, _ = build(FakeGroup(RANKS))
        shares.leave_s = 0.2
        await directory.refresh([Entry("i-0"), Entry("i-1")])
        task = await curio.spawn(manager.run)
        await until(lambda: manager.controlled_groups())
        manager._home.drains = True
        in_time = await manager.hand_over(0.05)
        is_done = await manager.hand_over(HANG_S)
        left_count, groups = shares.left_count, manager.controlled_groups()
        await curio.sleep(3 * SETTINGS.renew_interval_s)
        taken_up = manager.controlled_groups()
        await task.cancel()
        return in_time, is_done, left_count, groups, taken_up

    assert curio.run(main) == (False, True, 1, [], [])
