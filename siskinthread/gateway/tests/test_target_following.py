"""When a host reads the target list, and when it takes a peer's word."""

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import TargetChange
from siskinthread.gateway._dependency import Dependency
from siskinthread.gateway._target_following import TargetFollower
from siskinthread.gateway._target_list import TargetList
from siskinthread.gateway.tests.parts import clock, entry, ids, SETTINGS
from siskinthread.observability import Metrics
from siskinthread.peer_news import ListStatement
from siskinthread.source_eras import EraWatch, Position

HANG_S = 10.0


class FakeSource:
    """A list that counts its reads."""

    def __init__(self):
        # Whether each listed target leaves.
        self.listed = {"i-1": False, "i-2": False}
        self.position = Position(1, 10)
        self.reads = 0
        self.is_away = False

    async def read_all(self):
        """Return the whole list."""
        self._count()
        return self._entries(), self.position

    async def read_changes(self, position):
        """Return every entry as changed."""
        self._count()
        changes = [TargetChange(one.listed_id, one) for one in self._entries()]
        return changes, self.position

    def _entries(self):
        return [entry(key, is_leaving=leaves) for key, leaves in self.listed.items()]

    def _count(self):
        self.reads += 1
        if self.is_away:
            raise PlatformUnavailableError("away")


class FakePeers:
    """Peers of which one may read for others."""

    def __init__(self, reader):
        self.reader = reader
        self.told = 0

    def is_reader(self):
        """Return whether this host reads for others."""
        return self.reader

    def is_first_of_domain(self):
        """Return whether this host asks again first."""
        return self.reader

    async def tell_domain(self):
        """Count."""
        self.told += 1


async def no_reaction():
    """Stand for what is done when the source answers again."""


class Following:
    """A follower that has read once, and its parts."""

    def __init__(self, reader=False):
        self.clock = clock()
        self.source = FakeSource()
        self.targets = TargetList(SETTINGS, self.clock)
        self.eras = EraWatch(Metrics())
        self.follower = TargetFollower(
            self.source, self.targets, SETTINGS, self.clock, self.eras, no_reaction
        )
        self.follower.peers = self.peers = FakePeers(reader)

    def due_in_s(self):
        """Return the time until the next read."""
        return self.follower._next_read.left_s()


def run(test, reader=False):
    """Run an async test with a `Following` that has read once."""

    async def main():
        following = Following(reader)
        task = await curio.spawn(following.follower.run)
        await until(lambda: following.follower.statement() is not None)
        try:
            return await curio.timeout_after(HANG_S, test, following)
        finally:
            await task.cancel()

    return curio.run(main)


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await curio.sleep(0.002)


def later_position(position, count):
    """Return the position some records behind another one."""
    return Position(position.era, position.offset + count)


def same_list(following, age_s):
    """Return what a peer says that has read the same list further on."""
    own = following.follower.statement()
    return ListStatement(later_position(own.position, 50), own.digest, age_s)


def test_read_is_put_off_once_a_reader_was_heard_of():
    """Guards against a second read of each host of a fleet that starts at once."""

    async def test(following):
        following.peers.reader = False
        following.clock.advance(SETTINGS.target_interval_s + 0.01)
        await following.follower._woken.set()
        left_s = SETTINGS.target_age_limit_s - SETTINGS.target_interval_s - 0.01
        await until(lambda: following.due_in_s() == pytest.approx(left_s))
        assert following.source.reads == 1
        following.clock.advance(left_s + 0.001)
        await following.follower._woken.set()
        await until(lambda: following.source.reads == 2)

    run(test, reader=True)


def test_reader_reads_at_its_interval_and_tells_its_domain():
    """The host that reads for others takes nobody's word."""

    async def test(following):
        assert following.due_in_s() == pytest.approx(SETTINGS.target_interval_s)
        await until(lambda: following.peers.told == 1)

    run(test, reader=True)


def test_word_of_a_peer_spares_a_read():
    """A host that hears of the same list reads when that news is too old."""

    async def test(following):
        following.clock.advance(1.0)
        await following.follower.hear(same_list(following, age_s=0.1))
        left_s = SETTINGS.target_age_limit_s - 0.1
        assert following.due_in_s() == pytest.approx(left_s)
        assert following.follower.statement().position.offset == 60
        return following.source.reads

    assert run(test) == 1


def test_host_reads_when_it_hears_nothing():
    """Symptom: requests go to a target that left seconds ago.

    Events: the host that reads for a domain loses its power.
    """

    async def test(following):
        assert following.due_in_s() == pytest.approx(SETTINGS.target_age_limit_s)
        following.clock.advance(SETTINGS.target_age_limit_s + 0.01)
        await following.follower._woken.set()
        await until(lambda: following.source.reads == 2)

    run(test)


def test_other_list_of_a_peer_makes_a_host_read_at_once():
    """A target starts to leave; the reader's next news has another digest."""

    async def test(following):
        following.source.listed["i-1"] = True
        following.source.position = Position(1, 11)
        await following.follower.hear(ListStatement(Position(1, 11), 5, 0.0))
        await until(lambda: ids(following.targets.serving("app")) == ["i-2"])

    run(test)


def test_older_list_of_a_peer_means_nothing():
    """A peer that is behind has another digest too."""

    async def test(following):
        await following.follower.hear(ListStatement(Position(1, 9), 5, 0.0))
        await curio.sleep(0.02)
        position = following.follower.statement().position
        return following.source.reads, position.offset

    assert run(test) == (1, 10)


def test_news_of_before_a_freeze_do_not_put_a_read_off():
    """Symptom: requests go to a target that left while this process was stopped.

    Events: the process is stopped for seconds; news wait in its socket, and each of
    them says that it is young.
    """

    async def test(following):
        following.clock.advance(5.0)
        await following.follower.hear(same_list(following, age_s=0.0))
        assert following.follower._next_read.passed()

    run(test)


def test_what_a_target_itself_has_said_is_not_in_the_digest():
    """Symptom: hosts read the list at every news, as their digests differ.

    Events: one of them has been told by a target's answer that it leaves.
    """

    async def test(following):
        before = following.follower.statement().digest
        following.targets.note_leaving("i-1", told_by="its answer")
        following.clock.advance(SETTINGS.target_age_limit_s + 0.01)
        await following.follower._woken.set()
        await until(lambda: following.source.reads == 2)
        await curio.sleep(0.01)
        return before == following.follower.statement().digest

    assert run(test)


def test_entries_that_are_not_first_ask_less_often_in_an_outage():
    """Symptom: calls to the source are the dearest cost of an outage.

    Events: the source is away for seconds, and each of many entries asks it twice a
    second, for the list and for the configuration.
    """
    dependency = Dependency("target list", clock())
    waits_s = {True: [], False: []}
    for _ in range(5):
        dependency.failed(PlatformUnavailableError("away"))
        for is_first, waits in waits_s.items():
            waits.append(dependency.retry_wait_s(SETTINGS, is_first))
    assert waits_s[True] == [SETTINGS.source_retry_s] * 5
    assert waits_s[False][0] == SETTINGS.source_retry_s
    assert waits_s[False][-1] == SETTINGS.source_retry_limit_s
    dependency.answered()
    dependency.failed(PlatformUnavailableError("away"))
    assert dependency.retry_wait_s(SETTINGS, False) == SETTINGS.source_retry_s


def test_lapsed_entries_are_kept_after_the_end_of_an_outage():
    """Symptom: every request is refused for want of a target after an outage.

    Events: the source is back just after a try that failed, the next try comes 2 s
    later, and all entries have lapsed.  Cause: the time for which they are kept was
    reckoned from the last failed try.
    """

    async def test(following):
        following.source.is_away = True
        following.clock.advance(SETTINGS.target_age_limit_s)
        await following.follower._woken.set()
        await until(lambda: following.follower.dependency.is_lost)
        following.clock.advance(SETTINGS.lapse_grace_s + 0.1)
        following.source.is_away = False
        following.source.listed = {}
        following.follower._position = None
        await until(lambda: not following.follower.dependency.is_lost)
        return ids(following.targets.serving("app"))

    assert run(test) == ["i-1", "i-2"]


def test_age_of_the_list_is_that_of_the_newest_confirmation():
    """An own read and a peer's word confirm the list, an older word does not."""

    async def test(following):
        assert following.targets.age_s() == pytest.approx(0.0)
        following.clock.advance(0.7)
        await following.follower.hear(same_list(following, age_s=0.2))
        assert following.targets.age_s() == pytest.approx(0.2)
        await following.follower.hear(same_list(following, age_s=0.5))
        assert following.targets.age_s() == pytest.approx(0.2)

    run(test)
