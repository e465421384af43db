"""When a reader relies on announcements of readers of other failure domains."""

import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import ServedTargets
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
    """Peers of other failure domains, whose reader may be the first one."""

    def __init__(self, is_first):
        super().__init__(reader=True)
        self.is_first = is_first
        self.far_announcements = []

    def is_first_reader(self):
        """Return whether this host is the first of all readers."""
        return self.is_first

    async def send_listing(self, listing):
        """Record an announcement."""
        self.far_announcements.append(listing)


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


def test_first_reader_reads_at_its_interval_and_notifies_the_others():
    """Guards against readers that all wait for one another."""

    async def test(following):
        await until(lambda: following.far.far_announcements)
        assert following.due_in_s() == pytest.approx(SETTINGS.target_interval_s)
        assert following.far.far_announcements[0].position == following.source.position

    run_far(test, is_first=True)


def test_other_reader_forwards_the_announcement_of_the_first():
    """Guards against a reader that skips its reads and announces nothing."""

    async def test(following):
        await until(lambda: following.peers.announcement_count == 2)
        following.clock.advance(0.9)
        await following.follower.hear_far(same_list(following, age_s=0.1))
        assert following.due_in_s() == pytest.approx(BACKUP_S - 0.1)
        assert following.follower.statement().age_s == pytest.approx(0.1)
        assert following.peers.announcement_count == 3
        # Neither the same announcement again nor an older one is forwarded.
        await following.follower.hear_far(same_list(following, age_s=0.1))
        await following.follower.hear_far(same_list(following, age_s=0.5))
        assert following.peers.announcement_count == 3
        return following.source.reads

    assert run_far(test) == 2


def test_other_reader_reads_before_its_domain_does():
    """Guards against simultaneous reads of all hosts when the first reader fails."""

    async def test(following):
        assert following.due_in_s() == pytest.approx(BACKUP_S)
        assert SETTINGS.target_age_limit_s > BACKUP_S

    run_far(test)


def test_host_that_is_no_reader_forwards_nothing():
    """Guards against each host of a failure domain sending to all others."""

    async def test(following):
        following.clock.advance(0.9)
        await following.follower.hear_far(same_list(following, age_s=0.1))
        assert following.peers.announcement_count == 0
        left_s = SETTINGS.target_age_limit_s - 0.1
        assert following.due_in_s() == pytest.approx(left_s)

    run_far(test, reader=False)


def test_different_list_of_a_far_reader_triggers_a_read_and_is_not_forwarded():
    """Guards against further requests to a target that leaves."""

    async def test(following):
        before = following.peers.announcement_count
        following.source.position = later_position(following.source.position, 1)
        await following.follower.hear_far(
            ListStatement(following.source.position, 5, 0.0)
        )
        assert following.peers.announcement_count == before
        await until(lambda: following.source.reads == 3)

    run_far(test)


@pytest.mark.parametrize("is_served", [True, False])
def test_changed_list_is_fetched_from_the_far_reader_and_announced(is_served):
    """Guards against a read by each failure domain for each change of a target."""

    async def test(following):
        asked = []
        position = later_position(following.source.position, 1)

        async def fetch(address):
            asked.append(address)
            if not is_served:
                raise PlatformUnavailableError("busy")
            return ServedTargets(position, 0.1, [entry("i-2")])

        following.follower.fetch_served = fetch
        following.source.take_told = lambda served: None
        following.source.position = position
        before = following.peers.announcement_count
        await following.follower.hear_far(ListStatement(position, 5, 0.0), FIRST)
        await until(lambda: following.peers.announcement_count == before + 1)
        assert asked == [FIRST]
        assert following.follower.statement().position.offset == position.offset
        if is_served:
            assert following.follower.statement().age_s == pytest.approx(0.1)
            assert following.due_in_s() == pytest.approx(BACKUP_S - 0.1)
            assert ids(following.targets.serving("app")) == ["i-2"]
        return following.source.reads

    assert run_far(test) == (2 if is_served else 3)


def test_far_announcement_of_an_earlier_era_confirms_nothing():
    """Guards against relying on a list from before a restore of the source."""

    async def test(following):
        await following.follower._eras.note(1, told_by="source")
        own = following.follower.statement()
        before = following.peers.announcement_count
        earlier = ListStatement(Position(0, 500), own.digest, 0.0)
        await following.follower.hear_far(earlier)
        assert following.peers.announcement_count == before

    run_far(test)


def test_far_announcement_from_before_a_stop_is_not_forwarded():
    """Guards against a stopped reader that forwards an outdated age."""

    async def test(following):
        before = following.peers.announcement_count
        following.clock.advance(5.0)
        await following.follower.hear_far(same_list(following, age_s=0.0))
        assert following.peers.announcement_count == before
        assert following.follower._next_read.passed()

    run_far(test)
