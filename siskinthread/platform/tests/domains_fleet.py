"""Entries of several failure domains before one store, whose calls are counted."""

import collections
import random
import socket
from contextlib import asynccontextmanager, AsyncExitStack
from urllib.parse import parse_qs, urlsplit

import curio

from siskinthread.gateway import Gateway, GatewaySettings
from siskinthread.group_maps import GroupMapSettings
from siskinthread.observability import Metrics
from siskinthread.peer_news import PeerGossip, PeerGossipSettings
from siskinthread.platform._group_control import GroupControl
from siskinthread.platform._reader_pages import (
    CONFIGURATION_PATH,
    fetch_peer_table,
    fetch_peer_targets,
    ReaderPages,
    TARGET_LIST_PATH,
)
from siskinthread.platform._snapshots import (
    fetch_snapshot,
    own_snapshot_page,
    SNAPSHOT_PATH,
)
from siskinthread.platform._sources import ListedTargets, PublishedTables
from siskinthread.platform._store import StoreClient
from siskinthread.platform._stored_suspects import StoredSuspects
from siskinthread.platform._wire import PlatformWire
from siskinthread.platform.tests.system import published, until
from siskinthread.settings import Address
from siskinthread.source_eras import EraWatch
from siskinthread.timing import SYSTEM_CLOCK
from standins._http_server import CloseConnection, HttpServer
from standins.platform_store import FIRST_ERA, PARTITION_COUNT, PlatformStoreStandin

LOOPBACK = "127.0.0.1"
STORE_WAIT_S = 0.8
PEER_WAIT_S = 0.3
UNLIMITED_S = 3600.0
START_LIMIT_S = 20.0
# The tests send no requests, so no server needs to listen.
NOWHERE_PORT = 9


class CountingStoreClient(StoreClient):
    """A store client that counts its calls by name and topic."""

    __slots__ = ("counted",)

    def __init__(self, *args):
        super().__init__(*args)
        self.counted = collections.Counter()

    async def _call(self, name, method, target, *args, **fields):
        topic = parse_qs(urlsplit(target).query).get("topic", ["group-shares"])[0]
        self.counted[f"{name} {topic}"] += 1
        return await super()._call(name, method, target, *args, **fields)


class CuttableGossip(PeerGossip):
    """Gossip between entries that can be cut.

    Attributes
    ----------
    is_cut : callable
        Returns whether datagrams to a peer's address are dropped.
    """

    __slots__ = ("is_cut",)

    async def _send_data(self, addresses, data):
        kept = [one for one in addresses if not self.is_cut(one)]
        await super()._send_data(kept, data)


class HostStub:
    """The host settings that the control of groups needs."""

    __slots__ = ("failure_domain", "host", "share_count")

    def __init__(self, host, failure_domain):
        self.host = host
        self.failure_domain = failure_domain
        self.share_count = PARTITION_COUNT


class DomainEntry:
    """One entry host.

    Attributes
    ----------
    store_mode : str
        "up", "busy" (503), "silent", or "reset", for this entry alone; see
        `set_store_mode`.
    cut_from : set of siskinthread.settings.Address
        Peers to which its datagrams are dropped.
    in_force : dict of int to float
        When each version came into force, monotonic seconds.
    evacuated_at_s : dict of str to float
        When each evacuation became known, monotonic seconds, by domain.
    """

    def __init__(self, fleet, name, domain, first_peers):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self._listening = listen()
        self.address = Address(*self._listening.getsockname())
        self.store_mode = "up"
        self.cut_from = set()
        self.in_force = {}
        self.evacuated_at_s = {}
        self.counted = None
        self.gateway = None
        self.peers = None
        self._first_peers = first_peers
        self._pages = {}
        # Calls to the store under way.
        self._calls = set()
        self._tasks = []
        self._exit = AsyncExitStack()

    @property
    def version(self):
        """Version of the configuration in force; 0 without one."""
        table = self.gateway.view.table
        return 0 if table is None else table.version

    async def start(self):
        """Start a process without state."""
        fleet = self.fleet
        front = await self._exit.enter_async_context(HttpServer(self._handle))
        metrics = Metrics()
        calls = metrics.counter("calls", "Calls.", ("call",))
        eras = EraWatch(metrics)
        address = Address(front.host, front.port)
        store = CountingStoreClient(address, STORE_WAIT_S, calls, eras)
        self.counted = store.counted
        tables, targets = PublishedTables(store), ListedTargets(store)
        generator = random.Random(self.name)
        self.gateway = Gateway(
            fleet.settings,
            self.domain,
            PlatformWire(),
            tables,
            targets,
            SYSTEM_CLOCK,
            metrics,
            generator,
            eras,
        )
        self.peers = CuttableGossip(
            fleet.gossip_settings,
            self.address,
            self.domain,
            self._first_peers,
            SYSTEM_CLOCK,
            generator,
        )
        self.peers.is_cut = self.cut_from.__contains__
        self._join_gossip(tables, targets)
        self.gateway.persist_suspects(StoredSuspects(store, SYSTEM_CLOCK))
        self.gateway.view.listen(self._record_table)
        self.gateway.parts.evacuations.listen(self._record_evacuation)
        runs = self.gateway.tasks()
        if fleet.has_groups:
            host = HostStub(self.name, self.domain)
            groups = GroupControl(
                GroupMapSettings(), host, self.gateway, store, metrics
            )
            # A host claims shares once it knows a group; here no group is listed.
            groups._duty._knows_groups = True
            runs |= groups.tasks()
        for run in runs.values():
            self._tasks.append(await curio.spawn(run))
        serve = self.gateway.serve_pages
        self._tasks.append(await curio.spawn(serve, self._listening, self._pages))

    def _join_gossip(self, tables, targets):
        fleet = self.fleet
        rate_bytes_s = fleet.settings.hand_out_bytes_s
        reader_pages = ReaderPages(
            tables, targets, self.gateway, rate_bytes_s, SYSTEM_CLOCK
        )

        def build_snapshot():
            return own_snapshot_page(tables, self.gateway)

        self._pages = {
            CONFIGURATION_PATH: reader_pages.table_page,
            TARGET_LIST_PATH: reader_pages.targets_page,
            SNAPSHOT_PATH: build_snapshot,
        }
        self.gateway.attach_peers(
            self.peers, fetch_from_peer, fetch_table, fetch_targets
        )

    async def stop(self):
        """End the process; its state is lost."""
        for task in self._tasks:
            await task.cancel()
        self._tasks = []
        await self._exit.aclose()

    def _record_table(self, table):
        self.in_force[table.version] = SYSTEM_CLOCK.monotonic_s()

    def _record_evacuation(self, domain, is_evacuated):
        if is_evacuated:
            self.evacuated_at_s[domain] = SYSTEM_CLOCK.monotonic_s()

    async def set_store_mode(self, mode):
        """Change how the store treats this entry, including reads that wait."""
        self.store_mode = mode
        for task in list(self._calls):
            await task.cancel()

    async def _handle(self, request, exchange):
        if self.store_mode == "up":
            call = await curio.spawn(self.fleet.store.handle, request, exchange)
            self._calls.add(call)
            try:
                await call.join()
            except curio.TaskError as error:
                if not isinstance(error.__cause__, curio.TaskCancelled):
                    raise error.__cause__ from error
            else:
                return
            finally:
                self._calls.discard(call)
                await call.cancel()
        if self.store_mode == "silent":
            await curio.sleep(UNLIMITED_S)
        if self.store_mode == "busy":
            await exchange.answer(503, b"{}")
            return
        raise CloseConnection


class DomainsFleet:
    """The store and the entries before it.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the entries.
    gossip_settings : siskinthread.peer_news.PeerGossipSettings
        Settings of their gossip.
    has_groups : bool
        Whether entries share the control of groups.
    fields : dict
        Parts of the published configuration.
    """

    def __init__(self, settings, gossip_settings, has_groups, fields):
        self.settings = settings
        self.gossip_settings = gossip_settings
        self.has_groups = has_groups
        self.fields = fields
        self.store = PlatformStoreStandin()
        self.entries = []
        self.version = 0
        self._first_peers = []

    async def publish(self):
        """Publish the next version; return the time, monotonic seconds."""
        self.version += 1
        document = published(self.version, **self.fields)
        await self.store.put("keyed.op", "config", document)
        return SYSTEM_CLOCK.monotonic_s()

    async def put_target(self, name, sequence=1, **fields):
        """Write the entry of a target."""
        values = {
            "service": "app",
            "address": f"{LOOPBACK}:{NOWHERE_PORT}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": sequence,
        }
        await self.store.put("keyed.servers", name, values | fields)

    async def join(self, domain):
        """Start and return one more entry."""
        name = f"h-{len(self.entries)}"
        entry = DomainEntry(self, name, domain, self._first_peers)
        self.entries.append(entry)
        self._first_peers = [one.address for one in self.entries[:3]]
        await entry.start()
        return entry

    def of_domain(self, domain):
        """Return the entries of a failure domain, ordered by address."""
        chosen = [one for one in self.entries if one.domain == domain]
        return sorted(chosen, key=lambda one: str(one.address))

    def counted(self):
        """Return the number of calls of all entries so far, by name and topic."""
        return sum((one.counted for one in self.entries), collections.Counter())

    def table_reads(self, entries=None):
        """Return how often some entries (default: all) have read the configuration."""
        chosen = self.entries if entries is None else entries
        names = ("read keyed.op", "newest keyed.op")
        return sum(one.counted[name] for one in chosen for name in names)

    async def until_in_force(self, version, entries=None, limit_s=10.0):
        """Wait until a version is in force at some entries, by default at all."""
        chosen = self.entries if entries is None else entries
        await until(lambda: all(one.version >= version for one in chosen), limit_s)

    async def stop(self):
        """End all entries."""
        for entry in self.entries:
            await entry.stop()


@asynccontextmanager
async def running_fleet(
    domains,
    settings=None,
    gossip_settings=None,
    has_groups=False,
    target_count=6,
    era=FIRST_ERA,
    **fields,
):
    """Run a fleet with one entry for each of some failure domains.

    Parameters
    ----------
    domains : iterable of str
        Failure domain of each entry.
    settings : GatewaySettings or None
        Settings of the entries; None for the defaults.
    gossip_settings : siskinthread.peer_news.PeerGossipSettings or None
        Settings of their gossip; None for the defaults.
    has_groups : bool
        Whether entries share the control of groups.
    target_count : int
        Number of listed targets.
    era : int or None
        Era that the store reports; None for a store that reports none.
    **fields
        Parts of the published configuration.
    """
    fleet = DomainsFleet(
        GatewaySettings() if settings is None else settings,
        PeerGossipSettings() if gossip_settings is None else gossip_settings,
        has_groups,
        fields,
    )
    fleet.store.era = era
    await fleet.publish()
    for number in range(target_count):
        await fleet.put_target(f"i-{number}-1")
    try:
        for domain in domains:
            await fleet.join(domain)
        await fleet.until_in_force(1, limit_s=START_LIMIT_S)
        yield fleet
    finally:
        await fleet.stop()


async def fetch_table(address):
    """Fetch a reader's configuration with the daemon's time-out."""
    return await fetch_peer_table(address, PEER_WAIT_S)


async def fetch_targets(address):
    """Fetch a reader's target list with the daemon's time-out."""
    return await fetch_peer_targets(address, PEER_WAIT_S)


async def fetch_from_peer(address):
    """Fetch a snapshot with the daemon's time-out."""
    return await fetch_snapshot(address, PEER_WAIT_S)


def listen():
    """Return a TCP listening socket on a port that is also free for UDP."""
    while True:
        listening = curio.tcp_server_socket(LOOPBACK, 0)
        trial = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            trial.bind(listening.getsockname())
        except OSError:
            listening._socket.close()
        else:
            return listening
        finally:
            trial.close()
