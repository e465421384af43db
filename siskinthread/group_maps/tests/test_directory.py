"""Tests of the directory of ranks and their groups."""

import curio

from siskinthread.group_maps.tests.fake_group import FakeGroup
from siskinthread.group_maps.tests.test_duty import (
    build,
    CountingClient,
    Entry,
    HOLDINGS,
    RANKS,
    SETTINGS,
)


def test_group_is_known_once_all_its_ranks_are():
    """A group can't be controlled while one of its ranks has not responded."""

    async def main():
        _, directory, _, clients = build(FakeGroup(RANKS))
        entries = [Entry(one) for one in clients]
        clients["i-1"].is_silent = True
        first = await directory.refresh(entries)
        partial = directory.complete_groups()
        clients["i-1"].is_silent = False
        second = await directory.refresh(entries)
        whole = directory.complete_groups()
        return first, partial, second, list(whole["g"])

    first, partial, second, whole = curio.run(main)
    assert (first, partial) == (False, {})
    assert (second, whole) == (True, ["i-0", "i-1"])


def test_rank_whose_entry_has_lapsed_is_remembered_for_a_while():
    """Guards against long passes for 2 s after a failure domain is back.

    Entries of a cut-off domain lapse; its ranks are back and the group re-forms before
    they are listed again.  Without a memory of them the group was incomplete, nobody
    controlled it, and its passes took three times as long.
    """

    async def main():
        _, directory, _, clients = build(FakeGroup(RANKS))
        entries = [Entry(one) for one in clients]
        await directory.refresh(entries)
        await directory.refresh(entries[:1])
        lapsed = list(directory.complete_groups()["g"])
        await curio.sleep(SETTINGS.lost_rank_memory_s + 0.01)
        await directory.refresh(entries[:1])
        return lapsed, directory.complete_groups()

    assert curio.run(main) == (["i-0", "i-1"], {})


def test_lost_rank_is_forgotten_once_another_listens_at_its_address():
    """Guards against orders that are refused for 0.4 s after a rank has restarted.

    A rank crashes and starts as another instance at the same address, and its old entry
    lapses.  Orders still named the old instance, which is remembered.
    """

    async def main():
        group = FakeGroup(RANKS)
        _, directory, _, clients = build(group)
        await directory.refresh([Entry(one) for one in clients])
        clients["i-7"] = CountingClient(group, 1, HOLDINGS)
        clients["i-7"].is_silent = True
        await directory.refresh([Entry("i-0"), Entry("i-7", port=1)])
        return directory.complete_groups()

    assert curio.run(main) == {}


def test_successor_takes_the_place_of_a_lost_rank():
    """A replaced rank gets no more queries once its successor is known."""

    async def main():
        group = FakeGroup(RANKS)
        _, directory, _, clients = build(group)
        await directory.refresh([Entry(one) for one in clients])
        clients["i-2"] = CountingClient(group, 1, HOLDINGS)
        await directory.refresh([Entry("i-0"), Entry("i-2")])
        return list(directory.complete_groups()["g"])

    assert curio.run(main) == ["i-0", "i-2"]


def test_places_that_a_peer_knows_are_not_asked_for():
    """Guards against 19,000 queries to ranks before the first request.

    99 entries start, and each queries each of 192 ranks for its place.
    """

    async def main():
        _, directory, _, clients = build(FakeGroup(RANKS))
        entries = [Entry(one) for one in clients]
        await directory.refresh(entries)
        _, follower, _, silent = build(FakeGroup(RANKS))
        for client in silent.values():
            client.is_silent = True
        before = await follower.refresh(entries, may_query=False)
        follower.learn(follower.unknown(entries), directory.places())
        after = await follower.refresh(entries)
        return before, after, list(follower.complete_groups()["g"])

    before, after, whole = curio.run(main)
    assert (before, after) == (False, True)
    assert whole == ["i-0", "i-1"]
