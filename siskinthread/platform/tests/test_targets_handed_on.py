"""Targets in peers' lists after a failure domain was cut off."""

import curio
import pytest

from siskinthread.platform.tests.domains_fleet import running_fleet
from siskinthread.platform.tests.system import until

HANG_S = 40.0
SETTLE_S = 2.5
CUT_S = 2.0
# After this time without a cut, no host may use a target that has left.
IN_TOUCH_S = 3.0
WATCHED_S = 3.0
POLL_S = 0.02
TOPIC = "keyed.servers"
# One target announces that it leaves; the entry of another one is removed.
LEAVING, REMOVED = "i-0-1", "i-1-1"
TARGET_COUNT = 6


async def cut_off(fleet, domain):
    """Cut a failure domain off from the store and from all other domains."""
    for one in fleet.entries:
        far = [other for other in fleet.entries if other.domain != one.domain]
        if one.domain == domain:
            one.cut_from.update(other.address for other in far)
            await one.set_store_mode("reset")
        else:
            one.cut_from.update(o.address for o in far if o.domain == domain)


async def heal(fleet):
    """End all cuts."""
    for one in fleet.entries:
        one.cut_from.clear()
        await one.set_store_mode("up")


def uses(entries):
    """Return which of the two targets some entries may use, by target and entry."""
    return {
        (target, one.name)
        for one in entries
        for target in (LEAVING, REMOVED)
        if one.gateway.parts.targets.is_serving(target)
    }


async def leave(fleet):
    """Let both targets leave; hosts outside the cut read their records."""
    await fleet.put_target(LEAVING, 2, state="draining")
    await fleet.store.put(TOPIC, REMOVED, None)
    await until(lambda: not uses(fleet.of_domain("a") + fleet.of_domain("c")))
    await fleet.store.put(TOPIC, LEAVING, None)


@pytest.mark.parametrize("era", [1, None])
def test_target_that_left_in_a_cut_is_not_relisted_by_hosts_behind_it(era):
    """Guards against hosts that get a dropped target back from peers, and use it."""

    async def test(fleet):
        await cut_off(fleet, "b")
        await curio.sleep(CUT_S / 2)
        await leave(fleet)
        fleet.store.topics[TOPIC].forget()
        await curio.sleep(CUT_S / 2)
        await heal(fleet)
        await curio.sleep(IN_TOUCH_S)
        used = set()
        for _ in range(round(WATCHED_S / POLL_S)):
            used |= uses(fleet.entries)
            await curio.sleep(POLL_S)
        listed = {len(one.gateway.parts.targets.entries()) for one in fleet.entries}
        return used, listed

    async def main():
        async with running_fleet("aabbc", era=era, target_count=TARGET_COUNT) as fleet:
            await curio.sleep(SETTLE_S)
            return await curio.timeout_after(HANG_S, test, fleet)

    assert curio.run(main) == (set(), {TARGET_COUNT - 2})
