"""When a host takes the word of readers of its failure domain."""

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import GatewaySettings, ToldTable
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
# Long beside the steps of a test on a busy machine.
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
    """Return what a reader tells."""
    return TableReading(Position(era, offset), version, age_s)


class Word:
    """A host that has read itself up to a position, and its clock."""

    def __init__(self, offset=10, era=1):
        self.clock = clock()
        self.eras = EraWatch(Metrics())
        self.word = ReaderLease(SETTINGS, AGE_LIMIT_S, self.clock, self.eras)
        self.position = Position(era, offset)
        self.word.note_own_read()

    def hear(self, reading, sender=READER):
        """Take what a reader tells."""
        return self.word.hear(reading, sender, self.position)


def test_word_of_a_reader_spares_a_host_for_a_while():
    """Guards against a host that relies on a reader which has fallen silent."""
    host = Word()
    assert host.word.left_s() == 0
    assert host.hear(at(10)) is ReadingOutcome.CONFIRMED
    assert host.word.left_s() == pytest.approx(SETTINGS.table_word_s)
    host.clock.advance(0.5)
    host.hear(at(10))
    host.clock.advance(0.5)
    assert host.word.left_s() == pytest.approx(SETTINGS.table_word_s - 0.5)
    host.clock.advance(0.5)
    assert host.word.left_s() == 0


def test_news_of_before_a_freeze_spare_no_read():
    """Guards against an old configuration in force after a stop of the process.

    Datagrams that waited in the socket say that they are young.
    """
    host = Word()
    host.hear(at(10))
    host.clock.advance(5.0)
    host.hear(at(10))
    assert host.word.left_s() == 0
    host.word.note_own_read()
    host.hear(at(10))
    assert host.word.left_s() > 0


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
def test_reading_that_is_behind_or_of_another_era_is_not_believed(reading):
    """Guards against a host that goes back to a peer's older state.

    Of a reading of another era nothing is known in this host's own; a reader that the
    source has not answered for long does not know more than this host.
    """
    host = Word()
    assert host.hear(reading) is ReadingOutcome.IGNORED
    assert host.word.left_s() == 0
    assert host.word.ahead(host.position) == []


def test_reading_without_an_era_is_believed_where_none_was_ever_told():
    """Guards against a read of each host where the source reports no era."""
    host = Word(era=None)
    assert host.hear(at(10, era=None)) is ReadingOutcome.CONFIRMED
    assert host.hear(at(11, era=None)) is ReadingOutcome.AHEAD
    assert host.hear(at(9, era=None)) is ReadingOutcome.IGNORED


@pytest.mark.parametrize("told", [1, "unreadable"])
def test_reading_without_an_era_is_not_believed_once_one_was_told(told):
    """Guards against a restore that goes unnoticed while the era can't be read."""
    host = Word(era=None)
    if told == "unreadable":
        host.eras.note_unreadable()
    else:
        curio.run(host.eras.note, told, "peer")
    assert host.hear(at(12, era=None)) is ReadingOutcome.IGNORED
    assert host.word.ahead(host.position) == []
    assert host.word.left_s() == 0


def test_host_that_has_read_nothing_itself_believes_no_reader():
    """Guards against a start that depends on a peer."""
    word = ReaderLease(SETTINGS, AGE_LIMIT_S, clock(), EraWatch(Metrics()))
    assert word.hear(at(10), READER, None) is ReadingOutcome.IGNORED
    assert word.left_s() == 0


def test_reader_that_is_furthest_comes_first():
    """Guards against taking the configuration from a reader that lags behind."""
    host = Word()
    assert host.hear(at(11), OTHER) is ReadingOutcome.AHEAD
    assert host.hear(at(12, version=2)) is ReadingOutcome.AHEAD
    assert [one for one, _ in host.word.ahead(host.position)] == [READER, OTHER]
    assert host.word.ahead(Position(1, 11))[0][0] == READER
    assert host.word.ahead(Position(1, 12)) == []


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
        """Return the newest version as soon as there is one behind a position."""
        self._count()
        async with curio.ignore_after(wait_s):
            while self.version == position.offset and not self.is_away:
                await curio.sleep(0.002)
        if self.is_away:
            raise PlatformUnavailableError("away")
        tables = [] if self.version == position.offset else [self.table()]
        return tables, Position(self.era, self.version)

    def take_told(self, told):
        """Note what was taken from a reader."""
        self.taken.append(told.position.offset)

    def table(self):
        """Return the newest version."""
        return RouteTable(self.version, [], [], None, None)

    def _count(self):
        self.reads += 1
        if self.is_away:
            raise PlatformUnavailableError("away")


class Peers:
    """Peers of a host that may read for others."""

    def __init__(self):
        self.is_reader = False
        self.told = 0
        self.state = None

    def is_table_reader(self, count):
        """Return whether this host reads for others."""
        return self.is_reader

    def near_count(self):
        """Return the number of other hosts of the failure domain."""
        return 5

    def is_first_of_domain(self):
        """Return whether this host asks again first."""
        return True

    async def tell_domain(self):
        """Count."""
        self.told += 1

    def state_of(self, address):
        """Return what a reader told last."""
        return self.state


class NoDraw:
    """Draws the first of what there is."""

    def random(self):
        """Return the lowest number."""
        return 0.0

    def choice(self, values):
        """Return the first one."""
        return values[0]


class Host:
    """A follower and its parts; `hand_out` is what readers answer."""

    def __init__(self, can_fetch=True):
        self.source = Source()
        self.view = TableView()
        self.eras = EraWatch(Metrics())
        self.peers = Peers()
        self.evacuations = Evacuations(FAST, SYSTEM_CLOCK)
        self.fetched = []
        self.hand_out = self._newest
        self.follower = TableFollower(
            self.source, self.view, FAST, SYSTEM_CLOCK, NoDraw()
        )
        self.follower.peers = self.peers
        self.companion = Dependency("target list", SYSTEM_CLOCK)
        self.follower.companion = self.companion
        self.follower.evacuations = self.evacuations
        self.follower.watch_eras(self.eras)
        self.follower.fetch_told = self._fetch if can_fetch else None
        self.telling = True

    def _newest(self):
        position = Position(self.source.era, self.source.version)
        return ToldTable(position, self.source.table(), object(), frozenset({"b"}))

    async def _fetch(self, address):
        self.fetched.append(address)
        told = self.hand_out()
        if told is None:
            raise PlatformUnavailableError("busy")
        return told

    async def tell_for_ever(self):
        """Tell the host what a reader has read, as a reader does."""
        while True:
            if self.telling:
                await self.tell()
            await curio.sleep(0.02)

    async def tell(self, **fields):
        """Tell the host once."""
        version = self.source.version
        values = {"offset": version, "version": version, "era": self.source.era}
        await self.follower.hear(at(**(values | fields)), READER)

    async def until_version(self, version):
        """Wait until a version is in force."""
        await until(lambda: self.view.table.version >= version)


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await curio.sleep(0.002)


def run(test, era=1, **fields):
    """Run an async test with a `Host` that is spared by a reader."""

    async def main():
        host = Host(**fields)
        host.source.era = era
        await host.eras.note(era, told_by="source")
        running = await curio.spawn(host.follower.run)
        telling = await curio.spawn(host.tell_for_ever)
        try:
            async with curio.timeout_after(HANG_S):
                await until(lambda: host.view.table is not None)
                # The read that waits ends, and the next one is spared.
                host.source.version += 1
                await host.until_version(2)
                await until(lambda: not host.follower._has_answer)
                return await test(host)
        finally:
            await telling.cancel()
            await running.cancel()

    return curio.run(main)


@pytest.mark.parametrize("era", [1, None])
def test_spared_host_takes_changes_from_a_reader_without_a_read(era):
    """Guards against a call for each host and change."""

    async def test(host):
        before = host.source.reads
        for version in (3, 4, 5):
            host.source.version = version
            await host.until_version(version)
        await curio.sleep(2 * FAST.table_word_s)
        assert host.follower.is_spared()
        assert host.source.reads == before
        assert host.source.taken[-1] == 5
        assert host.evacuations.is_evacuated("b")

    run(test, era=era)


@pytest.mark.parametrize("era", [1, None])
def test_evacuation_is_in_force_before_the_configuration_is_taken(era):
    """Guards against an evacuation that waits for the pauses between two takings."""

    async def test(host):
        host.telling = False
        host.hand_out = lambda: None
        host.source.version = 4
        for offset, domains in ((4, {"c"}), (3, {"b"})):
            told = EvacuationStatement(Position(era, offset), domains)
            host.peers.state = HostState(offset, True, {}, evacuations=told)
            await host.tell(offset=offset, version=offset)
        # The later datagram of a reader that is less far takes nothing back.
        assert host.evacuations.domains() == {"c"}

    run(test, era=era)


@pytest.mark.parametrize("told", [1, "unreadable"])
def test_host_of_a_source_that_begins_to_report_an_era_reads_anew(told):
    """Guards against positions without an era after the source may have gone back."""

    async def test(host):
        before = host.source.reads
        if told == "unreadable":
            host.eras.note_unreadable()
        else:
            await host.tell(era=told)
        assert not host.follower.is_spared()
        await until(lambda: host.source.reads > before)
        host.peers.is_reader = True
        host.source.version = 3
        await host.until_version(3)
        assert host.follower.statement() is None
        assert host.follower.position() is None

    run(test, era=None)


def test_spared_host_reads_once_where_no_reader_hands_out():
    """Guards against a change that stays unknown, or is read over and over."""

    async def test(host):
        before = host.source.reads
        host.source.version = 3
        await host.until_version(3)
        await until(host.follower.is_spared)
        await curio.sleep(0.1)
        return host.source.reads - before

    assert run(test, can_fetch=False) == 1


@pytest.mark.parametrize("case", ["busy", "older version", "behind", "other era"])
def test_host_reads_itself_when_a_reader_hands_out_nothing_of_use(case):
    """Guards against older state, and against a change that no reader hands out."""

    async def test(host):
        older = RouteTable(1, [], [], None, None)
        newest = host.source.table()
        host.hand_out = {
            "busy": lambda: None,
            "older version": lambda: ToldTable(Position(1, 3), older, None, ()),
            "behind": lambda: ToldTable(Position(1, 2), newest, None, ()),
            "other era": lambda: ToldTable(Position(2, 3), newest, None, ()),
        }[case]
        host.source.version = 3
        await host.until_version(3)
        assert host.source.taken == []
        assert host.view.table.version == 3

    run(test)


def test_silent_readers_are_replaced_by_an_own_read():
    """Guards against a change that is unknown while readers are gone."""

    async def test(host):
        host.telling = False
        await until(lambda: not host.follower.is_spared())
        host.source.version = 3
        await host.until_version(3)
        assert host.fetched == []

    run(test)


def test_host_that_becomes_a_reader_asks_before_it_tells():
    """Guards against hosts that rely on a reader which the source turns away."""

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


def test_reader_tells_its_domain_of_a_change_at_once():
    """Guards against a change that waits for the next regular news."""

    async def test(host):
        host.peers.is_reader = True
        await until(lambda: host.follower.statement() is not None)
        before = host.peers.told
        host.source.version = 3
        await host.until_version(3)
        await until(lambda: host.peers.told == before + 1)

    run(test)


def test_spared_host_reads_anew_in_a_new_era():
    """Guards against positions of lost records after a restore of the source."""

    async def test(host):
        before = host.source.reads
        host.telling = False
        host.source.era = 2
        host.source.version = 1
        await host.eras.note(2, told_by="peer")
        await until(lambda: host.source.reads > before)

    run(test)


def test_word_of_a_later_era_alone_makes_a_host_read_anew():
    """Guards against a restore that only a reader has noticed."""

    async def test(host):
        before = host.source.reads
        host.telling = False
        await host.tell(era=2, offset=1)
        await until(lambda: host.source.reads > before)
        assert host.source.taken == []

    run(test)


def test_read_again_reaches_a_host_that_is_spared():
    """Guards against a host that knows of a newer version and does not ask for it."""

    async def test(host):
        before = host.source.reads
        await host.follower.read_again()
        await until(lambda: host.source.reads == before + 1)
        await until(host.follower.is_spared)

    run(test)


def test_spared_host_does_not_ask_in_an_outage():
    """Guards against calls of all hosts as soon as readers fall silent."""

    async def test(host):
        before = host.source.reads
        host.companion.failed(PlatformUnavailableError("away"))
        host.telling = False
        await curio.sleep(3 * FAST.table_word_s)
        assert host.source.reads == before
        host.source.version = 3
        host.companion.answered()
        await host.follower.read_again()
        await host.until_version(3)
        # One that is answered at once, and perhaps one that waits already.
        assert host.source.reads <= before + 2

    run(test)


def test_reader_asks_less_often_while_another_use_shows_the_outage():
    """Guards against two calls in each interval of an outage, of each reader."""

    async def test(host):
        host.peers.is_reader = True
        await until(lambda: host.follower.statement() is not None)
        host.companion.failed(PlatformUnavailableError("away"))
        host.source.is_away = True
        await until(lambda: host.follower.dependency.failure_count == 3)
        before = host.source.reads
        # Waits of 0.02 s, 0.04 s, 0.08 s, 0.16 s, ...
        await curio.sleep(10 * FAST.source_retry_s)
        assert host.source.reads - before <= 2
        host.source.is_away = False
        await host.follower.read_again()
        await until(lambda: host.follower.statement() is not None)

    run(test)


def test_age_of_a_spared_host_is_that_of_its_reader():
    """Guards against routes that count as confirmed by a reader that knows nothing."""

    async def test(host):
        host.telling = False
        await host.tell(age_s=0.0)
        young_s = host.follower.dependency.age_s()
        await curio.sleep(0.1)
        await host.tell(age_s=5.0)
        return young_s, host.follower.dependency.age_s()

    young_s, later_s = run(test)
    assert young_s < 0.1 <= later_s < 5.0


def test_setting_has_each_host_read_for_itself():
    """Guards against a switch that does not switch."""

    async def main():
        host = Host()
        values = {"table_readers_per_domain": 0}
        settings = FAST.with_values(**values)
        host.follower = TableFollower(
            host.source, host.view, settings, SYSTEM_CLOCK, NoDraw()
        )
        host.follower.peers = host.peers
        task = await curio.spawn(host.follower.run)
        await until(lambda: host.view.table is not None)
        await host.tell()
        assert not host.follower.is_spared()
        assert host.follower.statement() is None
        await task.cancel()

    curio.run(main)
