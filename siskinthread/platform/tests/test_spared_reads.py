"""Gateways of a failure domain in which readers spare the others their reads.

The bounds hold for all hosts, whatever happens to readers: a configuration is in force
within 3 s (objective 1 s), an evacuation within 1 s.
"""

import curio
import pytest

from siskinthread.platform.tests.domains_fleet import running_fleet
from siskinthread.platform.tests.system import until
from siskinthread.timing import SYSTEM_CLOCK
from standins.platform_store import FIRST_ERA

HANG_S = 40.0
BOUND_S = 3.0
AIM_S = 1.0
EVACUATION_BOUND_S = 1.0
READER_COUNT = 2
# Each test also runs with a store that reports no era.
ERAS = pytest.mark.parametrize("era", [FIRST_ERA, None])
SPARED_COUNT = 3


class SparedFleet:
    """A fleet whose hosts with the lowest addresses are readers for the others."""

    def __init__(self, fleet):
        self.fleet = fleet
        hosts = fleet.of_domain("a")
        self.readers = hosts[:READER_COUNT]
        self.others = hosts[READER_COUNT:]

    async def settle(self):
        """Wait until the reads of all hosts that are not readers are spared."""
        await until(lambda: len(self.fleet.entries) == self._heard_count())
        # Waiting reads would otherwise last for 8 s; a change ends them.
        await self.fleet.publish()
        await self.fleet.until_in_force(self.fleet.version)
        await until(self.are_spared, limit_s=10.0)
        # Let the pause after a change pass.
        await curio.sleep(0.6)

    def are_spared(self):
        """Return whether all hosts that are not readers are spared their reads."""
        return all(_follower(one).may_skip_reads() for one in self.others)

    async def change_and_evacuate(self, entries):
        """Publish, and evacuate a domain; return the seconds until each is known."""
        began_s = SYSTEM_CLOCK.monotonic_s()
        await self.fleet.store.evacuate("z")
        await self.fleet.publish()
        await self.fleet.until_in_force(self.fleet.version, entries)
        await until(lambda: all("z" in one.evacuated_at_s for one in entries))
        version = self.fleet.version
        changed_s = max(one.in_force[version] for one in entries) - began_s
        evacuated_s = max(one.evacuated_at_s["z"] for one in entries) - began_s
        return changed_s, evacuated_s

    def _heard_count(self):
        return 1 + min(one.peers.near_count() for one in self.fleet.entries)


def _follower(entry):
    return entry.gateway._table_follower


def run_spared(test, domains="aaaaa", **fields):
    """Run an async test with a `SparedFleet` that has settled."""

    async def main():
        async with running_fleet(domains, **fields) as fleet:
            spared = SparedFleet(fleet)
            await spared.settle()
            return await curio.timeout_after(HANG_S, test, spared)

    return curio.run(main)


@ERAS
def test_change_costs_the_calls_of_the_readers_only(era):
    """Guards against a call for each host and change, and against a late change."""

    async def test(spared):
        before = spared.fleet.table_reads(spared.others)
        changed_s, evacuated_s = await spared.change_and_evacuate(spared.fleet.entries)
        assert changed_s < AIM_S
        assert evacuated_s < EVACUATION_BOUND_S
        await curio.sleep(2.0)
        assert spared.are_spared()
        assert spared.fleet.table_reads(spared.others) == before

    run_spared(test, era=era)


@ERAS
def test_series_of_changes_is_in_force_in_time(era):
    """Guards against pauses of readers and of other hosts that add up."""

    async def test(spared):
        before = spared.fleet.table_reads(spared.others)
        published_s = {}
        for _ in range(10):
            at_s = await spared.fleet.publish()
            published_s[spared.fleet.version] = at_s
            await curio.sleep(0.3)
        await spared.fleet.until_in_force(spared.fleet.version)
        waits_s = [
            min(at for v, at in one.in_force.items() if v >= version) - at_s
            for one in spared.fleet.entries
            for version, at_s in published_s.items()
        ]
        assert max(waits_s) < BOUND_S
        assert spared.fleet.table_reads(spared.others) - before <= SPARED_COUNT

    run_spared(test, era=era)


async def kill(reader, fleet):
    """End a reader's process."""
    await reader.stop()


async def freeze(reader, fleet):
    """Stop a reader, which neither reads nor sends messages from then on."""
    await reader.set_store_mode("silent")
    reader.cut_from.update(one.address for one in fleet.entries)


async def cut_from_store(reader, fleet):
    """Leave a reader's calls unanswered, including those under way."""
    await reader.set_store_mode("silent")


async def refuse(reader, fleet):
    """Let the store refuse a reader's calls."""
    await reader.set_store_mode("busy")


async def cut_from_domain(reader, fleet):
    """Drop all gossip between a reader and the others."""
    reader.cut_from.update(one.address for one in fleet.entries)
    for one in fleet.entries:
        one.cut_from.add(reader.address)


@ERAS
@pytest.mark.parametrize(
    "fail", [kill, freeze, cut_from_store, refuse, cut_from_domain]
)
@pytest.mark.parametrize("number", [0, 1])
def test_one_reader_that_fails_delays_nothing(fail, number, era):
    """Guards against hosts that depend on a single reader."""

    async def test(spared):
        await fail(spared.readers[number], spared.fleet)
        changed_s, evacuated_s = await spared.change_and_evacuate(spared.others)
        assert changed_s < AIM_S
        assert evacuated_s < EVACUATION_BOUND_S

    run_spared(test, era=era)


@ERAS
@pytest.mark.parametrize("fail", [kill, freeze, cut_from_domain])
def test_hosts_without_any_reader_read_for_themselves(fail, era):
    """Guards against a change that stays unknown while all readers are gone."""

    async def test(spared):
        for reader in spared.readers:
            await fail(reader, spared.fleet)
        changed_s, evacuated_s = await spared.change_and_evacuate(spared.others)
        assert changed_s < BOUND_S
        assert evacuated_s < EVACUATION_BOUND_S

    run_spared(test, era=era)


@ERAS
@pytest.mark.parametrize("fail", [cut_from_store, refuse])
def test_store_that_refuses_all_readers_delays_within_the_bound(fail, era):
    """Guards against readers that claim to be current while the store refuses them."""

    async def test(spared):
        for reader in spared.readers:
            await fail(reader, spared.fleet)
        changed_s, _ = await spared.change_and_evacuate(spared.others)
        assert changed_s < BOUND_S

    run_spared(test, era=era)


@ERAS
def test_lost_messages_delay_within_the_bound(era):
    """Guards against a host that waits for messages while they are lost for 3 s."""

    async def test(spared):
        isolated = spared.others[0]
        for one in spared.fleet.entries:
            one.cut_from.add(isolated.address)
        changed_s, evacuated_s = await spared.change_and_evacuate([isolated])
        assert changed_s < AIM_S
        assert evacuated_s < EVACUATION_BOUND_S
        await curio.sleep(3.0)
        for one in spared.fleet.entries:
            one.cut_from.clear()
        await until(spared.are_spared, limit_s=12.0)

    run_spared(test, era=era)


def test_restored_store_reverts_no_version():
    """Guards against reading on from positions of lost records, which are reused."""

    async def test(spared):
        spared.fleet.store.keep_copy()
        await spared.fleet.publish()
        await spared.fleet.until_in_force(spared.fleet.version)
        spared.fleet.store.restore()
        await curio.sleep(2.0)
        assert all(one.version == spared.fleet.version for one in spared.fleet.entries)
        changed_s, evacuated_s = await spared.change_and_evacuate(spared.fleet.entries)
        assert changed_s < BOUND_S
        assert evacuated_s < EVACUATION_BOUND_S
        await until(spared.are_spared, limit_s=12.0)

    run_spared(test)


def test_store_that_begins_to_report_an_era_reverts_no_version():
    """Guards against positions without an era, after which records may be lost."""

    async def test(spared):
        fleet = spared.fleet
        fleet.store.keep_copy()
        await fleet.publish()
        await fleet.until_in_force(fleet.version)
        fleet.store.era = FIRST_ERA
        fleet.store.restore()
        await curio.sleep(2.0)
        assert all(one.version == fleet.version for one in fleet.entries)
        changed_s, evacuated_s = await spared.change_and_evacuate(fleet.entries)
        assert changed_s < BOUND_S
        assert evacuated_s < EVACUATION_BOUND_S
        positions = [_follower(one).position() for one in fleet.entries]
        assert {one.era for one in positions} == {fleet.store.era}
        await until(spared.are_spared, limit_s=12.0)

    run_spared(test, era=None)


@ERAS
def test_dropped_history_makes_no_host_miss_a_change(era):
    """Guards against positions after which the store has dropped its records."""

    async def test(spared):
        await spared.fleet.store.put("keyed.op", "other", {})
        spared.fleet.store.topics["keyed.op"].forget()
        changed_s, _ = await spared.change_and_evacuate(spared.fleet.entries)
        assert changed_s < BOUND_S

    run_spared(test, era=era)


@ERAS
def test_outage_of_the_store_is_over_for_all(era):
    """Guards against hosts that stay behind, or read on their own, after an outage."""

    async def test(spared):
        spared.fleet.store.mode = "busy"
        await curio.sleep(2.0)
        spared.fleet.store.mode = "up"
        await spared.fleet.publish()
        await spared.fleet.until_in_force(spared.fleet.version, limit_s=BOUND_S)
        await until(spared.are_spared, limit_s=12.0)

    run_spared(test, era=era)


def test_host_that_starts_reads_for_itself():
    """Guards against a start that depends on peers."""

    async def test(spared):
        late = await spared.fleet.join("a")
        await spared.fleet.until_in_force(spared.fleet.version)
        assert late.counted["newest keyed.op"] == 1

    run_spared(test)


def test_small_failure_domains_read_for_themselves():
    """Guards against a failure domain that relies on the readers of another one."""

    async def main():
        async with running_fleet("aab") as fleet:
            await until(lambda: all(one.version == 1 for one in fleet.entries))
            await curio.sleep(2.0)
            assert not any(_follower(one).may_skip_reads() for one in fleet.entries)

    curio.run(main)
