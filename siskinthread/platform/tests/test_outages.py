"""State of entries while the store refuses the calls of some of them."""

import json

import curio

from siskinthread.gateway import StatusPage
from siskinthread.peer_news import HostState, ListStatement
from siskinthread.platform._snapshots import snapshot_page
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.platform.tests.system import (
    listed,
    published,
    run_system,
    SAFE_PATH,
    status_of,
    until,
)
from siskinthread.settings import Address
from siskinthread.source_eras import Position
from standins._http_server import HttpServer
from standins.platform_store import FIRST_ERA

OTHER = "i-other"
# An offset of the list after all records of the store.
AHEAD = 1000


def peer_handler(system, page):
    """Return the handler of a peer that answers with a page."""

    async def handle(request, exchange):
        assert request.path == "/snapshot"
        await exchange.answer(page.status, page.body)

    return handle


def page_of(system, document, entries, kept_left_s=None, offset=AHEAD):
    """Return the snapshot page of a peer that knows a document and entries.

    The peer keeps some entries for a grace period only, and has read the list up to an
    offset.
    """
    tables = type(system.tables)(None)
    targets = type(system.targets)(None)
    tables.apply([record("config", document)])
    changes = targets.apply([record(key, value) for key, value in entries.items()])
    believed = [change.entry for change in changes]
    listing = ListStatement(Position(FIRST_ERA, offset), 0, 0.0)
    return snapshot_page(tables, believed, kept_left_s or {}, listing)


def record(key, value):
    """Return a record of the store."""
    return KeyedRecord(key, json.dumps(value).encode())


def test_change_withheld_by_the_store_is_read_again():
    """Guards against a revoked key that still passes seconds later.

    The store never answers this host's waiting read, and serves its other calls; a peer
    has the newer version.  The host must read again because of the peer's version.
    """

    async def test(system):
        topic = system.store.topics["keyed.op"]
        await until(lambda: topic.waiting == 1)
        system.store.mode = "deaf"
        await system.store.put("keyed.op", "config", published(2, keys=["new"]))
        # The waiting read has missed the change, and will never be answered.
        await curio.sleep(0.05)
        system.store.mode = "up"
        assert system.gateway.view.table.version == 1
        system.peers.version = 2
        await until(lambda: system.gateway.view.table.version == 2, limit_s=2.0)

    run_system(test, table_wait_s=30.0)


def test_host_refused_by_the_store_learns_from_a_peer():
    """Guards against using a server that has left, and against refusing a new key.

    The store refuses this host for many seconds; meanwhile a key is added and a server
    leaves, and peers know of both.
    """

    async def test(system):
        server = system.servers[0]
        page = page_of(system, published(7, keys=["new"]), {OTHER: listed(server)})
        async with HttpServer(peer_handler(system, page)) as peer:
            system.store.mode = "busy"
            system.peers.informed = [Address(peer.host, peer.port)]
            await until(lambda: system.gateway.view.table.version == 7)
            await until(lambda: len(system.gateway.parts.targets.serving("app")) == 1)
            accepted = await system.request(SAFE_PATH, key="new")
            denied = await system.request(SAFE_PATH, key="never known")
        return status_of(accepted), status_of(denied)

    assert run_system(test) == (200, 401)


def listed_after_a_snapshot(is_kept, offset):
    """Return the servers that a host lists, and those that it should list.

    One of two servers is gone, and a peer that has read the list up to an offset still
    lists both in its snapshot.
    """

    async def test(system):
        gone, other = system.servers
        await system.store.put("keyed.servers", gone.instance_id, None)
        targets = system.gateway.parts.targets
        await until(lambda: len(targets.entries()) == 1)
        entries = {one.instance_id: listed(one) for one in system.servers}
        kept_left_s = {gone.instance_id: 2.0} if is_kept else {}
        page = page_of(system, published(2), entries, kept_left_s, offset)
        async with HttpServer(peer_handler(system, page)) as peer:
            system.store.mode = "busy"
            system.peers.informed = [Address(peer.host, peer.port)]
            await until(lambda: system.gateway.view.table.version == 2)
        return [one.instance_id for one in targets.entries()], [other.instance_id]

    return run_system(test)


def test_gone_server_is_not_relisted_by_a_peer_that_keeps_it():
    """Guards against relisting a gone server that a peer keeps in its grace period."""
    seen, expected = listed_after_a_snapshot(is_kept=True, offset=AHEAD)
    assert seen == expected


def test_gone_server_is_not_relisted_by_a_peer_with_an_older_list():
    """Guards against relisting a gone server from a peer that was just cut off."""
    seen, expected = listed_after_a_snapshot(is_kept=False, offset=2)
    assert seen == expected


def test_server_listed_by_a_peer_only_goes_once_the_store_answers():
    """Guards against a server that stays since the host's own list never had it.

    A server from a peer's snapshot must go once the store's list does not have it.
    """

    async def test(system):
        offset = system.store.topics["keyed.servers"].end
        entries = {OTHER: listed(system.servers[0])}
        page = page_of(system, published(2), entries, offset=offset)
        targets = system.gateway.parts.targets
        async with HttpServer(peer_handler(system, page)) as peer:
            system.store.mode = "busy"
            system.peers.informed = [Address(peer.host, peer.port)]
            await until(lambda: targets.is_serving(OTHER))
            system.peers.informed = []
            system.store.mode = "up"
            await until(lambda: not targets.is_serving(OTHER), limit_s=5.0)
            return len(targets.entries())

    assert run_system(test) == 2


def test_host_refused_at_its_start_serves_by_a_snapshot():
    """Guards against a restarted host that refuses all while the store refuses it."""

    async def test(system):
        page = page_of(system, published(3), {})
        async with HttpServer(peer_handler(system, page)) as peer:
            system.store.mode = "reset"
            system.peers.informed = [Address(peer.host, peer.port)]
            await until(lambda: system.gateway.view.table is not None)
        return status_of(await system.request(SAFE_PATH))

    # The snapshot lists no server, so the refusal is not because of a missing table.
    assert run_system(test, server_count=0) == 503


def test_host_that_starts_in_a_store_outage_serves_by_a_snapshot():
    """Guards against an added host that refuses everything for 6 s.

    The store is unavailable to all hosts; the others continue to serve by their state,
    and none of them is informed.  The new host must ask uninformed peers as well.
    """

    async def test(system):
        page = page_of(system, published(3), {OTHER: listed(system.servers[0])})
        async with HttpServer(peer_handler(system, page)) as peer:
            system.peers.serving = [Address(peer.host, peer.port)]
            await until(lambda: system.gateway.parts.targets.entries())
            served = await system.request(SAFE_PATH)
            denied = await system.request(SAFE_PATH, key="unknown here")
        return status_of(served), status_of(denied)

    # The state of an uninformed peer does not prove that a key is unknown.
    assert run_system(test, first_mode="reset") == (200, 503)


def test_unreadable_snapshot_changes_nothing():
    """A malformed snapshot is ignored."""

    async def test(system):
        page = StatusPage(200, b'{"config": 5}')
        async with HttpServer(peer_handler(system, page)) as peer:
            system.store.mode = "busy"
            system.peers.informed = [Address(peer.host, peer.port)]
            follower = system.gateway._snapshot_follower
            await until(lambda: follower.dependency.is_lost)
        return status_of(await system.request(SAFE_PATH))

    assert run_system(test) == 200


def test_snapshot_with_nothing_new_is_not_fetched():
    """Guards against snapshots that fill the links of entry hosts.

    The store refuses a third of the hosts for 9 s, with a configuration of half a
    megabyte. Each of them would fetch all of it from a peer every 0.4 s, unless it
    compares the version and the list position in the peer's messages first.
    """

    async def test(system):
        page = page_of(system, published(7), {OTHER: listed(system.servers[0])})
        asked = []

        async def serve(request, exchange):
            asked.append(request.path)
            await peer_handler(system, page)(request, exchange)

        async with HttpServer(serve) as peer:
            system.store.mode = "busy"
            system.peers.state = HostState(
                7, True, {}, ListStatement(Position(1, 5), 99, 0.1)
            )
            system.peers.informed = [Address(peer.host, peer.port)]
            await until(lambda: system.gateway.view.table.version == 7)
            await curio.sleep(0.4)
            once = len(asked)
            system.peers.state = HostState(
                7, True, {}, ListStatement(Position(1, 6), 100, 0.1)
            )
            await until(lambda: len(asked) > once)
            await curio.sleep(0.2)
            return once, len(asked)

    assert run_system(test) == (1, 2)
