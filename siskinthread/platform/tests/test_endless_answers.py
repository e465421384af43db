"""A gateway process beside a server whose answers never end."""

import http.client
import json
import socket
import threading
import time

import pytest

from scripts._processes import Processes
from siskinthread.gateway import GatewaySettings
from siskinthread.platform.tests.burst_system import call
from siskinthread.platform.tests.gateway_process import GatewayProcess
from siskinthread.platform.tests.system import (
    HOST,
    KEY,
    ONCE_PATH,
    request_bytes,
    SAFE_PATH,
    STREAM_PATH,
)
from standins.endless_answers import ENDLESS_ANSWERS

GOOD_SERVERS = ("i-1", "i-2")
REQUESTS = 40
SPREAD_S = 0.02
# Until the gateway has read a change of the list.
LIST_READ_S = 1.1
DEADLINE_S = 1.5
# From the deadline until the caller has its answer and the server's channel is closed.
LATENESS_S = 0.25
# From the start of an answer until its connection is closed.
LONGEST_S = DEADLINE_S + 2 * LATENESS_S
# The latency objective of the route.
OBJECTIVE_S = 0.4
# Sent by the server and held by the kernels of both ends.
KERNEL_BYTES = 16 * 1024 * 1024
# A quarter of the memory of the smallest hosts.
MEMORY_LIMIT_BYTES = 75 * 1024 * 1024
SLOW_READ_BYTES = 4096
SLOW_PAUSE_S = 0.05
SLOW_CALLERS = 12
ROUNDS_LIMIT = 5
STREAMS = ("event", "events")
CASES = [
    (name, path)
    for name in ENDLESS_ANSWERS
    for path in ([STREAM_PATH] if name in STREAMS else [SAFE_PATH, ONCE_PATH])
]


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Run a gateway with servers that answer."""
    folder = tmp_path_factory.mktemp("endless")
    with Processes(folder) as processes:
        system = GatewayProcess(processes, folder)
        for name in GOOD_SERVERS:
            system.start_server(name)
        system.wait_until_ready()
        yield system


class Caller(threading.Thread):
    """A caller that sends one request."""

    def __init__(self, address, name, path):
        super().__init__(daemon=True)
        self._address = address
        self._name = name
        self._path = path
        self.took_s = None
        self.status = None

    def run(self):
        """Send the request; leave `status` None if the answer is not whole."""
        connection = http.client.HTTPConnection(*self._address, timeout=60.0)
        headers = {"Host": HOST, "X-Request-Id": self._name}
        headers["Authorization"] = f"Token {KEY}"
        headers["X-Deadline-Ms"] = str(round(DEADLINE_S * 1000))
        began_s = time.monotonic()
        try:
            connection.request("POST", self._path, b"x", headers)
            response = connection.getresponse()
            while response.read(65_536):
                pass
            self.status = response.status
        except (OSError, http.client.HTTPException):
            pass
        finally:
            self.took_s = time.monotonic() - began_s
            connection.close()


def closed_counts(address, bound_s):
    """Return a server's counts when all its answers are closed, or at the bound."""
    while True:
        counts = json.loads(call(address, "GET", "/runs")[1])
        is_closed = counts["closed_count"] == counts["began_count"]
        if is_closed or time.monotonic() >= bound_s:
            return counts
        time.sleep(SPREAD_S)


def start_callers(system, path, names, servers):
    """Start callers until each server has begun an answer to one of them.

    A target whose speed isn't known may be passed over for one that is known to answer
    soon, so that none of the first callers goes to it.
    """
    callers = []
    for _ in range(ROUNDS_LIMIT):
        for _ in range(REQUESTS):
            name = f"{'-'.join(names)}-{path[1:3]}-{len(callers)}"
            callers.append(Caller(system.address, name, path))
            callers[-1].start()
            time.sleep(SPREAD_S)
        runs = [json.loads(call(one, "GET", "/runs")[1]) for one in servers]
        if all(one["began_count"] > 0 for one in runs):
            break
    return callers


def serve_callers_beside(system, path, names):
    """Serve callers beside servers with endless answers, and check all bounds."""
    servers = {f"endless-{path[1:3]}-{name}": name for name in names}
    addresses = [
        system.start_server(server, "--endless", name)
        for server, name in servers.items()
    ]
    time.sleep(LIST_READ_S)
    callers = start_callers(system, path, names, addresses)
    last_bound_s = time.monotonic() + LONGEST_S
    for caller in callers:
        caller.join()
    counts = [closed_counts(one, last_bound_s) for one in addresses]
    for server in servers:
        system.end_server(server)
    settings = GatewaySettings()
    for one in counts:
        assert one["began_count"] > 0
        assert one["closed_count"] == one["began_count"], counts
        assert one["longest_s"] < LONGEST_S
        assert one["most_bytes"] < settings.answer_size_limit_bytes + KERNEL_BYTES
    assert max(one.took_s for one in callers) < DEADLINE_S + LATENESS_S
    served_s = sorted(one.took_s for one in callers if one.status == 200)
    began_count = sum(one["began_count"] for one in counts)
    assert len(served_s) >= len(callers) - began_count
    assert served_s[len(served_s) // 2] < OBJECTIVE_S
    assert system.peak_bytes() < MEMORY_LIMIT_BYTES


@pytest.mark.parametrize(("name", "path"), CASES)
def test_endless_answer_holds_no_caller_and_no_other_request(system, name, path):
    """Guards against an endless answer that is passed on beyond its deadline."""
    serve_callers_beside(system, path, [name])


@pytest.mark.parametrize("path", [SAFE_PATH, ONCE_PATH])
def test_several_endless_servers_hold_no_other_request(system, path):
    """Guards against endless answers that together use up the processor."""
    names = ["chunks", "body to the close", "small chunks", "header line by bytes"]
    serve_callers_beside(system, path, names)


class SlowCaller(threading.Thread):
    """A caller that reads its answer slowly."""

    def __init__(self, system, name):
        super().__init__(daemon=True)
        self._address = system.address
        headers = [f"X-Request-Id: {name}", f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}"]
        headers.append("Connection: close")
        self._request = request_bytes(0, SAFE_PATH, "POST", b"x", headers, KEY)

    def run(self):
        """Send the request; read until the end or for longer than the deadline."""
        with socket.socket() as connection:
            size = socket.SO_RCVBUF
            connection.setsockopt(socket.SOL_SOCKET, size, SLOW_READ_BYTES)
            connection.connect(self._address)
            connection.sendall(self._request)
            ends_s = time.monotonic() + 2 * DEADLINE_S
            while time.monotonic() < ends_s and connection.recv(SLOW_READ_BYTES):
                time.sleep(SLOW_PAUSE_S)


def start_slow_callers(system, name, server):
    """Start slow callers until the server has begun an answer to one of them.

    Targets are chosen at random, so that all of the first callers may go elsewhere.
    """
    callers = []
    for _ in range(ROUNDS_LIMIT):
        for _ in range(SLOW_CALLERS):
            callers.append(SlowCaller(system, f"{name}-{len(callers)}"))
            callers[-1].start()
            time.sleep(SPREAD_S)
        if json.loads(call(server, "GET", "/runs")[1])["began_count"] > 0:
            break
    return callers


@pytest.mark.parametrize("name", ["chunks", "body to the close", "failed"])
def test_slow_reader_does_not_keep_an_endless_answer_going(system, name):
    """Guards against an answer without end that goes on at the pace of its caller."""
    server_name = f"slow-{name}"
    server = system.start_server(server_name, "--endless", name)
    time.sleep(LIST_READ_S)
    for caller in start_slow_callers(system, server_name, server):
        caller.join()
    counts = json.loads(call(server, "GET", "/runs")[1])
    system.end_server(server_name)
    assert counts["began_count"] > 0
    assert counts["closed_count"] == counts["began_count"], counts
    assert counts["longest_s"] < LONGEST_S
    assert system.peak_bytes() < MEMORY_LIMIT_BYTES
