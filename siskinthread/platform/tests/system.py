"""A gateway with its store and servers in one process, and a raw caller."""

import itertools
import random
from contextlib import asynccontextmanager, AsyncExitStack

import curio
from curio import socket

from siskinthread.gateway import Gateway, GatewaySettings
from siskinthread.observability import Metrics
from siskinthread.platform._snapshots import fetch_snapshot, own_snapshot_page
from siskinthread.platform._sources import ListedTargets, PublishedTables
from siskinthread.platform._store import StoreClient
from siskinthread.platform._wire import PlatformWire
from siskinthread.settings import Address
from siskinthread.source_eras import EraWatch
from siskinthread.timing import SYSTEM_CLOCK
from standins import platform_behaviours as faults
from standins._http_server import HttpServer
from standins.platform_server import PlatformServerStandin
from standins.platform_store import PlatformStoreStandin

KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
HANG_S = 20.0
READ_SIZE_BYTES = 65_536
STREAM_PATH = "/stream/2f"
ONCE_PATH = "/once/2f"
SAFE_PATH = "/safe/2f"
# Complete stream of a stand-in server.
EVENTS = b"".join(faults.event(number) for number in range(1, 6))


def route(path_prefix, kind, **fields):
    """Return a route in the operators' format."""
    values = {
        "name": f"r-{path_prefix.strip('/') or 'root'}",
        "host": HOST,
        "path_prefix": path_prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": "app",
        "attempts": 2,
        "public": False,
    }
    return values | fields


def published(version=1, routes=None, keys=(KEY,), **fields):
    """Return a configuration in the operators' format."""
    if routes is None:
        routes = [
            route("/stream/", "streaming", resumable=True, target_gap_ms=120),
            route("/once/", "unsafe", attempts=1),
            route("/safe/", "safe"),
            route("/public/", "safe", public=True),
            route("/brief/", "safe", timeout_ms=150),
        ]
    values = {
        "version": version,
        "routes": routes,
        "services": [{"name": "app", "health_path": "/health", "max_conns": 100}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1}],
    }
    return values | fields


def listed(server, **fields):
    """Return a server's entry in the store."""
    values = {
        "service": "app",
        "address": f"{server.host}:{server.port}",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    return values | fields


class FakePeers:
    """Replaces the gossip between entries by scripted values."""

    def __init__(self):
        self.version = 0
        self.informed = []
        self.serving = []
        self.describe = None
        self.on_listing = None
        self.reader = True
        self.state = None

    async def run(self):
        """Exchange nothing."""

    def is_reader(self):
        """Return whether the host reads for its failure domain."""
        return self.reader

    def is_first_of_domain(self):
        """Return True: no host comes before this one."""
        return True

    def is_table_reader(self, count):
        """Return True: the host reads the configuration for its failure domain."""
        return True

    def near_count(self):
        """Return 0: the failure domain has no other entry."""
        return 0

    def is_first_reader(self):
        """Return True: there is no other failure domain."""
        return True

    async def send_listing(self, listing):
        """Send nothing."""

    async def send_reading(self, reading):
        """Send nothing."""

    async def send_to_domain(self):
        """Send nothing."""

    def fleet_count(self):
        """Return 1: there is no other entry."""
        return 1

    def is_roster_known(self):
        """Return True: all entries know one another."""
        return True

    def slow_targets(self):
        """Return no target that slows others down."""
        return set()

    def speeds(self):
        """Return no target whose speed differs."""
        return {}

    def stalled_groups(self):
        """Return no group that makes no progress."""
        return set()

    def is_crowded(self):
        """Return False: there are few peers."""
        return False

    def has_fresh_loads(self):
        """Return False: no peer has sent its loads."""
        return False

    def full_rate_peer_count(self):
        """Return 0: there is no other entry."""
        return 0

    def send_interval_s(self):
        """Return the interval between two messages of a peer, seconds."""
        return 0.5

    def account_counts(self):
        """Return no requests."""
        return {}

    def asked_per_s(self, service_name):
        """Return 0: peers have no demand."""
        return 0.0

    def silent_asked_per_s(self, service_name):
        """Return 0: no failure domain is silent."""
        return 0.0

    def has_peers(self):
        """Return True: other hosts are known."""
        return True

    def rendezvous_position(self, name):
        """Return 0: this host comes first."""
        return 0

    def newest_version(self):
        """Return the scripted version of the peers."""
        return self.version

    def serving_peers(self):
        """Return the scripted peers that have a configuration."""
        return self.serving

    def state_of(self, address):
        """Return the scripted state of a peer."""
        return self.state

    def informed_peers(self):
        """Return the scripted informed peers."""
        return self.informed


class System:
    """The parts of a running system."""

    def __init__(self, settings):
        self.store = PlatformStoreStandin()
        self.servers = []
        self.settings = GatewaySettings(**settings)
        self.gateway = None
        self.address = None
        self.status_address = None
        self.store_address = None
        self.peers = FakePeers()
        self.tables = None
        self.targets = None
        self._numbers = itertools.count(1)

    async def list_servers(self):
        """Write the entry of each server."""
        for server in self.servers:
            await self.store.put("keyed.servers", server.instance_id, listed(server))

    async def request(self, path, method="POST", body=b"x", headers=(), key=KEY):
        """Send one request on a new connection; return the whole response."""
        return await self.exchange(self.request_bytes(path, method, body, headers, key))

    def request_bytes(self, path, method="POST", body=b"x", headers=(), key=KEY):
        """Return a request with an id of its own."""
        number = next(self._numbers)
        return request_bytes(number, path, method, body, headers, key)

    async def exchange(self, data):
        """Send bytes on a new connection; return the response until it is complete."""
        client = await self.connect()
        try:
            await client.sendall(data)
            return await read_response(client)
        finally:
            await client.close()

    async def connect(self):
        """Return a new connection to the gateway."""
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await client.connect(self.address)
        return client

    async def ready_status(self):
        """Return the status of the readiness page."""
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await client.connect(self.status_address)
        await client.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        response = await read_response(client)
        await client.close()
        return int(response.split()[1])

    def snapshot_page(self):
        """Return the snapshot that the gateway serves to peers."""
        return own_snapshot_page(self.tables, self.gateway)

    def seen(self):
        """Return all requests that have reached a server."""
        return [request for server in self.servers for request in server.seen]


def request_bytes(number, path, method, body, headers, key):
    """Return a request; its id holds the number, unless the headers state an id."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *headers]
    if not any(one.startswith("X-Request-Id") for one in headers):
        lines.append(f"X-Request-Id: id-{number}")
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def behave(system, *behaviours):
    """Let the servers that are asked first behave as given, in this order."""
    queue = list(behaviours)

    async def next_one(server, request, client):
        chosen = queue.pop(0) if queue else faults.answer_whole
        return await chosen(server, request, client)

    for server in system.servers:
        server.behaviours.extend([next_one] * len(behaviours))


async def read_response(client, data=b""):
    """Return the bytes of one response; fewer if the connection ends before.

    Parameters
    ----------
    client : curio.io.Socket
        The connection.
    data : bytes
        First bytes of the response, if some are read already.
    """
    while not is_whole(data):
        more = await client.recv(READ_SIZE_BYTES)
        if not more:
            break
        data += more
    return data


def is_whole(data):
    """Return whether bytes hold a complete response with a length or chunks."""
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        return body.endswith(b"0\r\n\r\n")
    for line in lower.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return False


def status_of(response):
    """Return the status of a response."""
    return int(response.split()[1])


def body_of(response):
    """Return the body of a response without chunk framing."""
    head, _, body = response.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" not in head.lower():
        return body
    data = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        if not size or not int(size, 16):
            break
        data += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return data


def run_system(
    test, server_count=2, document=None, first_mode="up", prepare=None, **settings
):
    """Run an async test with a `System` whose parts have started.

    Parameters
    ----------
    test : callable
        Async function of the `System`.
    server_count : int
        Number of servers, which are listed.
    document : dict or None
        The configuration; None for the usual one.
    first_mode : str
        Mode of the store as the gateway starts.
    prepare : callable or None
        Async function of the `System`, called before the gateway starts.
    **settings
        Settings of the gateway.
    """

    async def main():
        async with running(
            server_count, document, first_mode, prepare, settings
        ) as system:
            return await curio.timeout_after(HANG_S, test, system)

    return curio.run(main)


@asynccontextmanager
async def running(server_count, document, first_mode, prepare, settings):
    """Run a system for the duration of a block."""
    values = {"target_interval_s": 0.05, "source_retry_s": 0.02, "table_wait_s": 5.0}
    values |= {"table_pause_s": 0.02}
    values |= {"snapshot_interval_s": 0.05}
    values |= {"watch_interval_s": 0.01, "balancer_notice_s": 0.05}
    system = System(values | settings)
    async with AsyncExitStack() as stack:
        for number in range(server_count):
            server = PlatformServerStandin(f"i-{number}")
            system.servers.append(await stack.enter_async_context(server))
        store = await stack.enter_async_context(HttpServer(system.store.handle))
        system.store_address = Address(store.host, store.port)
        if document is not None or server_count:
            await system.store.put("keyed.op", "config", document or published())
            await system.list_servers()
        system.store.mode = first_mode
        if prepare is not None:
            await prepare(system)
        await _start(system, stack)
        try:
            yield system
        finally:
            await stack.aclose()


async def _start(system, stack):
    metrics = Metrics()
    calls = metrics.counter("calls", "Calls.", ("call",))
    eras = EraWatch(metrics)
    store = StoreClient(system.store_address, 0.3, calls, eras)
    system.tables = PublishedTables(store)
    system.targets = ListedTargets(store, system.store_address)
    system.gateway = Gateway(
        system.settings,
        "a",
        PlatformWire(),
        system.tables,
        system.targets,
        SYSTEM_CLOCK,
        metrics,
        random.Random(1),
        eras,
    )
    system.gateway.attach_peers(system.peers, fetch_peer_snapshot)
    listening = curio.tcp_server_socket("127.0.0.1", 0)
    status = curio.tcp_server_socket("127.0.0.1", 0)
    system.address = listening.getsockname()
    system.status_address = status.getsockname()
    pages = {
        "/ready": system.gateway.ready_page,
        "/metrics": system.gateway.metrics_page,
    }
    tasks = [await curio.spawn(run) for run in system.gateway.tasks().values()]
    tasks.append(await curio.spawn(system.gateway.serve_callers, listening))
    tasks.append(await curio.spawn(system.gateway.serve_pages, status, pages))
    for task in tasks:
        stack.push_async_callback(task.cancel)
    if system.store.mode == "up" and system.servers:
        await until(lambda: system.gateway.unready_reason() is None)


async def fetch_peer_snapshot(address):
    """Fetch a snapshot with the daemon's time-out."""
    return await fetch_snapshot(address, wait_s=0.3)


async def until(condition, limit_s=5.0):
    """Wait until a condition holds."""
    async with curio.timeout_after(limit_s):
        while not condition():
            await curio.sleep(0.005)
