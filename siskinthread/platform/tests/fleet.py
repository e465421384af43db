"""Several entries before servers that end under some requests, in one process."""

import random
from contextlib import asynccontextmanager, AsyncExitStack

import curio

from siskinthread.gateway import Gateway, GatewaySettings
from siskinthread.observability import Metrics
from siskinthread.peer_news import PeerGossip, PeerGossipSettings
from siskinthread.platform._sources import ListedTargets, PublishedTables
from siskinthread.platform._store import StoreClient
from siskinthread.platform._stored_suspects import StoredSuspects
from siskinthread.platform._wire import PlatformWire
from siskinthread.platform.tests.system import (
    fetch_peer_snapshot,
    KEY,
    listed,
    published,
    read_response,
    request_bytes,
    until,
)
from siskinthread.poison_requests import PoisonSettings
from siskinthread.settings import Address
from siskinthread.source_eras import EraWatch
from siskinthread.timing import SYSTEM_CLOCK
from standins import platform_behaviours as faults
from standins._http_server import HttpServer
from standins.platform_server import PlatformServerStandin
from standins.platform_store import PlatformStoreStandin

HANG_S = 60.0
LOOPBACK = "127.0.0.1"
NOWHERE = Address(LOOPBACK, 1)
POISON = b"ends each server that runs it"
STREAM_MARK = "/stream/"
RESTART_AFTER_S = 0.2
STORE_WAIT_S = 0.3
OTHER_KEY = "qx7r2mzz81bd0ahwvfty"
TENANTS = [
    {"name": "hule930", "api_keys": [KEY], "priority": 1},
    {"name": "nymi844", "api_keys": [OTHER_KEY], "priority": 1},
]
GATEWAY_SETTINGS = GatewaySettings(
    target_interval_s=0.05,
    target_age_limit_s=0.1,
    source_retry_s=0.02,
    table_wait_s=5.0,
    table_pause_s=0.02,
    snapshot_interval_s=0.05,
    watch_interval_s=0.01,
    balancer_notice_s=0.05,
    ejection_s=0.2,
    # No pause, so that the limit of ends is reached within a test.
    poison=PoisonSettings(pause_s=0.0),
)
GOSSIP_SETTINGS = PeerGossipSettings(interval_s=0.02, quiet_interval_s=0.1)


async def serve_or_end(server, request, client):
    """Serve requests, but end the server under the first account's poison."""
    if request.body == POISON and request.headers["x-tenant"] == TENANTS[0]["name"]:
        return await faults.crash_during_request(server, request, client)
    if STREAM_MARK in request.line:
        return await faults.stream(1, 5, gap_s=0.01)(server, request, client)
    return await faults.answer_whole(server, request, client)


class Entry:
    """One entry host.

    Parameters
    ----------
    fleet : Fleet
        Store, servers and settings that all entries share.
    gossip_address : siskinthread.settings.Address
        UDP address on which it receives messages.
    is_isolated : bool
        Whether it is isolated from the gossip of the others.

    Attributes
    ----------
    suspects_address : siskinthread.settings.Address
        Address of the store for requests under which servers end.
    tables, targets : object
        Its sources, `PublishedTables` and `ListedTargets`.
    gossip_address : siskinthread.settings.Address
        UDP address on which it receives messages.
    """

    def __init__(self, fleet, gossip_address, is_isolated):
        self._fleet = fleet
        # Entries with equal seeds would act at the same moment where they should
        # spread.
        self._random = random.Random(len(fleet.entries))
        self.gossip_address = gossip_address
        self._tasks = []
        self.gateway = None
        self.address = None
        self.tables = None
        self.targets = None
        self._first_peers = [] if is_isolated else fleet.gossip_addresses[:1]
        self.suspects_address = fleet.store_address

    async def start(self):
        """Start a process without state."""
        metrics = Metrics()
        calls = metrics.counter("calls", "Calls.", ("call",))
        eras = EraWatch(metrics)
        store = StoreClient(self._fleet.store_address, STORE_WAIT_S, calls, eras)
        self.tables = PublishedTables(store)
        self.targets = ListedTargets(store)
        self.gateway = Gateway(
            self._fleet.settings,
            "a",
            PlatformWire(),
            self.tables,
            self.targets,
            SYSTEM_CLOCK,
            metrics,
            self._random,
            eras,
        )
        peers = PeerGossip(
            self._fleet.gossip_settings,
            self.gossip_address,
            "a",
            self._first_peers,
            SYSTEM_CLOCK,
            self._random,
        )
        self.gateway.attach_peers(peers, fetch_peer_snapshot)
        suspects = StoreClient(self.suspects_address, STORE_WAIT_S, calls, eras)
        self.gateway.persist_suspects(StoredSuspects(suspects, SYSTEM_CLOCK))
        listening = curio.tcp_server_socket(LOOPBACK, 0)
        self.address = listening.getsockname()
        runs = [*self.gateway.tasks().values()]
        self._tasks = [await curio.spawn(run) for run in runs]
        self._tasks.append(await curio.spawn(self.gateway.serve_callers, listening))
        await until(lambda: self.gateway.unready_reason() is None)

    async def stop(self):
        """End the process; its state is lost."""
        for task in self._tasks:
            await task.cancel()
        self._tasks = []

    async def request(self, path, body, key=KEY, headers=()):
        """Send one request on a new connection; return the whole response."""
        client = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
        try:
            await client.connect(self.address)
            number = self._fleet.next_number()
            data = request_bytes(number, path, "POST", body, headers, key)
            await client.sendall(data)
            return await read_response(client)
        finally:
            await client.close()


class Fleet:
    """The store, the servers, and the entries before them.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the entries.
    gossip_settings : siskinthread.peer_news.PeerGossipSettings
        Settings of the gossip between entries.

    Attributes
    ----------
    ended : list of str
        Instance ids of the servers that have ended, in that order.
    """

    def __init__(self, settings, gossip_settings=GOSSIP_SETTINGS):
        self.settings = settings
        self.gossip_settings = gossip_settings
        self.store = PlatformStoreStandin()
        self.store_address = None
        self.gossip_addresses = []
        self.servers = []
        self.entries = []
        self.ended = []
        self._number = 0

    def next_number(self):
        """Return a number that no request has had."""
        self._number += 1
        return self._number

    async def join(self, gossip_address=None, is_isolated=False):
        """Start one more entry."""
        if gossip_address is None:
            [gossip_address] = _free_addresses(1)
        entry = Entry(self, gossip_address, is_isolated)
        self.entries.append(entry)
        await entry.start()

    async def stop_entries(self):
        """End all entries."""
        for entry in self.entries:
            await entry.stop()

    async def restart_servers(self):
        """Restart servers that have ended, each under another id.

        Cancelling this also cancels restarts under way; otherwise one could start a
        task while the kernel shuts down, and nothing would cancel that task.
        """
        async with curio.TaskGroup() as restarts:
            while True:
                await curio.sleep(0.01)
                for server in self.servers:
                    if not server.is_up and server.instance_id not in self.ended:
                        self.ended.append(server.instance_id)
                        await restarts.spawn(self._restart_server, server)

    async def _restart_server(self, server):
        await curio.sleep(RESTART_AFTER_S)
        earlier_id = server.instance_id
        name, _, start = earlier_id.rpartition("-")
        await server.start_again(f"{name}-{int(start) + 1}")
        await self.store.put("keyed.servers", earlier_id, None)
        await self.store.put("keyed.servers", server.instance_id, listed(server))

    def sent_count(self, body):
        """Return how many requests with a body have reached servers."""
        seen = [request for server in self.servers for request in server.seen]
        return sum(request.body == body for request in seen)


def run_fleet(
    test,
    entry_count=3,
    isolated_count=0,
    server_count=8,
    settings=GATEWAY_SETTINGS,
    gossip_settings=GOSSIP_SETTINGS,
    **fields,
):
    """Run an async test with a `Fleet` whose parts have started.

    Parameters
    ----------
    test : callable
        Coroutine function that takes the fleet.
    entry_count, isolated_count : int
        Entries that exchange messages, and entries that are isolated from all others.
    server_count : int
        Servers.
    settings : GatewaySettings
        Settings of the entries.
    gossip_settings : siskinthread.peer_news.PeerGossipSettings
        Settings of the gossip between entries.
    **fields
        Parts of the published configuration.
    """

    async def main():
        fleet = Fleet(settings, gossip_settings)
        counts = (entry_count, isolated_count, server_count)
        async with _running(fleet, *counts, fields):
            return await curio.timeout_after(HANG_S, test, fleet)

    return curio.run(main)


@asynccontextmanager
async def _running(fleet, entry_count, isolated_count, server_count, fields):
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(HttpServer(fleet.store.handle))
        fleet.store_address = Address(store.host, store.port)
        document = published(tenants=TENANTS, **fields)
        await fleet.store.put("keyed.op", "config", document)
        for number in range(server_count):
            server = PlatformServerStandin(f"i-{number}-1", default=serve_or_end)
            fleet.servers.append(await stack.enter_async_context(server))
            await fleet.store.put("keyed.servers", server.instance_id, listed(server))
        keeping = await curio.spawn(fleet.restart_servers)
        stack.push_async_callback(keeping.cancel)
        fleet.gossip_addresses = _free_addresses(entry_count)
        stack.push_async_callback(fleet.stop_entries)
        for address in fleet.gossip_addresses:
            await fleet.join(address)
        for address in _free_addresses(isolated_count):
            await fleet.join(address, is_isolated=True)
        yield


def _free_addresses(count):
    """Return addresses whose UDP ports are free."""
    sockets = [curio.socket.socket(type=curio.socket.SOCK_DGRAM) for _ in range(count)]
    for one in sockets:
        one.bind((LOOPBACK, 0))
    addresses = [Address(*one.getsockname()) for one in sockets]
    for one in sockets:
        one._socket.close()
    return addresses
