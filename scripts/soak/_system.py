"""Processes of a run: store, servers, gateways and the relays between them."""

import json
import math
import os
import socket
import sys
import time

import curio

from scripts._caller_http import CallerConnection
from scripts._cluster import control
from scripts._platform_files import (
    append_path,
    configuration,
    listed,
    record_bytes,
    route,
    settings_text,
)
from scripts._processes import free_ports, StartError
from scripts.soak._plan import DOMAINS
from scripts.soak._records import (
    ColdSpan,
    Evacuation,
    Leaving,
    Publication,
    ServerCrash,
)

LOOPBACK = "127.0.0.1"
TARGETS_TOPIC = "keyed.servers"
CONFIGURATION_TOPIC = "keyed.op"
ACCOUNT, ACCOUNT_KEY = "inspectorate", "soak-key"
ROUTE_TIMEOUT_S = 3.0
GRACE_S = 3
REPORT_INTERVAL_S = 1.0
# Servers without a report for this time are dropped from the list.
EXPIRY_S = 3.0
CALL_WAIT_S = 1.0
RETRY_S = 0.05
# Time from the crash of a server to its restart.
RESTART_DELAY_S = 1.0
# Time that a leaving server still serves after the store has confirmed its departure.
DRAIN_S = 3.0
EVACUATION_KEY = "evacuate/{}"
# Time that a server is cold after a start, and the requests per second it accepts then.
COLD_START_S = 4.0
COLD_PER_S = 2
# Bounds of the platform for all gateways together, in any second.
COLD_OVER = 1.5
COLD_SLACK = 5
COLD_BOUNDS = f"""[bounds]
cold_over = {COLD_OVER}
cold_slack = {COLD_SLACK}
evac_ms = 5000
"""


def key_of(version):
    """Return the key that is valid only in one configuration version."""
    return f"key-{version}"


def routes():
    """Return the routes, which are the same in every configuration version."""
    times = {"timeout_ms": int(ROUTE_TIMEOUT_S * 1000)}
    return [
        route("/stream/", "streaming", resumable=True, **times),
        route("/unsafe/", "unsafe", attempts=1, **times),
        route("/safe/", "safe", **times),
    ]


class GatewayNode:
    """A gateway, and its relays to callers and to the store."""

    __slots__ = (
        "boot",
        "callers",
        "control",
        "domain",
        "front",
        "ip",
        "name",
        "process",
        "ready",
        "relay",
        "settings_path",
    )

    def __init__(self, number, ports):
        self.name = f"gateway-{number}"
        self.ip = f"127.0.0.{number + 2}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.front, self.ready, control_port = ports
        self.control = (LOOPBACK, control_port)
        # Address of the relay that callers connect to.
        self.callers = None
        self.process = None
        self.relay = None
        self.settings_path = None
        self.boot = 0


class ServerNode:
    """A server, its relay and its entry in the target list."""

    __slots__ = (
        "cold_until_s",
        "control",
        "domain",
        "instance_id",
        "is_down",
        "lock",
        "name",
        "port",
        "process",
        "relay",
        "relayed",
        "starts",
        "state",
    )

    def __init__(self, number, ports):
        self.name = f"server-{number}"
        self.port, control_port = ports
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.control = (LOOPBACK, control_port)
        # Address in the target list, which is that of the relay.
        self.relayed = None
        self.process = None
        self.relay = None
        self.starts = 0
        self.instance_id = None
        self.state = "ready"
        self.cold_until_s = 0.0
        # Whether the server sends no reports at present.
        self.is_down = True
        # Held while the server's process is replaced at the same port.
        self.lock = curio.Lock()


class SoakSystem:
    """System of processes under test.

    Parameters
    ----------
    processes : scripts._processes.Processes
        Starts and ends the processes.
    folder : pathlib.Path
        Folder of the settings files.
    records : Records
        Records of the run.
    gateway_count, server_count : int
        Number of gateways and servers.
    has_cold_servers : bool
        Whether servers that start during the load are cold, and the configuration and
        the gateways' settings limit the requests to them.
    """

    __slots__ = (
        "_dropped_ids",
        "_evacuated",
        "_evacuation_lock",
        "_folder",
        "_has_cold_servers",
        "_reserved",
        "_is_loaded",
        "_processes",
        "_published",
        "_sequence",
        "_version",
        "gateways",
        "peer_port",
        "records",
        "servers",
        "store",
    )

    def __init__(
        self,
        processes,
        folder,
        records,
        gateway_count,
        server_count,
        has_cold_servers=False,
    ):
        # A gateway has three ports and a server two, including their relays' control.
        numbers = free_ports(1 + 3 * gateway_count + 2 * server_count)
        ports = iter(numbers)
        # Concurrent runs search for free ports only at the loopback address, while
        # gateways listen at other addresses, and servers and relays start to listen
        # later.  Bound sockets reserve the ports until then.
        self._reserved = {number: _reserve(number) for number in numbers}
        self._processes = processes
        self._folder = folder
        self._version = 0
        self._sequence = 0
        self._published = None
        self._dropped_ids = set()
        # Whether a domain is evacuated at present, for each domain evacuated so far.
        self._evacuated = {}
        self._evacuation_lock = curio.Lock()
        self._has_cold_servers = has_cold_servers
        self._is_loaded = False
        self.records = records
        self.peer_port = next(ports)
        self.gateways = [
            GatewayNode(number, (next(ports), next(ports), next(ports)))
            for number in range(gateway_count)
        ]
        self.servers = [
            ServerNode(number, (next(ports), next(ports)))
            for number in range(server_count)
        ]
        records.domain_of = {server.name: server.domain for server in self.servers}
        self.store = None

    async def start(self):
        """Start all processes and wait until the gateways are ready."""
        store = self._start_module("store", "standins.platform_store")
        self.store = store.read_address()
        await self.publish()
        for server in self.servers:
            # While a server is down, connections to its relay are refused as well.
            [server.relayed] = self._relay(
                server, [(LOOPBACK, server.port)], ["--refuse"]
            )
            self.start_server(server)
        await self.report_all()
        for gateway in self.gateways:
            targets = [(gateway.ip, gateway.front), self.store]
            gateway.callers, store = self._relay(gateway, targets)
            gateway.settings_path = self._folder / f"{gateway.name}.toml"
            self.write_settings(gateway, store, GRACE_S)
            self.start_gateway(gateway)
        for gateway in self.gateways:
            await self.until_ready(gateway)
        self._is_loaded = True

    def write_settings(self, gateway, store, grace_s):
        """Write the settings file of a gateway."""
        text = settings_text(
            gateway.name,
            (gateway.front, gateway.ready, self.peer_port),
            store,
            gateway.domain,
            gateway.ip,
            [one.ip for one in self.gateways[:3]],
            grace_s,
        )
        if self._has_cold_servers:
            text = text.replace("[bounds]\n", COLD_BOUNDS)
        gateway.settings_path.write_text(text)

    def start_gateway(self, gateway):
        """Start the process of a gateway."""
        gateway.boot += 1
        os.environ["SISKINTHREAD_BOOT"] = str(gateway.settings_path)
        command = [sys.executable, "-m", "siskinthread.platform"]
        gateway.process = self._processes.start(gateway.name, command)

    def node_processes(self):
        """Return all processes but the store, by names that differ at each start."""
        return {
            **{f"{one.name}, start {one.boot}": one.process for one in self.gateways},
            **{one.instance_id: one.process for one in self.servers},
            **{
                f"relay of {one.name}": one.relay
                for one in (*self.gateways, *self.servers)
            },
        }

    def start_server(self, server):
        """Start the process of a server, with a new instance id."""
        server.starts += 1
        server.instance_id = f"i-{server.name}-{server.starts}"
        server.state = "ready"
        self.records.server_of[server.instance_id] = server.name
        self._release_port(server.port)
        options = ["--port", str(server.port), "--steady"]
        options += ["--instance-id", server.instance_id]
        server.cold_until_s = 0.0
        if self._has_cold_servers and self._is_loaded:
            now_s = time.monotonic()
            server.cold_until_s = now_s + COLD_START_S
            self._record_cold_span(server, now_s, is_start=True)
            options += ["--cold-until-s", str(server.cold_until_s)]
        server.process = self._start_module(
            server.name, "standins.platform_server", *options
        )
        server.process.read_address()
        server.is_down = False

    def _record_cold_span(self, server, from_s, is_start):
        span = ColdSpan(server.instance_id, from_s, server.cold_until_s, is_start)
        self.records.cold_spans.append(span)

    async def turn_cold(self, server, for_s):
        """Make a server cold for a while; record when the store confirms its entry."""
        instance_id = server.instance_id
        until_s = time.monotonic() + for_s
        server.cold_until_s = max(server.cold_until_s, until_s)
        await self.set_server(server, cold_until_s=server.cold_until_s)
        while not await self.report(server):
            await curio.sleep(RETRY_S)
        if server.instance_id == instance_id:
            self._record_cold_span(server, time.monotonic(), is_start=False)

    async def keep_servers_up(self):
        """Restart crashed servers until cancelled."""
        while True:
            await curio.sleep(RETRY_S)
            for server in self.servers:
                has_ended = server.process is not None and not server.process.running()
                if has_ended and not server.is_down:
                    server.is_down = True
                    await curio.spawn(self._restart_crashed, server, daemon=True)

    async def _restart_crashed(self, server):
        """Record the request that crashed a server, and restart it after a pause."""
        async with server.lock:
            old_id = server.instance_id
            self._record_crash(server)
            subject = ("server", server.name)
            span = self.records.disruptions.begin(subject, time.monotonic())
            await curio.sleep(RESTART_DELAY_S)
            self.start_server(server)
            self.records.disruptions.end(span, time.monotonic())
        await curio.sleep(EXPIRY_S)
        await self.drop(old_id)

    def _record_crash(self, server):
        lines = server.process.log_path.read_text(errors="replace").splitlines()
        crash_lines = [line for line in lines if line.startswith('{"ended_under"')]
        if not crash_lines:
            self.records.troubles.append(f"{server.name} ended by itself")
            return
        end = json.loads(crash_lines[-1])
        self.records.server_crashes.append(
            ServerCrash(server.instance_id, end["ended_under"], end["arrived_s"])
        )

    async def until_ready(self, gateway):
        """Wait until a gateway reports that it is ready."""
        deadline_s = time.monotonic() + 10.0
        while not await self.is_ready(gateway):
            if time.monotonic() > deadline_s:
                self.records.troubles.append(f"{gateway.name} did not get ready")
                return
            await curio.sleep(RETRY_S)

    async def is_ready(self, gateway):
        """Return whether a gateway reports that it is ready."""
        connection = CallerConnection((gateway.ip, gateway.ready))
        path = "/siskinthread/ready"
        answer = await connection.call("GET", path, [], b"", 0.5)
        await connection.close()
        return answer.status == 200

    async def publish(self):
        """Publish the next version, with retries until the store confirms it."""
        self._version += 1
        version = self._version
        keys = [ACCOUNT_KEY, key_of(version)]
        self._published = configuration(version, routes(), {ACCOUNT: keys})
        if self._has_cold_servers:
            cold = {"cold_start_s": COLD_START_S, "cold_per_s": COLD_PER_S}
            self._published["services"][0] |= cold
        await self._write(CONFIGURATION_TOPIC, "config", self._published)
        publication = Publication(version, time.monotonic())
        self.records.publications.append(publication)

    async def report(self, server):
        """Write a server's entry once; return whether the store confirmed it."""
        self._sequence += 1
        entry = listed(server.relayed, server.domain, server.state, self._sequence)
        cold_left_s = max(0.0, server.cold_until_s - time.monotonic())
        entry["cold_remaining_ms"] = math.ceil(cold_left_s * 1000)
        return await self._write_once(TARGETS_TOPIC, server.instance_id, entry)

    async def report_all(self):
        """Write the entries of all servers that are up."""
        async with curio.TaskGroup(wait=all) as group:
            for server in self.servers:
                if not server.is_down:
                    await group.spawn(self.report, server)

    async def keep_reporting(self):
        """Write the servers' entries periodically until cancelled."""
        while True:
            await curio.sleep(REPORT_INTERVAL_S)
            await self.report_all()

    async def announce_leaving(self, server):
        """Report that a server leaves; record when the store confirms it."""
        server.state = "draining"
        while not await self.report(server):
            await curio.sleep(RETRY_S)
        leaving = Leaving(server.instance_id, time.monotonic())
        self.records.leavings.append(leaving)

    async def drop(self, instance_id):
        """Remove a server's entry from the target list."""
        self._dropped_ids.add(instance_id)
        await self._write(TARGETS_TOPIC, instance_id, None)

    async def rewrite_entries(self):
        """Rewrite all that a restored store may lack, as operators and servers do."""
        await self._write(CONFIGURATION_TOPIC, "config", self._published)
        for domain in list(self._evacuated):
            await self._write_evacuation(domain)
        for instance_id in sorted(self._dropped_ids):
            await self._write(TARGETS_TOPIC, instance_id, None)
        await self.report_all()

    async def evacuate(self, domain):
        """Evacuate a domain; return its `Evacuation` once the store confirms it."""
        self._evacuated[domain] = True
        await self._write_evacuation(domain)
        evacuation = Evacuation(domain, time.monotonic())
        self.records.evacuations.append(evacuation)
        return evacuation

    async def withdraw_evacuation(self, evacuation):
        """Withdraw the evacuation of a domain."""
        # The first attempt may take effect although its answer is lost.
        evacuation.ended_s = time.monotonic()
        self._evacuated[evacuation.domain] = False
        await self._write_evacuation(evacuation.domain)

    async def _write_evacuation(self, domain):
        key = EVACUATION_KEY.format(domain)
        # With concurrent writes, the older state could reach the store last.
        async with self._evacuation_lock:
            value = {} if self._evacuated[domain] else None
            await self._write(CONFIGURATION_TOPIC, key, value)

    async def record_runs(self, server):
        """Record the runs of a server so far."""
        if server.process is None or not server.process.running():
            return
        try:
            answer = await control((LOOPBACK, server.port), "GET", "/runs")
        except StartError:
            # The server is frozen; its runs stay unknown if it is killed.
            self.records.faults.append(f"runs of {server.instance_id} not read")
            return
        self.records.runs[server.instance_id] = answer["runs"]

    async def set_server(self, server, **faults):
        """Set faults of a server."""
        try:
            await control((LOOPBACK, server.port), "POST", "/faults", faults)
        except StartError:
            self.records.faults.append(f"faults of {server.instance_id} not set")

    async def set_store(self, **faults):
        """Set faults of the store."""
        await control(self.store, "POST", "/faults", faults)

    async def _write(self, topic, key, value):
        while not await self._write_once(topic, key, value):
            await curio.sleep(RETRY_S)

    async def _write_once(self, topic, key, value):
        connection = CallerConnection(self.store)
        body = record_bytes(key, value)
        path = append_path(topic)
        answer = await connection.call("POST", path, [], body, CALL_WAIT_S)
        await connection.close()
        return answer.status == 200

    def release_ports(self):
        """Release the reserved ports for other runs."""
        for number in list(self._reserved):
            self._release_port(number)

    def _release_port(self, number):
        held = self._reserved.pop(number, None)
        if held is not None:
            held.close()

    def _start_module(self, name, module, *options):
        command = [sys.executable, "-m", module, *options]
        return self._processes.start(name, command, states_address=True)

    def _relay(self, node, addresses, options=()):
        """Start the relays of a node; return the address of each."""
        self._release_port(node.control[1])
        command = [sys.executable, "-m", "scripts._fault_proxy"]
        command += ["--control-port", str(node.control[1]), *options]
        for host, port in addresses:
            command += ["--to", f"{host}:{port}"]
        node.relay = self._processes.start(f"relay-{node.name}", command, True)
        return [node.relay.read_address() for _ in addresses]


def _reserve(number):
    """Return a bound socket that reserves a port; it does not listen."""
    held = socket.socket()
    try:
        held.bind((LOOPBACK, number))
    except OSError as error:
        held.close()
        raise StartError(f"port {number} was taken meanwhile") from error
    return held


async def link(node, path, relay=0, **values):
    """Set a fault of a relay of a node."""
    return await control(node.control, "POST", path, {"relay": relay, **values})
