"""Gateways of several failure domains that share one read of the target list.

A target that is being removed must get no request later than 2 s after the store has
confirmed the removal, whatever happens to readers.
"""

import curio
import pytest

from siskinthread.gateway import GatewaySettings
from siskinthread.platform.tests.domains_fleet import running_fleet
from siskinthread.platform.tests.system import until
from siskinthread.timing import SYSTEM_CLOCK
from standins.platform_store import FIRST_ERA

HANG_S = 30.0
BOUND_S = 2.0
SETTLE_S = 2.5
TARGET = "i-0-1"
DOMAINS = "aabbcc"
# Each test also runs with a store that reports no era.
ERAS = pytest.mark.parametrize("era", [FIRST_ERA, None])


def run_fleet(test, domains=DOMAINS, **fields):
    """Run an async test with a fleet that has settled."""

    async def main():
        async with running_fleet(domains, **fields) as fleet:
            await until(
                lambda: all(
                    len(one.peers._senders) == len(fleet.entries) - 1
                    for one in fleet.entries
                )
            )
            await curio.sleep(SETTLE_S)
            return await curio.timeout_after(HANG_S, test, fleet)

    return curio.run(main)


def list_reads(fleet):
    """Return how often all entries have read the target list."""
    return fleet.counted()["read keyed.servers"]


def first_reader(fleet):
    """Return the entry that reads first."""
    return min(fleet.entries, key=lambda one: str(one.address))


async def seconds_until_unused(fleet, entries):
    """Let a target leave; return the seconds until no entry of some uses it."""
    began_s = SYSTEM_CLOCK.monotonic_s()
    await fleet.put_target(TARGET, 2, state="draining")
    await until(
        lambda: not any(one.gateway.parts.targets.is_serving(TARGET) for one in entries)
    )
    return SYSTEM_CLOCK.monotonic_s() - began_s


def others(fleet, *gone):
    """Return all entries except some."""
    return [one for one in fleet.entries if one not in gone]


def test_failure_domains_share_one_read_of_the_list():
    """Guards against one read a second for each failure domain."""

    async def test(fleet):
        before = list_reads(fleet)
        await curio.sleep(5.0)
        return list_reads(fleet) - before

    # Five reads of the first reader, and some where its message came late.
    assert run_fleet(test) <= 9


@ERAS
def test_target_that_leaves_is_noticed_everywhere(era):
    """Guards against forwarded confirmations that hide a change."""

    async def test(fleet):
        return await seconds_until_unused(fleet, fleet.entries)

    assert run_fleet(test, era=era) < BOUND_S


async def kill(reader, fleet):
    """End the process of the first reader."""
    await reader.stop()


async def refuse(reader, fleet):
    """Let the store refuse the calls of the first reader."""
    await reader.set_store_mode("busy")


async def cut_from_store(reader, fleet):
    """Leave the calls of the first reader unanswered."""
    await reader.set_store_mode("silent")


async def cut_from_all(reader, fleet):
    """Drop all gossip between the first reader and the others."""
    reader.cut_from.update(one.address for one in fleet.entries)
    for one in fleet.entries:
        one.cut_from.add(reader.address)


async def cut_its_domain(reader, fleet):
    """Drop all gossip between the first reader's failure domain and the others."""
    for one in fleet.entries:
        far = [other for other in fleet.entries if other.domain != one.domain]
        if one.domain == reader.domain:
            one.cut_from.update(other.address for other in far)
            for other in far:
                other.cut_from.add(one.address)


@ERAS
@pytest.mark.parametrize(
    "fail", [kill, refuse, cut_from_store, cut_from_all, cut_its_domain]
)
def test_first_reader_that_fails_delays_within_the_bound(fail, era):
    """Guards against failure domains that depend on the reader of another one."""

    async def test(fleet):
        reader = first_reader(fleet)
        await fail(reader, fleet)
        return await seconds_until_unused(fleet, others(fleet, reader))

    assert run_fleet(test, era=era) < BOUND_S


@ERAS
def test_all_readers_that_fail_delay_within_the_bound(era):
    """Guards against a failure domain without a reader."""

    async def test(fleet):
        readers = [fleet.of_domain(domain)[0] for domain in "abc"]
        for reader in readers:
            await reader.stop()
        return await seconds_until_unused(fleet, others(fleet, *readers))

    assert run_fleet(test, era=era) < BOUND_S


@ERAS
def test_compacted_list_makes_no_host_miss_a_target_that_leaves(era):
    """Guards against a position after which the store has dropped its records."""

    async def test(fleet):
        await fleet.put_target("i-1-1", 2)
        fleet.store.topics["keyed.servers"].forget()
        return await seconds_until_unused(fleet, fleet.entries)

    assert run_fleet(test, era=era) < BOUND_S


def test_setting_has_each_failure_domain_read_for_itself():
    """Guards against a setting without effect."""

    async def test(fleet):
        before = list_reads(fleet)
        await curio.sleep(4.0)
        return list_reads(fleet) - before

    settings = GatewaySettings(shares_target_reads=False)
    assert run_fleet(test, settings=settings) >= 9
