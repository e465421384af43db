"""When the reader of a failure domain takes the word of another domain's reader."""

import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import ToldTargets
from siskinthread.gateway.tests.parts import entry, ids, SETTINGS
from siskinthread.gateway.tests.test_target_following import (
    FakePeers,
    later_position,
    run,
    same_list,
    until,
)
from siskinthread.peer_news import ListStatement
from siskinthread.settings import Address
from siskinthread.source_eras import Position

FIRST = Address("10.0.0.1", 1)
BACKUP_S = (SETTINGS.target_interval_s + SETTINGS.target_age_limit_s) / 2


class FarPeers(FakePeers):
    """Peers of other failure domains, one of which may read first."""

    def __init__(self, is_first):
        super().__init__(reader=True)
        self.is_first = is_first
        self.told_far = []

    def is_first_reader(self):
        """Return whether no other failure domain's reader goes before."""
        return self.is_first

    async def tell_far_readers(self, listing):
        """Note what is told."""
        self.told_far.append(listing)


def run_far(test, is_first=False, reader=True):
    """Run a test with a follower that shares reads with other failure domains."""

    async def main(following):
        peers = FarPeers(is_first)
        following.follower.far_peers = peers
        following.far = peers
        following.peers.reader_address = lambda: None
        following.clock.advance(SETTINGS.target_age_limit_s + 0.01)
        await following.follower._woken.set()
        await until(lambda: following.source.reads == 2)
        return await test(following)

    return run(main, reader=reader)


def test_first_reader_reads_at_its_interval_and_tells_the_others():
    """Guards against readers that all wait for one another."""

    async def test(following):
        await until(lambda: following.far.told_far)
        assert following.due_in_s() == pytest.approx(SETTINGS.target_interval_s)
        assert following.far.told_far[0].position == following.source.position

    run_far(test, is_first=True)


def test_other_reader_passes_the_word_of_the_first_on():
    """Guards against hosts whose reader is spared its reads and tells them nothing."""

    async def test(following):
        await until(lambda: following.peers.told == 2)
        following.clock.advance(0.9)
        await following.follower.hear_far(same_list(following, age_s=0.1))
        assert following.due_in_s() == pytest.approx(BACKUP_S - 0.1)
        assert following.follower.statement().age_s == pytest.approx(0.1)
        assert following.peers.told == 3
        # The same word again, and an older one, are nothing new to its domain.
        await following.follower.hear_far(same_list(following, age_s=0.1))
        await following.follower.hear_far(same_list(following, age_s=0.5))
        assert following.peers.told == 3
        return following.source.reads

    assert run_far(test) == 2


def test_other_reader_reads_before_its_domain_does():
    """Guards against all hosts reading at once when the first reader stays out."""

    async def test(following):
        assert following.due_in_s() == pytest.approx(BACKUP_S)
        assert SETTINGS.target_age_limit_s > BACKUP_S

    run_far(test)


def test_host_that_is_no_reader_passes_nothing_on():
    """Guards against each host of a failure domain telling all others."""

    async def test(following):
        following.clock.advance(0.9)
        await following.follower.hear_far(same_list(following, age_s=0.1))
        assert following.peers.told == 0
        left_s = SETTINGS.target_age_limit_s - 0.1
        assert following.due_in_s() == pytest.approx(left_s)

    run_far(test, reader=False)


def test_other_list_of_a_far_reader_is_read_and_not_passed_on():
    """Guards against a target that leaves and goes on getting requests."""

    async def test(following):
        told = following.peers.told
        following.source.position = later_position(following.source.position, 1)
        await following.follower.hear_far(
            ListStatement(following.source.position, 5, 0.0)
        )
        assert following.peers.told == told
        await until(lambda: following.source.reads == 3)

    run_far(test)


@pytest.mark.parametrize("is_handed_out", [True, False])
def test_changed_list_is_taken_from_the_far_reader_and_passed_on(is_handed_out):
    """Guards against a read of each failure domain for each change of a target."""

    async def test(following):
        asked = []
        position = later_position(following.source.position, 1)

        async def fetch(address):
            asked.append(address)
            if not is_handed_out:
                raise PlatformUnavailableError("busy")
            return ToldTargets(position, 0.1, [entry("i-2")])

        following.follower.fetch_told = fetch
        following.source.take_told = lambda told: None
        following.source.position = position
        told = following.peers.told
        await following.follower.hear_far(ListStatement(position, 5, 0.0), FIRST)
        await until(lambda: following.peers.told == told + 1)
        assert asked == [FIRST]
        assert following.follower.statement().position.offset == position.offset
        if is_handed_out:
            assert following.follower.statement().age_s == pytest.approx(0.1)
            assert following.due_in_s() == pytest.approx(BACKUP_S - 0.1)
            assert ids(following.targets.serving("app")) == ["i-2"]
        return following.source.reads

    assert run_far(test) == (2 if is_handed_out else 3)


def test_far_word_of_an_earlier_era_confirms_nothing():
    """Guards against the list of before a restore."""

    async def test(following):
        await following.follower._eras.note(1, told_by="source")
        own = following.follower.statement()
        told = following.peers.told
        earlier = ListStatement(Position(0, 500), own.digest, 0.0)
        await following.follower.hear_far(earlier)
        assert following.peers.told == told

    run_far(test)


def test_far_word_of_before_a_freeze_is_not_passed_on():
    """Guards against a stopped reader that makes old news young for its domain."""

    async def test(following):
        told = following.peers.told
        following.clock.advance(5.0)
        await following.follower.hear_far(same_list(following, age_s=0.0))
        assert following.peers.told == told
        assert following.follower._next_read.passed()

    run_far(test)
