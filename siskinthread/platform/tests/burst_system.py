"""Store, servers, entries and callers of a burst, each in a process of its own."""

import http.client
import json
import sys
import time

from scripts._platform_files import append_path, record_bytes, settings_text
from scripts._processes import free_ports
from scripts.soak._cpu_history import CpuHistory
from siskinthread.platform.tests.system import KEY, published, route

ENTRIES = 4
SERVERS, SLOTS, QUEUE, SERVICE_S = 4, 4, 4, 0.2
CAPACITY_PER_S = SERVERS * SLOTS / SERVICE_S
ROUTES = [
    route("/urgent/", "safe", priority=0, target_latency_ms=400),
    route("/draft/", "safe", priority=2, target_latency_ms=800),
]
READY_WAIT_S = 10.0
SAMPLE_S = 0.02
CALL_WAIT_S = 5.0
HANG_S = 60.0


class BurstSystem:
    """The processes of a run.

    Parameters
    ----------
    processes : scripts._processes.Processes
        Starts and ends the processes.
    folder : pathlib.Path
        Folder for settings files.
    """

    def __init__(self, processes, folder):
        self._processes = processes
        self._folder = folder
        self._started = {}
        # Addresses of the servers and of the entries.
        self.servers = []
        self.entries = []
        self.cpu_history = CpuHistory(lambda: self._started)

    def start(self):
        """Start store, servers and entries; wait until the entries are ready."""
        store = self._start_standin("store", "standins.platform_store")
        tenants = [{"name": "hule930", "api_keys": [KEY]}]
        document = published(routes=ROUTES, tenants=tenants)
        put(store, "keyed.op", "config", document)
        options = ["--slots", str(SLOTS), "--queue", str(QUEUE)]
        options += ["--service-s", str(SERVICE_S)]
        for number in range(SERVERS):
            name = f"i-{number}-1"
            address = self._start_standin(
                name, "standins.platform_server", "--instance-id", name, *options
            )
            self.servers.append(address)
            put(store, "keyed.servers", name, server_entry(address))
        peer, *ports = free_ports(1 + 2 * ENTRIES)
        ips = [f"127.0.0.{number + 2}" for number in range(ENTRIES)]
        ready = []
        for number, ip in enumerate(ips):
            front, status = ports[2 * number : 2 * number + 2]
            name = f"entry-{number}"
            text = settings_text(
                name, (front, status, peer), store, ip=ip, seeds=ips[:3]
            )
            self._start_entry(name, text)
            self.entries.append((ip, front))
            ready.append((ip, status))
        for address in ready:
            until_ready(address)

    def call(self):
        """Run the callers; return their printed result."""
        arguments = [f"{host}:{port}" for host, port in self.entries]
        module = "siskinthread.platform.tests.burst_callers"
        command = [sys.executable, "-m", module, *arguments]
        process = self._processes.start("callers", command)
        self._started["callers"] = process
        deadline_s = time.monotonic() + HANG_S
        while process.running():
            assert time.monotonic() < deadline_s, process.log_tail()
            self.cpu_history.read()
            time.sleep(SAMPLE_S)
        assert process.exit_status == 0, process.log_path.read_text()
        return json.loads(process.log_path.read_text())

    def held_s(self):
        """Return the mean time that a request occupied a slot of a server, seconds."""
        runs = [
            json.loads(call(address, "GET", "/runs")[1]) for address in self.servers
        ]
        return sum(one["held_s"] for one in runs) / sum(
            one["served_count"] for one in runs
        )

    def _start_standin(self, name, module, *options):
        command = [sys.executable, "-m", module, *options]
        process = self._processes.start(name, command, states_address=True)
        self._started[name] = process
        return process.read_address()

    def _start_entry(self, name, text):
        path = self._folder / f"{name}.toml"
        path.write_text(text)
        # Set the variable for this process only.
        command = ["env", f"SISKINTHREAD_BOOT={path}"]
        command += [sys.executable, "-m", "siskinthread.platform"]
        self._started[name] = self._processes.start(name, command)


def call(address, method, path, body=b""):
    """Make one call; return the status and the body of its answer."""
    connection = http.client.HTTPConnection(*address, timeout=CALL_WAIT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def put(store, topic, key, value):
    """Write the newest record of a key."""
    status, _ = call(store, "POST", append_path(topic), record_bytes(key, value))
    assert status == 200


def server_entry(address):
    """Return a server's entry in the store."""
    host, port = address
    return {
        "service": "app",
        "address": f"{host}:{port}",
        "zone": "a",
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }


def until_ready(address):
    """Wait until an entry reports that it is ready."""
    deadline_s = time.monotonic() + READY_WAIT_S
    while not is_ready(address):
        assert time.monotonic() < deadline_s, f"{address} is not ready"
        time.sleep(SAMPLE_S)


def is_ready(address):
    """Return whether an entry reports that it is ready."""
    try:
        return call(address, "GET", "/siskinthread/ready")[0] == 200
    except OSError:
        return False
