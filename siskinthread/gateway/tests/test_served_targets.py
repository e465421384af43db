"""When a host fetches the target list from the reader of its failure domain."""

import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import ServedTargets
from siskinthread.gateway.tests.parts import entry, ids, SETTINGS
from siskinthread.gateway.tests.test_target_following import later_position, run, until
from siskinthread.peer_news import ListStatement
from siskinthread.settings import Address
from siskinthread.source_eras import Position

READER = Address("10.0.0.1", 1)


class Reader:
    """The reader of a failure domain, which serves a list."""

    def __init__(self, following):
        self.following = following
        self.asked = 0
        self.served = ServedTargets(
            later_position(following.source.position, 1),
            0.1,
            [entry("i-1", is_leaving=True), entry("i-2")],
        )

    async def fetch(self, address):
        """Return the served list, or fail."""
        assert address == READER
        self.asked += 1
        if self.served is None:
            raise PlatformUnavailableError("busy")
        return self.served

    async def announce(self):
        """Announce a different list at the next position to the host."""
        position = later_position(self.following.source.position, 1)
        await self.following.follower.hear(ListStatement(position, 5, 0.0))


def run_served(test, era=1):
    """Run a test with a host that may fetch the list from a reader."""

    async def main(following):
        if era is None:
            position = Position(None, following.source.position.offset)
            following.source.position = following.follower._position = position
        following.reader = Reader(following)
        following.peers.reader_address = lambda: READER
        following.follower.fetch_served = following.reader.fetch
        following.source.take_told = lambda served: None
        return await test(following)

    return run(main)


def serving(following):
    """Return the ids of the targets that may get requests."""
    return ids(following.targets.serving("app"))


@pytest.mark.parametrize("era", [1, None])
def test_changed_list_is_fetched_from_the_reader(era):
    """Guards against a call by each host for each change of a target."""

    async def test(following):
        await following.reader.announce()
        await until(lambda: serving(following) == ["i-2"])
        left_s = SETTINGS.target_age_limit_s - 0.1
        assert following.due_in_s() == pytest.approx(left_s)
        assert following.follower.statement().position.offset == 11
        return following.source.reads

    assert run_served(test, era=era) == 1


def test_long_list_is_not_fetched_from_a_reader():
    """Guards against a reader that encodes thousands of entries for each host."""

    async def test(following):
        following.follower._settings = SETTINGS.with_values(told_targets_limit=0)
        await following.reader.announce()
        await until(lambda: following.source.reads == 2)

    run_served(test)


@pytest.mark.parametrize("known", [1, "unreadable"])
def test_list_without_an_era_is_rejected_once_an_era_is_known(known):
    """Guards against a list from before a restore, where the era can't be read."""

    async def test(following):
        if known == "unreadable":
            following.eras.note_unreadable()
        else:
            await following.eras.note(known, told_by="peer")
        following.source.position = Position(None, 11)
        await following.reader.announce()
        await until(lambda: following.source.reads == 2)
        assert serving(following) == ["i-1", "i-2"]

    run_served(test, era=None)


def test_host_reads_the_source_when_a_served_report_is_left_out():
    """Guards against a running target that a reader's older report keeps away."""

    async def test(following):
        following.source.take_told = lambda served: served.entries.clear()
        await following.reader.announce()
        await until(lambda: following.source.reads == 2)

    run_served(test)


@pytest.mark.parametrize("case", ["busy", "behind", "other era", "too old"])
def test_host_reads_the_source_when_the_reader_serves_no_valid_list(case):
    """Guards against applying an older list, and against a change that is missed."""

    async def test(following):
        reader, served = following.reader, following.reader.served
        if case == "busy":
            reader.served = None
        elif case == "behind":
            served.position = following.source.position
        elif case == "other era":
            served.position = Position(2, 11)
        else:
            served.age_s = SETTINGS.target_age_limit_s
        following.source.position = Position(1, 11)
        await reader.announce()
        await until(lambda: following.source.reads == 2)
        assert reader.asked == 1
        assert serving(following) == ["i-1", "i-2"]

    run_served(test)


def test_host_reads_the_source_when_its_list_is_too_old():
    """Guards against a host that relies on a reader that has fallen silent."""

    async def test(following):
        following.clock.advance(SETTINGS.target_age_limit_s + 0.01)
        await following.reader.announce()
        await following.follower._woken.set()
        await until(lambda: following.source.reads == 2)
        assert following.reader.asked == 0

    run_served(test)


def test_target_that_the_reader_does_not_list_gets_no_requests():
    """Guards against keeping targets that are gone."""

    async def test(following):
        following.reader.served.entries = [entry("i-2"), entry("i-3")]
        await following.reader.announce()
        await until(lambda: serving(following) == ["i-2", "i-3"])

    run_served(test)
