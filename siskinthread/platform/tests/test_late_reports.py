"""Reports that the store carries out after newer ones, or after a removal."""

import json

import curio
import pytest

from siskinthread.gateway import GatewaySettings, ReportMark, ServedTargets
from siskinthread.platform._sources import ListedTargets
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.platform.tests.domains_fleet import running_fleet
from siskinthread.platform.tests.system import until
from siskinthread.source_eras import Position
from siskinthread.timing import SYSTEM_CLOCK

HANG_S = 40.0
# A leaving target may get requests so long after its removal was confirmed.
DRAIN_S = 2.0
# Within this time targets are listed again that report again.
BACK_S = 2.0
BORN, LATER_BORN = 1_771_618_566_009, 1_771_618_599_000
TARGET = "i-0"
FAST = GatewaySettings(target_interval_s=0.2, target_age_limit_s=0.3)


def record(number, born=BORN, port=8080, **fields):
    """Return the record of a report of the target."""
    document = {
        "service": "app",
        "address": f"10.128.0.9:{port}",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": number,
    }
    if born is not None:
        document["born"] = born
    return KeyedRecord(TARGET, json.dumps(document | fields).encode())


GONE = KeyedRecord(TARGET, None)
UNREADABLE = KeyedRecord(TARGET, b"{}")


@pytest.mark.parametrize(
    ("records", "listed_number"),
    [
        # Late after the removal.
        ([record(8), GONE, record(5)], None),
        ([record(8), GONE, record(5), record(6)], None),
        ([record(8, None), GONE, record(5, None)], None),
        ([record(8, None), GONE, record(5, None), record(6, None)], None),
        ([record(8), record(9, state="draining"), GONE, record(7)], None),
        ([record(8), UNREADABLE, record(5)], None),
        ([record(8), GONE, record(20, LATER_BORN), GONE, record(9)], None),
        # Late while the target is listed.
        ([record(8, state="draining"), record(5)], 8),
        ([record(8, LATER_BORN), record(9)], 8),
        # Reports of targets that run.
        ([record(8), GONE, record(9)], 9),
        ([record(8), GONE, record(8)], 8),
        ([record(8), GONE, record(1, LATER_BORN)], 1),
        ([record(8, None), GONE, record(1, None)], 1),
        ([record(8, None), GONE, record(2, None, port=8081)], 2),
        ([record(8, None), GONE, record(5, LATER_BORN)], 5),
        ([record(500), GONE, record(5)], 5),
        ([record(8), GONE, record(5), record(9)], 9),
    ],
)
def test_late_report_lists_no_target(records, listed_number):
    """Guards against a target that has left and is listed again by a late report."""
    source = ListedTargets(None)
    source.apply(records)
    numbers = {one.listed_id: one.report_number for one in source.listed.values()}
    assert numbers == ({} if listed_number is None else {TARGET: listed_number})


class ScriptedStore:
    """A store client whose complete lists are scripted."""

    def __init__(self):
        self.answer = None

    async def read_newest(self, topic):
        """Return the scripted records and position."""
        return self.answer


@pytest.mark.parametrize(
    ("first", "changes", "era", "second", "is_listed"),
    [
        # A complete list that is read anew in the same era holds a late report.
        ([record(8)], [GONE], 1, [record(5)], False),
        ([record(8)], [], 1, [record(5)], False),
        ([record(8)], [], 1, [record(9)], True),
        # A restored store holds an older report of a target that still runs, and one
        # of a target that has left.
        ([record(8)], [], 2, [record(5)], True),
        ([record(8)], [GONE], 2, [record(5)], False),
        ([record(8, LATER_BORN)], [], 2, [record(9)], False),
    ],
)
def test_complete_list_with_an_older_report(first, changes, era, second, is_listed):
    """Guards against a departed target in a list that is read anew."""
    store = ScriptedStore()
    source = ListedTargets(store)
    store.answer = (first, Position(1, 10))
    curio.run(source.read_all)
    source.apply(changes)
    store.answer = (second, Position(era, 12))
    entries, _ = curio.run(source.read_all)
    assert [one.listed_id for one in entries] == [TARGET] * is_listed


def test_reports_of_a_restored_store_are_applied_again():
    """Guards against a target whose later reports are ignored after a restore."""
    store = ScriptedStore()
    source = ListedTargets(store)
    store.answer = ([record(8)], Position(1, 10))
    curio.run(source.read_all)
    store.answer = ([record(5)], Position(2, 7))
    curio.run(source.read_all)
    source.apply([record(6, state="draining")])
    assert source.listed[TARGET].is_leaving


@pytest.mark.parametrize(("newest", "late"), [(8, 5), (100, 97)])
def test_host_knows_from_a_reader_which_reports_are_late(newest, late):
    """Guards against a host that has read no report since its list was confirmed."""
    source = ListedTargets(None)
    source.apply([record(1)])
    told = {TARGET: ReportMark(BORN, newest, "10.128.0.9:8080")}
    source.take_told(ServedTargets(Position(1, 10), 0.0, [], told))
    source.apply([record(late)])
    assert source.listed == {}
    served = ListedTargets(None)
    served.apply([record(late)])
    told_late = ServedTargets(Position(1, 12), 0.0, list(served.listed.values()))
    source.take_told(told_late)
    assert told_late.entries == []


@pytest.mark.parametrize(("newest", "older"), [(8, 6), (100, 6)])
def test_list_of_a_reader_with_older_reports_drops_no_listed_target(newest, older):
    """Guards against a listed target that a reader's list of some seconds ago drops."""
    source = ListedTargets(None)
    source.apply([record(newest)])
    reader = ListedTargets(None)
    reader.apply([record(older)])
    told = ServedTargets(Position(1, 10), 0.0, list(reader.listed.values()))
    source.take_told(told)
    assert list(source.listed) == [TARGET]
    # The newest report is not forgotten.
    source.apply([GONE, record(newest - 1)])
    assert source.listed == {}


class Fleet:
    """Two gateways of a failure domain, and a target that reports by hand."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.number = 0
        self.born = {"born": BORN}

    async def report(self, count=1, **fields):
        """Write the next reports of the target."""
        for _ in range(count):
            self.number += 1
            await self.write(self.number, **fields)

    async def write(self, number, **fields):
        """Write a report of the target."""
        await self.fleet.put_target(TARGET, number, **(self.born | fields))

    async def remove(self):
        """Remove the entry of the target."""
        await self.fleet.store.put("keyed.servers", TARGET, None)

    def serving_count(self):
        """Return at how many gateways the target may get requests."""
        return sum(
            any(
                target.listed_id == TARGET
                for target in one.gateway.parts.targets.serving("app")
            )
            for one in self.fleet.entries
        )

    async def until_count(self, count):
        """Wait until so many gateways may send requests; return how long it took."""
        began_s = SYSTEM_CLOCK.monotonic_s()
        await until(lambda: self.serving_count() == count)
        return SYSTEM_CLOCK.monotonic_s() - began_s


def run_fleet(test, settings=None):
    """Run an async test with a `Fleet` whose target has reported several times."""

    async def main():
        async with running_fleet("aa", settings, target_count=0) as domains:
            fleet = Fleet(domains)
            async with curio.timeout_after(HANG_S):
                await fleet.report()
                await fleet.until_count(2)
                # Peers need to know each other and their roles.
                await curio.sleep(1.5)
                return await test(fleet)

    return curio.run(main)


@pytest.mark.parametrize("born", [{"born": BORN}, {}], ids=["born", "no-born"])
@pytest.mark.parametrize(
    ("is_draining", "late_numbers"), [(False, [4]), (False, [4, 5]), (True, [4])]
)
def test_late_report_brings_no_target_back(is_draining, late_numbers, born):
    """Guards against requests to a server that has left, at any gateway of a domain.

    A gateway whose list is confirmed by its neighbour has read none of the reports.
    """

    async def test(fleet):
        fleet.born = born
        for _ in range(6):
            await fleet.report()
            await curio.sleep(0.25)
        if is_draining:
            await fleet.report(state="draining")
        await fleet.remove()
        await fleet.until_count(0)
        counts = []
        for number in late_numbers:
            await fleet.write(number)
            for _ in range(8):
                await curio.sleep(0.1)
                counts.append(fleet.serving_count())
        return max(counts)

    assert run_fleet(test, FAST) == 0


def test_late_report_read_together_with_the_removal_changes_nothing():
    """Guards against a gateway that keeps a target whose list looks unchanged."""

    async def test(fleet):
        for _ in range(6):
            await fleet.report()
            await curio.sleep(0.25)
        await fleet.remove()
        await fleet.write(4)
        return await fleet.until_count(0)

    assert run_fleet(test, FAST) < DRAIN_S


RESTARTS = {
    "later start": (1, {"born": LATER_BORN}),
    "start that is not stated": (1, {"born": None}),
    "same start": (7, {"born": BORN}),
}


@pytest.mark.parametrize("restart", RESTARTS)
def test_target_that_runs_is_listed_again_in_time(restart):
    """Guards against a target that waits, since its report looks late."""
    number, fields = RESTARTS[restart]

    async def test(fleet):
        if fields["born"] is None:
            fleet.born = fields
            await fleet.report()
        await fleet.report(4)
        await fleet.remove()
        await fleet.until_count(0)
        await fleet.write(number, **fields)
        return await fleet.until_count(2)

    assert run_fleet(test) < BACK_S
