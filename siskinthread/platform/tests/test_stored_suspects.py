"""Suspected requests in the platform's store."""

import json
import random

import curio

from siskinthread.observability import Metrics
from siskinthread.platform._store import StoreClient
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.platform._stored_suspects import StoredSuspects, TOPIC
from siskinthread.platform.tests.system import until
from siskinthread.poison_requests import (
    PoisonFollower,
    PoisonRegister,
    PoisonSettings,
    WriteTurns,
)
from siskinthread.settings import Address
from siskinthread.source_eras import EraWatch
from siskinthread.timing import ManualClock, SYSTEM_CLOCK
from standins._http_server import HttpServer
from standins.platform_store import PlatformStoreStandin

SETTINGS = PoisonSettings(store_pause_s=0.01, store_retry_s=0.02)
SLOW = SETTINGS.with_values(write_spread_s=0.5)
POISON, OTHER = "5f0c", "77aa"
HANG_S = 20.0


class Host:
    """A register that follows the store."""

    def __init__(self, address, clock, settings=SETTINGS, source_type=StoredSuspects):
        self.address = address
        metrics = Metrics()
        calls = metrics.counter("calls", "Calls.", ("call",))
        self.store = StoreClient(address, 0.3, calls, EraWatch(metrics))
        self.register = PoisonRegister(settings, clock)
        source = source_type(self.store, clock)
        turns = WriteTurns(settings, random.Random(1))
        self._follower = PoisonFollower(source, self.register, settings, clock, turns)
        self._tasks = []

    async def start(self):
        """Follow the store."""
        runs = (self._follower.read, self._follower.write)
        self._tasks = [await curio.spawn(run) for run in runs]

    async def stop(self):
        """Follow it no more."""
        for task in self._tasks:
            await task.cancel()

    async def end_targets(self, fingerprint, *targets):
        """Note that targets have ended under a request."""
        for target in targets:
            await self.register.target_ended(fingerprint, target)

    def is_kept_off(self, fingerprint):
        """Return whether a request is kept off targets."""
        return self.register.kept_off_until(fingerprint) is not None


def run_hosts(test):
    """Run an async test with a store, a clock, and two hosts that have not started."""

    async def main():
        store, clock = PlatformStoreStandin(), ManualClock()
        async with HttpServer(store.handle) as server:
            address = Address(server.host, server.port)
            hosts = [Host(address, clock) for _ in range(2)]
            try:
                await curio.timeout_after(HANG_S, test, store, clock, *hosts)
            finally:
                for host in hosts:
                    await host.stop()

    curio.run(main)


def stored(store):
    """Return the requests that the store has a record of."""
    return set(store.topics[TOPIC].newest) if TOPIC in store.topics else set()


def test_one_end_is_not_worth_a_call_and_two_are():
    """Most servers that end do so by themselves; their requests come to nothing."""

    async def test(store, clock, one, two):
        await one.start()
        await two.start()
        await one.end_targets(POISON, "i-1")
        await one.end_targets(OTHER, "i-1", "i-2")
        await until(lambda: stored(store) == {OTHER})
        await two.end_targets(OTHER, "i-3")
        await until(lambda: one.is_kept_off(OTHER) and two.is_kept_off(OTHER))
        assert stored(store) == {OTHER}

    run_hosts(test)


def test_store_that_is_away_gets_the_record_later():
    """Symptom: what three servers were lost for is forgotten with the processes.

    Events: the store is away while the servers end, and comes back.
    """

    async def test(store, clock, one, two):
        store.mode = "busy"
        await one.start()
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await curio.sleep(0.1)
        store.mode = "up"
        await until(lambda: stored(store) == {POISON})
        await two.start()
        await until(lambda: two.is_kept_off(POISON))

    run_hosts(test)


def test_answer_takes_the_record_away_for_all():
    """Symptom: hosts that start later refuse a request that was cleared."""

    async def test(store, clock, one, two):
        await one.start()
        await two.start()
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: two.is_kept_off(POISON))
        await two.register.answered(POISON)
        await until(lambda: not one.is_kept_off(POISON) and not stored(store))

    run_hosts(test)


def test_operator_releases_a_request_by_dropping_its_record():
    """What the servers have been mended for need not wait for ten minutes."""

    async def test(store, clock, one, two):
        await one.start()
        await two.start()
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: two.is_kept_off(POISON))
        told_before = one.register.statements()
        await two.store.write(TOPIC, [KeyedRecord(POISON, None)])
        await until(lambda: not one.is_kept_off(POISON) and not two.is_kept_off(POISON))
        # News that were under way meanwhile don't bring it back.
        await two.register.hear(told_before, "peer")
        assert not two.is_kept_off(POISON)

    run_hosts(test)


def test_records_that_count_no_more_are_dropped():
    """Symptom: the store fills, and a host that starts takes a day's records in."""

    async def test(store, clock, one, two):
        await one.start()
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: stored(store) == {POISON})
        await one.stop()
        clock.advance(SETTINGS.memory_s + 1)
        await two.start()
        await until(lambda: not stored(store))
        assert not two.is_kept_off(POISON)

    run_hosts(test)


def test_unreadable_records_say_nothing_and_hide_nothing():
    """Symptom: one record of another writer, and no host learns of any other."""

    async def test(store, clock, one, two):
        await store.put(TOPIC, "0001", 7)
        await store.put(TOPIC, "0002", {"at_ms": "x", "ends": []})
        await store.put(TOPIC, "0003", {"at_ms": 1, "ends": [["a"]]})
        await one.start()
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: POISON in stored(store))
        await two.start()
        await until(lambda: two.is_kept_off(POISON))

    run_hosts(test)


def test_history_that_the_store_has_dropped_is_read_anew():
    """Symptom: a host never hears of a change again.

    Events: the store drops its history while a host waits for it to be there again.
    """

    async def test(store, clock, one, two):
        await one.start()
        await two.start()
        await one.end_targets(OTHER, "i-1", "i-2")
        await until(lambda: stored(store) == {OTHER})
        store.mode = "busy"
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await curio.sleep(0.1)
        store.topics[TOPIC].forget()
        store.mode = "up"
        await until(lambda: two.is_kept_off(POISON))

    run_hosts(test)


def test_record_whose_answer_is_lost_is_not_written_again():
    """Symptom: one record is written twice, and wakes all hosts twice.

    Events: the store takes the record, and its answer is lost; the read tells of it.
    """

    async def test(store, clock, one, two):
        await one.start()
        store.mode = "mute"
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: stored(store) == {POISON})
        store.mode = "up"
        await curio.sleep(0.5)
        assert store.topics[TOPIC].end == 1

    run_hosts(test)


def test_hosts_that_learn_the_same_at_one_moment_write_it_once_each_at_most():
    """Symptom: a host writes over what it has not read.

    Events: two hosts see ends of their own at one moment, and write them.  One of them
    reads the other's record first, so that the last record has all ends.
    """

    async def test(store, clock, one, two):
        await one.start()
        await two.start()
        await until(lambda: store.calls.count("/siskinthread/log-read") >= 2)
        await one.end_targets(POISON, "i-1", "i-2")
        await two.end_targets(POISON, "i-3", "i-4")
        await until(lambda: one.is_kept_off(POISON) and two.is_kept_off(POISON))
        await curio.sleep(0.3)
        _, value = store.topics[TOPIC].newest[POISON]
        assert len(json.loads(value)["ends"]) == 4
        assert store.topics[TOPIC].end == 2

    run_hosts(test)


class SlowSource(StoredSuspects):
    """Takes as long to read all as entries may choose their turns from."""

    async def read_all(self):
        """Return all changes, late."""
        changes = await super().read_all()
        await curio.sleep(SLOW.write_spread_s)
        return changes


def test_turn_after_a_restore_counts_from_the_read():
    """Guards against hosts that write together once a slow store has answered all."""

    async def test(store, clock, one, two):
        host = Host(one.address, SYSTEM_CLOCK, SLOW, SlowSource)
        store.keep_copy()
        await host.start()
        await host.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: stored(store) == {POISON})
        store.restore()
        calls_before = len(store.calls)
        await host.store.eras.note(store.era, "a peer")
        # The next call after the whole read waits for changes.
        await until(lambda: "/siskinthread/log-read" in store.calls[calls_before:])
        await curio.sleep(SLOW.write_spread_s / 2)
        is_stored_soon = bool(stored(store))
        await until(lambda: stored(store) == {POISON})
        await host.stop()
        assert not is_stored_soon

    run_hosts(test)
