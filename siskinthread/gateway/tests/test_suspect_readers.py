"""When a host relies on readers for the stored suspected requests."""

import random

import curio

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import GatewaySettings
from siskinthread.gateway._dependency import Dependency
from siskinthread.gateway._suspect_readers import SuspectReaders
from siskinthread.observability import Metrics
from siskinthread.peer_news import SuspectsReading
from siskinthread.poison_requests import (
    CrashStatement,
    PoisonFollower,
    PoisonRegister,
    PoisonSettings,
    StoredChange,
    SuspectStatement,
    WriteTurns,
)
from siskinthread.settings import Address
from siskinthread.source_eras import EraWatch, Position
from siskinthread.timing import SYSTEM_CLOCK

HANG_S = 10.0
READER = Address("10.0.0.1", 1)
POISON = PoisonSettings(store_wait_s=2.0, store_pause_s=0.0, store_retry_s=0.02)
SETTINGS = GatewaySettings(table_word_s=0.4, poison=POISON)


class Source:
    """A store with a record for each offset, which counts its reads."""

    def __init__(self):
        self.offset = 1
        self.reads = 0
        self.is_away = False

    async def read_all(self):
        """Return no requests, and the position."""
        self.reads += 1
        return [], Position(1, self.offset)

    async def read_changes(self, position, wait_s):
        """Return a suspected request as soon as there is one after a position."""
        self.reads += 1
        async with curio.ignore_after(wait_s):
            while self.offset == position.offset and not self.is_away:
                await curio.sleep(0.002)
        if self.is_away:
            raise PlatformUnavailableError("away")
        changes = []
        if self.offset > position.offset:
            statement = SuspectStatement("f-1", [CrashStatement("i-1", 0.0, False)])
            changes = [StoredChange("f-1", statement)]
        return changes, Position(1, self.offset)

    def write_at(self, position):
        """Do nothing."""


class Peers:
    """Peers of a host that may be a reader."""

    def __init__(self):
        self.is_reader = False

    def is_table_reader(self, count):
        """Return whether this host is a reader."""
        return self.is_reader


class Host:
    """A host that follows a store of suspected requests."""

    def __init__(self):
        self.source = Source()
        self.peers = Peers()
        self.eras = EraWatch(Metrics())
        self.register = PoisonRegister(POISON, SYSTEM_CLOCK)
        self.companion = Dependency("target list", SYSTEM_CLOCK)
        self.readers = SuspectReaders(
            SETTINGS, self.eras, self.peers, self.companion, SYSTEM_CLOCK
        )
        turns = WriteTurns(POISON, random.Random(1))
        self.follower = PoisonFollower(
            self.source, self.register, POISON, SYSTEM_CLOCK, turns
        )
        self.follower.readers = self.readers
        self.is_announcing = True

    async def announce_repeatedly(self):
        """Announce the position of a reader at intervals."""
        while True:
            if self.is_announcing:
                reading = SuspectsReading(Position(1, self.source.offset), 0.0)
                await self.readers.hear(reading, READER)
            await curio.sleep(0.02)

    def is_known(self):
        """Return whether the suspected request has been read."""
        return bool(self.register.statements())


def run(test):
    """Run an async test with a `Host` that relies on a reader."""

    async def main():
        host = Host()
        reading = await curio.spawn(host.follower.read)
        announcing = await curio.spawn(host.announce_repeatedly)
        try:
            async with curio.timeout_after(HANG_S):
                await until(lambda: host.source.reads and host.readers._is_spared())
                return await test(host)
        finally:
            await announcing.cancel()
            await reading.cancel()

    return curio.run(main)


async def until(condition):
    """Wait until a condition is true."""
    while not condition():
        await curio.sleep(0.002)


def test_leased_host_reads_once_when_there_are_new_records():
    """Guards against a long poll by each host, and against missed records."""

    async def test(host):
        await until(lambda: host.readers.statement() is None)
        before = host.source.reads
        await curio.sleep(3 * SETTINGS.table_word_s)
        assert host.source.reads == before
        host.source.offset += 1
        await until(host.is_known)
        await until(host.readers._is_spared)
        await curio.sleep(0.1)
        assert host.source.reads == before + 1

    run(test)


def test_silent_readers_are_replaced_by_own_reads():
    """Guards against records that stay unknown while readers are gone."""

    async def test(host):
        host.is_announcing = False
        await until(lambda: not host.readers._is_spared())
        host.source.offset += 1
        await until(host.is_known)

    run(test)


def test_host_that_becomes_a_reader_reads_before_it_announces():
    """Guards against hosts that rely on a reader that the store refuses."""

    async def test(host):
        await until(lambda: host.readers.statement() is None)
        host.source.is_away = True
        host.peers.is_reader = True
        await until(lambda: host.follower._is_unavailable)
        assert host.readers.statement() is None
        host.source.is_away = False
        await until(lambda: host.readers.statement() is not None)

    run(test)


def test_new_era_triggers_a_read_of_a_leased_host():
    """Guards against records that a restored store has lost and no host rewrites."""

    async def test(host):
        await host.eras.note(1, told_by="store")
        await until(lambda: host.readers.statement() is None)
        before = host.source.reads
        await host.eras.note(2, told_by="peer")
        await until(lambda: host.source.reads > before)

    run(test)


def test_leased_host_does_not_read_in_an_outage():
    """Guards against calls of all hosts as soon as readers fall silent."""

    async def test(host):
        await until(lambda: host.readers.statement() is None)
        before = host.source.reads
        host.companion.failed(PlatformUnavailableError("away"))
        host.is_announcing = False
        await curio.sleep(3 * SETTINGS.table_word_s)
        host.peers.is_reader = True
        await curio.sleep(0.1)
        host.peers.is_reader = False
        host.is_announcing = True
        host.companion.answered()
        await curio.sleep(0.1)
        assert host.source.reads == before
        host.source.offset += 1
        await until(host.is_known)

    run(test)
