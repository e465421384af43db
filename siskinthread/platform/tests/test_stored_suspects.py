"""Suspected requests in the platform's store."""

import json
import random

import curio
import pytest

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
# A request must be kept off so long after its last crash.
KEPT_OFF_S = 3.0


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
        """Start to follow the store."""
        runs = (self._follower.read, self._follower.write)
        self._tasks = [await curio.spawn(run) for run in runs]

    async def stop(self):
        """Stop to follow the store."""
        for task in self._tasks:
            await task.cancel()

    async def end_targets(self, fingerprint, *targets):
        """Note that targets have ended under a request."""
        for target in targets:
            await self.register.target_crashed(fingerprint, target)

    def is_kept_off(self, fingerprint):
        """Return whether a request is held back from targets."""
        return self.register.blocked_until(fingerprint) is not None


def run_hosts(test, clock=None):
    """Run an async test with a store, a clock, and two hosts that have not started."""
    clock = ManualClock() if clock is None else clock

    async def main():
        store = PlatformStoreStandin()
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
    """Return the requests of which the store has a record."""
    return set(store.topics[TOPIC].newest) if TOPIC in store.topics else set()


def test_one_end_is_not_written_and_two_are():
    """A single end is not written, as most servers end without a request's fault."""

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


def test_record_is_read_beside_a_waiting_read_that_is_lost():
    """Guards against hosts that learn of a request only when a lost read times out."""

    async def test(store, clock, one, two):
        await one.start()
        await two.start()
        # Long enough for both reads to wait at the store.
        await curio.sleep(0.3)
        store.mode = "deaf"
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: stored(store) == {POISON})
        written_s = clock.monotonic_s()
        await until(lambda: two.is_kept_off(POISON))
        assert clock.monotonic_s() - written_s < KEPT_OFF_S

    run_hosts(test, SYSTEM_CLOCK)


def test_unavailable_store_gets_the_record_later():
    """Guards against losing with the processes what three servers were lost for.

    The store is unavailable while the servers end, and comes back.
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


def test_answer_drops_the_record_for_all():
    """Guards against hosts that start later and refuse a request that was cleared."""

    async def test(store, clock, one, two):
        await one.start()
        await two.start()
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: two.is_kept_off(POISON))
        await two.register.answered(POISON)
        await until(lambda: not one.is_kept_off(POISON) and not stored(store))

    run_hosts(test)


def test_operator_releases_a_request_by_dropping_its_record():
    """A request whose cause has been fixed need not wait for ten minutes."""

    async def test(store, clock, one, two):
        await one.start()
        await two.start()
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: two.is_kept_off(POISON))
        earlier_statements = one.register.statements()
        await two.store.write(TOPIC, [KeyedRecord(POISON, None)])
        await until(lambda: not one.is_kept_off(POISON) and not two.is_kept_off(POISON))
        # Messages that were under way meanwhile don't restore the suspicion.
        await two.register.hear(earlier_statements, "peer")
        assert not two.is_kept_off(POISON)

    run_hosts(test)


def test_expired_records_are_dropped():
    """Guards against a store that fills, and a start that reads a day's records."""

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


def test_unreadable_records_have_no_effect():
    """Guards against one malformed record that hides all others."""

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


# Bytes of records of another writer.
ODD_RECORDS = {
    "time 1e400": b'{"at_ms": 1e400, "ends": [["a", 1, 0]]}',
    "time NaN": b'{"at_ms": NaN, "ends": [["a", 1, 0]]}',
    "time of 4,000 digits": b'{"at_ms": -%s, "ends": [["a", 1, 0]]}' % (b"1" * 4000),
    "time of 5,000 digits": b'{"at_ms": -%s, "ends": [["a", 1, 0]]}' % (b"1" * 5000),
    "age 1e400": b'{"at_ms": 1, "ends": [["a", 1e400, 0]]}',
    "age of 4,000 digits": b'{"at_ms": 1, "ends": [["a", %s, 0]]}' % (b"1" * 4000),
    "mark 1e400": b'{"at_ms": 1, "ends": [["a", 1, 1e400]]}',
    "nested lists": b"[" * 100_000,
    "ends are a text": b'{"at_ms": 1, "ends": "abc"}',
    "no end": b'{"at_ms": 1, "ends": []}',
    "expired": b'{"at_ms": -1000000000, "ends": [["a", 1, 0]]}',
    "no JSON": b"\xff",
}
ODD_FINGERPRINTS = {
    "word": "odd",
    "no UTF-8": "i-\udcff",
    "beyond latin-1": "\u4e2d",
    "of 255 bytes": "f" * 255,
    "NUL": "\0",
}


@pytest.mark.parametrize("value", ODD_RECORDS.values(), ids=ODD_RECORDS)
@pytest.mark.parametrize("key", ODD_FINGERPRINTS.values(), ids=ODD_FINGERPRINTS)
def test_odd_record_stops_neither_reading_nor_writing(key, value):
    """Guards against hosts that follow no request any more for one odd record."""

    async def test(store, clock, one, two):
        await store.put_bytes(TOPIC, key, value)
        # A start reads the newest records, the other host reads the change.
        await one.start()
        await store.put_bytes(TOPIC, key, value)
        await one.end_targets(POISON, "i-1", "i-2", "i-3")
        await until(lambda: POISON in stored(store))
        await two.start()
        await until(lambda: two.is_kept_off(POISON))
        await two.end_targets(OTHER, "i-1", "i-2")
        await until(lambda: OTHER in stored(store))
        assert not one.is_kept_off(key)

    run_hosts(test)


def test_tag_that_is_nested_as_deeply_as_can_be_read_is_malformed():
    """Guards against a tag that can be read but not be made a text."""
    source = StoredSuspects(None, ManualClock())
    for depth in range(1, 1100):
        literal = "[" * depth + "]" * depth
        value = f'{{"at_ms": 1, "ends": [[{literal}, 1, 0]]}}'.encode()
        changes = source._decode_records([KeyedRecord(POISON, value)])
        assert len(changes) <= 1


@pytest.mark.parametrize("key", ODD_FINGERPRINTS.values(), ids=ODD_FINGERPRINTS)
def test_expired_records_are_dropped_beside_an_odd_key(key):
    """Guards against a store that fills, as no write succeeds for one odd key."""

    async def test(store, clock, one, two):
        for name in (key, OTHER):
            await store.put_bytes(TOPIC, name, ODD_RECORDS["expired"])
        await one.start()
        await until(lambda: OTHER not in stored(store))

    run_hosts(test)


def test_history_that_the_store_has_dropped_is_read_anew():
    """Guards against a host that never learns of a change again.

    The store drops its history while a host waits for the store to be back.
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
    """Guards against a record that is written twice, which wakes all hosts twice.

    The store accepts the record, and its answer is lost; the next read returns the
    record.
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


def test_hosts_that_learn_the_same_at_once_write_at_most_once_each():
    """Guards against a host that overwrites what it has not read.

    Two hosts observe ends at the same moment, and write them.  One of them reads the
    other's record first, so that the last record holds all ends.
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
    """Takes as long for a complete read as the spread of the hosts' turns."""

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
        # The next call after the complete read waits for changes.
        await until(lambda: "/siskinthread/log-read" in store.calls[calls_before:])
        await curio.sleep(SLOW.write_spread_s / 2)
        is_stored_soon = bool(stored(store))
        await until(lambda: stored(store) == {POISON})
        await host.stop()
        assert not is_stored_soon

    run_hosts(test)
