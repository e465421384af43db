"""When a host reads the target list, and when announcements of peers spare a read."""

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
    """A source of the list that counts its reads."""

    def __init__(self):
        # Whether each listed target is leaving.
        self.listed = {"i-1": False, "i-2": False}
        self.position = Position(1, 10)
        self.reads = 0
        self.is_away = False

    async def read_all(self):
        """Return the complete list."""
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
    """Peers of a host that may be the reader of its failure domain."""

    def __init__(self, reader):
        self.reader = reader
        self.announcement_count = 0

    def is_reader(self):
        """Return whether this host is the reader."""
        return self.reader

    def is_first_of_domain(self):
        """Return whether this host retries first."""
        return self.reader

    async def send_to_domain(self):
        """Count an announcement."""
        self.announcement_count += 1


async def no_reaction():
    """Do nothing when the source answers again."""


class Following:
    """A follower and the objects that it depends on."""

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
    """Wait until a condition is true."""
    while not condition():
        await curio.sleep(0.002)


def later_position(position, count):
    """Return the position `count` records after another one."""
    return Position(position.era, position.offset + count)


def same_list(following, age_s):
    """Return the statement of a peer with the same list at a later position."""
    own = following.follower.statement()
    return ListStatement(later_position(own.position, 50), own.digest, age_s)


def test_read_is_postponed_once_a_reader_is_known():
    """Guards against a second read by each host of a fleet that starts at once."""

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


def test_reader_reads_at_its_interval_and_notifies_its_domain():
    """The reader does not rely on announcements."""

    async def test(following):
        assert following.due_in_s() == pytest.approx(SETTINGS.target_interval_s)
        await until(lambda: following.peers.announcement_count == 1)

    run(test, reader=True)


def test_announcement_of_a_peer_postpones_a_read():
    """A host whose list is confirmed reads when the confirmation is too old."""

    async def test(following):
        following.clock.advance(1.0)
        await following.follower.hear(same_list(following, age_s=0.1))
        left_s = SETTINGS.target_age_limit_s - 0.1
        assert following.due_in_s() == pytest.approx(left_s)
        assert following.follower.statement().position.offset == 60
        return following.source.reads

    assert run(test) == 1


def test_host_reads_without_announcements():
    """Guards against requests to a target that left seconds ago.

    The reader of a failure domain loses its power.
    """

    async def test(following):
        assert following.due_in_s() == pytest.approx(SETTINGS.target_age_limit_s)
        following.clock.advance(SETTINGS.target_age_limit_s + 0.01)
        await following.follower._woken.set()
        await until(lambda: following.source.reads == 2)

    run(test)


def test_different_list_of_a_peer_triggers_a_read():
    """A target begins to leave; the reader's next announcement has another digest."""

    async def test(following):
        following.source.listed["i-1"] = True
        following.source.position = Position(1, 11)
        await following.follower.hear(ListStatement(Position(1, 11), 5, 0.0))
        await until(lambda: ids(following.targets.serving("app")) == ["i-2"])

    run(test)


def test_older_list_of_a_peer_is_ignored():
    """A peer that is behind also has a different digest."""

    async def test(following):
        await following.follower.hear(ListStatement(Position(1, 9), 5, 0.0))
        await curio.sleep(0.02)
        position = following.follower.statement().position
        return following.source.reads, position.offset

    assert run(test) == (1, 10)


def test_announcements_from_before_a_stop_do_not_postpone_a_read():
    """Guards against requests to a target that left while this process was stopped.

    The process is stopped for seconds; datagrams in its socket state outdated ages.
    """

    async def test(following):
        following.clock.advance(5.0)
        await following.follower.hear(same_list(following, age_s=0.0))
        assert following.follower._next_read.passed()

    run(test)


def test_departure_announced_in_an_answer_does_not_change_the_digest():
    """Guards against a read of the list at every announcement.

    The digests of hosts differ if only one of them got an answer of a leaving target.
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


def test_entries_that_are_not_first_back_off_in_an_outage():
    """Guards against a high number of billed calls in an outage.

    While the source is unavailable, each of many entries calls it twice a second, for
    the list and for the configuration.
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


def test_expired_entries_are_kept_after_the_end_of_an_outage():
    """Guards against refusing all requests for want of a target after an outage.

    The source recovers just after a failed call, the next call follows 2 s later, and
    all entries have expired; the grace period was counted from the last failed call.
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
    """The age of the list ignores confirmations that are older than the newest one."""

    async def test(following):
        assert following.targets.age_s() == pytest.approx(0.0)
        following.clock.advance(0.7)
        await following.follower.hear(same_list(following, age_s=0.2))
        assert following.targets.age_s() == pytest.approx(0.2)
        await following.follower.hear(same_list(following, age_s=0.5))
        assert following.targets.age_s() == pytest.approx(0.2)

    run(test)
