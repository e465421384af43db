"""When a host relies on the readers of its failure domain."""

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import GatewaySettings, ServedTable
from siskinthread.gateway._dependency import Dependency
from siskinthread.gateway._evacuations import Evacuations
from siskinthread.gateway._reader_lease import ReaderLease, ReadingOutcome
from siskinthread.gateway._table import RouteTable, TableView
from siskinthread.gateway._table_following import TableFollower
from siskinthread.gateway.tests.parts import clock
from siskinthread.observability import Metrics
from siskinthread.peer_news import EvacuationStatement, HostState, TableReading
from siskinthread.settings import Address
from siskinthread.source_eras import EraWatch, Position
from siskinthread.timing import SYSTEM_CLOCK

HANG_S = 10.0
SETTINGS = GatewaySettings()
# The lease is long compared with the steps of a test on a busy machine.
FAST = GatewaySettings(
    table_word_s=0.5,
    table_wait_s=5.0,
    table_pause_s=0.0,
    table_take_pause_s=0.0,
    table_take_spread_s=0.0,
    source_retry_s=0.02,
)
AGE_LIMIT_S = SETTINGS.table_wait_s + SETTINGS.table_fresh_s
READER = Address("10.0.0.1", 1)
OTHER = Address("10.0.0.2", 1)


def at(offset, era=1, version=1, age_s=0.0):
    """Return the announcement of a reader."""
    return TableReading(Position(era, offset), version, age_s)


class LeasedHost:
    """The lease of a host that has read the source up to a position."""

    def __init__(self, offset=10, era=1):
        self.clock = clock()
        self.eras = EraWatch(Metrics())
        self.lease = ReaderLease(SETTINGS, AGE_LIMIT_S, self.clock, self.eras)
        self.position = Position(era, offset)
        self.lease.note_own_read()

    def hear(self, reading, sender=READER):
        """Process the announcement of a reader."""
        return self.lease.hear(reading, sender, self.position)


def test_announcement_of_a_reader_grants_a_lease():
    """Guards against a host that relies on a reader that has fallen silent."""
    host = LeasedHost()
    assert host.lease.left_s() == 0
    assert host.hear(at(10)) is ReadingOutcome.CONFIRMED
    assert host.lease.left_s() == pytest.approx(SETTINGS.table_word_s)
    host.clock.advance(0.5)
    host.hear(at(10))
    host.clock.advance(0.5)
    assert host.lease.left_s() == pytest.approx(SETTINGS.table_word_s - 0.5)
    host.clock.advance(0.5)
    assert host.lease.left_s() == 0


def test_announcements_from_before_a_stop_renew_no_lease():
    """Guards against an outdated configuration after a stop of the process.

    Datagrams that waited in the socket state outdated ages.
    """
    host = LeasedHost()
    host.hear(at(10))
    host.clock.advance(5.0)
    host.hear(at(10))
    assert host.lease.left_s() == 0
    host.lease.note_own_read()
    host.hear(at(10))
    assert host.lease.left_s() > 0


@pytest.mark.parametrize(
    "reading",
    [
        at(9),
        at(11, era=None),
        at(11, era=2),
        at(12, era=0),
        at(11, age_s=AGE_LIMIT_S + 0.1),
    ],
)
def test_reading_that_is_behind_or_of_another_era_is_ignored(reading):
    """Guards against a host that returns to the older state of a peer.

    Positions of different eras can't be compared; a reader that the source has not
    answered for long is not ahead of this host.
    """
    host = LeasedHost()
    assert host.hear(reading) is ReadingOutcome.IGNORED
    assert host.lease.left_s() == 0
    assert host.lease.ahead(host.position) == []


def test_reading_without_an_era_is_valid_while_no_era_is_known():
    """Guards against reads by each host where the source reports no era."""
    host = LeasedHost(era=None)
    assert host.hear(at(10, era=None)) is ReadingOutcome.CONFIRMED
    assert host.hear(at(11, era=None)) is ReadingOutcome.AHEAD
    assert host.hear(at(9, era=None)) is ReadingOutcome.IGNORED


@pytest.mark.parametrize("known", [1, "unreadable"])
def test_reading_without_an_era_is_ignored_once_an_era_is_known(known):
    """Guards against a restore that goes unnoticed while the era can't be read."""
    host = LeasedHost(era=None)
    if known == "unreadable":
        host.eras.note_unreadable()
    else:
        curio.run(host.eras.note, known, "peer")
    assert host.hear(at(12, era=None)) is ReadingOutcome.IGNORED
    assert host.lease.ahead(host.position) == []
    assert host.lease.left_s() == 0


def test_host_without_an_own_read_relies_on_no_reader():
    """Guards against a start that depends on a peer."""
    lease = ReaderLease(SETTINGS, AGE_LIMIT_S, clock(), EraWatch(Metrics()))
    assert lease.hear(at(10), READER, None) is ReadingOutcome.IGNORED
    assert lease.left_s() == 0


def test_reader_that_is_furthest_comes_first():
    """Guards against fetching the configuration from a reader that lags behind."""
    host = LeasedHost()
    assert host.hear(at(11), OTHER) is ReadingOutcome.AHEAD
    assert host.hear(at(12, version=2)) is ReadingOutcome.AHEAD
    assert [one for one, _ in host.lease.ahead(host.position)] == [READER, OTHER]
    assert host.lease.ahead(Position(1, 11))[0][0] == READER
    assert host.lease.ahead(Position(1, 12)) == []


class Source:
    """A source with one record for each version, which counts its reads."""

    def __init__(self):
        self.era = 1
        self.version = 1
        self.reads = 0
        self.is_away = False
        self.taken = []
        self.evacuations = self
        self.domains = set()
        self.taken_back = []

    async def read_newest(self):
        """Return the newest version."""
        self._count()
        return self.table(), Position(self.era, self.version)

    async def read_changes(self, position, wait_s):
        """Return the newest version as soon as there is one after a position."""
        self._count()
        async with curio.ignore_after(wait_s):
            while self.version == position.offset and not self.is_away:
                await curio.sleep(0.002)
        if self.is_away:
            raise PlatformUnavailableError("away")
        tables = [] if self.version == position.offset else [self.table()]
        return tables, Position(self.era, self.version)

    def take_told(self, told):
        """Record what was fetched from a reader."""
        self.taken.append(told.position.offset)

    def table(self):
        """Return the newest version."""
        return RouteTable(self.version, [], [], None, None)

    def _count(self):
        self.reads += 1
        if self.is_away:
            raise PlatformUnavailableError("away")


class Peers:
    """Peers of a host that may be a reader."""

    def __init__(self):
        self.is_reader = False
        self.announcement_count = 0
        self.state = None

    def is_table_reader(self, count):
        """Return whether this host is a reader."""
        return self.is_reader

    def near_count(self):
        """Return the number of other hosts of the failure domain."""
        return 5

    def is_first_of_domain(self):
        """Return whether this host retries first."""
        return True

    async def send_to_domain(self):
        """Count an announcement."""
        self.announcement_count += 1

    def state_of(self, address):
        """Return the state that a reader sent last."""
        return self.state


class FirstChoice:
    """A deterministic replacement of the random generator."""

    def random(self):
        """Return the lowest number."""
        return 0.0

    def choice(self, values):
        """Return the first value."""
        return values[0]


class Host:
    """A follower and the objects that it depends on; `serve` is the readers' answer."""

    def __init__(self, can_fetch=True):
        self.source = Source()
        self.view = TableView()
        self.eras = EraWatch(Metrics())
        self.peers = Peers()
        self.evacuations = Evacuations(FAST, SYSTEM_CLOCK)
        self.fetched = []
        self.serve = self._newest
        self.follower = TableFollower(
            self.source, self.view, FAST, SYSTEM_CLOCK, FirstChoice()
        )
        self.follower.peers = self.peers
        self.companion = Dependency("target list", SYSTEM_CLOCK)
        self.follower.companion = self.companion
        self.follower.evacuations = self.evacuations
        self.follower.watch_eras(self.eras)
        self.follower.fetch_served = self._fetch if can_fetch else None
        self.is_announcing = True

    def _newest(self):
        position = Position(self.source.era, self.source.version)
        return ServedTable(position, self.source.table(), object(), frozenset({"b"}))

    async def _fetch(self, address):
        self.fetched.append(address)
        served = self.serve()
        if served is None:
            raise PlatformUnavailableError("busy")
        return served

    async def announce_repeatedly(self):
        """Announce the newest version to the host at intervals, as a reader does."""
        while True:
            if self.is_announcing:
                await self.announce()
            await curio.sleep(0.02)

    async def announce(self, **fields):
        """Announce the newest version to the host once."""
        version = self.source.version
        values = {"offset": version, "version": version, "era": self.source.era}
        await self.follower.hear(at(**(values | fields)), READER)

    async def until_version(self, version):
        """Wait until a version is in force."""
        await until(lambda: self.view.table.version >= version)


async def until(condition):
    """Wait until a condition is true."""
    while not condition():
        await curio.sleep(0.002)


def run(test, era=1, **fields):
    """Run an async test with a `Host` that relies on a reader."""

    async def main():
        host = Host(**fields)
        host.source.era = era
        await host.eras.note(era, told_by="source")
        running = await curio.spawn(host.follower.run)
        announcing = await curio.spawn(host.announce_repeatedly)
        try:
            async with curio.timeout_after(HANG_S):
                await until(lambda: host.view.table is not None)
                # Ends the pending long poll; the next read is skipped.
                host.source.version += 1
                await host.until_version(2)
                await until(lambda: not host.follower._has_answer)
                return await test(host)
        finally:
            await announcing.cancel()
            await running.cancel()

    return curio.run(main)


@pytest.mark.parametrize("era", [1, None])
def test_leased_host_fetches_changes_from_a_reader_without_a_read(era):
    """Guards against a call by each host for each change."""

    async def test(host):
        before = host.source.reads
        for version in (3, 4, 5):
            host.source.version = version
            await host.until_version(version)
        await curio.sleep(2 * FAST.table_word_s)
        assert host.follower.may_skip_reads()
        assert host.source.reads == before
        assert host.source.taken[-1] == 5
        assert host.evacuations.is_evacuated("b")

    run(test, era=era)


@pytest.mark.parametrize("era", [1, None])
def test_evacuation_is_in_force_before_the_configuration_is_fetched(era):
    """Guards against an evacuation that is delayed by the pause between fetches."""

    async def test(host):
        host.is_announcing = False
        host.serve = lambda: None
        host.source.version = 4
        for offset, domains in ((4, {"c"}), (3, {"b"})):
            statement = EvacuationStatement(Position(era, offset), domains)
            host.peers.state = HostState(offset, True, {}, evacuations=statement)
            await host.announce(offset=offset, version=offset)
        # A later datagram of a reader at a lower position changes nothing.
        assert host.evacuations.domains() == {"c"}

    run(test, era=era)


@pytest.mark.parametrize("known", [1, "unreadable"])
def test_host_reads_again_when_its_source_begins_to_report_an_era(known):
    """Guards against using positions without an era after a possible restore."""

    async def test(host):
        before = host.source.reads
        if known == "unreadable":
            host.eras.note_unreadable()
        else:
            await host.announce(era=known)
        assert not host.follower.may_skip_reads()
        await until(lambda: host.source.reads > before)
        host.peers.is_reader = True
        host.source.version = 3
        await host.until_version(3)
        assert host.follower.statement() is None
        assert host.follower.position() is None

    run(test, era=None)


def test_leased_host_reads_once_if_no_reader_serves_it():
    """Guards against a change that stays unknown, or is read repeatedly."""

    async def test(host):
        before = host.source.reads
        host.source.version = 3
        await host.until_version(3)
        await until(host.follower.may_skip_reads)
        await curio.sleep(0.1)
        return host.source.reads - before

    assert run(test, can_fetch=False) == 1


@pytest.mark.parametrize("case", ["busy", "older version", "behind", "other era"])
def test_host_reads_the_source_when_a_reader_serves_no_valid_table(case):
    """Guards against applying an older state, and against a change that is missed."""

    async def test(host):
        older = RouteTable(1, [], [], None, None)
        newest = host.source.table()
        host.serve = {
            "busy": lambda: None,
            "older version": lambda: ServedTable(Position(1, 3), older, None, ()),
            "behind": lambda: ServedTable(Position(1, 2), newest, None, ()),
            "other era": lambda: ServedTable(Position(2, 3), newest, None, ()),
        }[case]
        host.source.version = 3
        await host.until_version(3)
        assert host.source.taken == []
        assert host.view.table.version == 3

    run(test)


def test_silent_readers_are_replaced_by_an_own_read():
    """Guards against a change that stays unknown while readers are gone."""

    async def test(host):
        host.is_announcing = False
        await until(lambda: not host.follower.may_skip_reads())
        host.source.version = 3
        await host.until_version(3)
        assert host.fetched == []

    run(test)


def test_host_that_becomes_a_reader_reads_before_it_announces():
    """Guards against hosts that rely on a reader that the source refuses."""

    async def test(host):
        host.source.is_away = True
        host.peers.is_reader = True
        assert host.follower.statement() is None
        await until(lambda: host.follower.dependency.is_lost)
        assert host.follower.statement() is None
        host.source.is_away = False
        await until(lambda: host.follower.statement() is not None)
        assert host.follower.statement().position.offset == 2

    run(test)


def test_reader_announces_a_change_at_once():
    """Guards against a change that waits for the next regular datagram."""

    async def test(host):
        host.peers.is_reader = True
        await until(lambda: host.follower.statement() is not None)
        before = host.peers.announcement_count
        host.source.version = 3
        await host.until_version(3)
        await until(lambda: host.peers.announcement_count == before + 1)

    run(test)


def test_leased_host_reads_again_in_a_new_era():
    """Guards against positions of lost records after a restore of the source."""

    async def test(host):
        before = host.source.reads
        host.is_announcing = False
        host.source.era = 2
        host.source.version = 1
        await host.eras.note(2, told_by="peer")
        await until(lambda: host.source.reads > before)

    run(test)


def test_announcement_of_a_later_era_triggers_a_read():
    """Guards against ignoring a restore that only a reader has noticed."""

    async def test(host):
        before = host.source.reads
        host.is_announcing = False
        await host.announce(era=2, offset=1)
        await until(lambda: host.source.reads > before)
        assert host.source.taken == []

    run(test)


def test_read_again_makes_a_leased_host_read():
    """Guards against a host that knows of a newer version and does not read it."""

    async def test(host):
        before = host.source.reads
        await host.follower.read_again()
        await until(lambda: host.source.reads == before + 1)
        await until(host.follower.may_skip_reads)

    run(test)


def test_leased_host_does_not_read_in_an_outage():
    """Guards against calls of all hosts as soon as readers fall silent."""

    async def test(host):
        before = host.source.reads
        host.companion.failed(PlatformUnavailableError("away"))
        host.is_announcing = False
        await curio.sleep(3 * FAST.table_word_s)
        assert host.source.reads == before
        host.source.version = 3
        host.companion.answered()
        await host.follower.read_again()
        await host.until_version(3)
        # One read that is answered at once, and possibly one pending long poll.
        assert host.source.reads <= before + 2

    run(test)


def test_reader_backs_off_while_the_companion_is_in_outage():
    """Guards against two calls of each reader in each retry interval of an outage."""

    async def test(host):
        host.peers.is_reader = True
        await until(lambda: host.follower.statement() is not None)
        host.companion.failed(PlatformUnavailableError("away"))
        host.source.is_away = True
        await until(lambda: host.follower.dependency.failure_count == 3)
        before = host.source.reads
        # Back-offs of 0.02 s, 0.04 s, 0.08 s, 0.16 s, ...
        await curio.sleep(10 * FAST.source_retry_s)
        assert host.source.reads - before <= 2
        host.source.is_away = False
        await host.follower.read_again()
        await until(lambda: host.follower.statement() is not None)

    run(test)


def test_age_of_a_leased_host_is_that_of_its_reader():
    """Guards against routes that count as confirmed by a reader without answers."""

    async def test(host):
        host.is_announcing = False
        await host.announce(age_s=0.0)
        first_s = host.follower.dependency.age_s()
        await curio.sleep(0.1)
        await host.announce(age_s=5.0)
        return first_s, host.follower.dependency.age_s()

    first_s, later_s = run(test)
    assert first_s < 0.1 <= later_s < 5.0


def test_setting_has_each_host_read_for_itself():
    """Guards against a setting without effect."""

    async def main():
        host = Host()
        values = {"table_readers_per_domain": 0}
        settings = FAST.with_values(**values)
        host.follower = TableFollower(
            host.source, host.view, settings, SYSTEM_CLOCK, FirstChoice()
        )
        host.follower.peers = host.peers
        task = await curio.spawn(host.follower.run)
        await until(lambda: host.view.table is not None)
        await host.announce()
        assert not host.follower.may_skip_reads()
        assert host.follower.statement() is None
        await task.cancel()

    curio.run(main)
