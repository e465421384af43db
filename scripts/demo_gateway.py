"""Run a gateway with direct targets on loopback, and trace four failed requests.

``make gateway`` and ``make demo`` start it.  The last line is JSON with the status of
each request; the exit status is 0 if all are as expected.
"""

import http.client
import json
import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts._platform_files import (  # noqa: E402
    append_path,
    CALLER_HOST,
    configuration,
    listed,
    record_bytes,
    route,
    settings_text,
)
from scripts._processes import free_ports, Processes  # noqa: E402
from siskinthread.tracing import find_request  # noqa: E402

KEY = "demo-key"
SERVERS = ("i-1", "i-2")
# Started later, since a request crashes two servers.
MORE_SERVERS = ("i-3", "i-4", "i-5")
START_WAIT_S = 10.0
POLL_INTERVAL_S = 0.05
# Time for the log thread to write its lines on a busy machine.
LOG_WAIT_S = 0.5
# Path and behaviour of the servers by name of the request, in the order of sending.  A
# decline states a full server, so the gateway refuses the next request at once.
FAULTS = {
    "answered": ("/alert/2f", "answer"),
    "streamed": ("/stream/2f", "stream"),
    "continued": ("/stream/2f", "cut"),
    "declined": ("/alert/2f", "decline"),
    "also-declined": ("/alert/2f", "decline"),
    "overloaded": ("/alert/2f", "answer"),
    "late": ("/stream/2f", "slow"),
    "unknown": ("/alert/2f", "lose"),
}
EXPECTED = {
    "answered": 200,
    "streamed": 200,
    "continued": 200,
    "declined": 503,
    "also-declined": 503,
    "overloaded": 503,
    "late": 200,
    "unknown": 502,
    "ends-1": 502,
    "ends-2": 502,
    "ends-3": 503,
    "ends-4": 503,
}
# Longer than the gateway uses the load that a server stated.
REPORT_WAIT_S = 1.2
# Longer than the interval of 1 s at which the gateway reads the list of servers.
LISTED_WAIT_S = 1.5

CONFIGURATION = configuration(
    1,
    [
        route("/stream/", "streaming", resumable=True),
        route("/alert/", "unsafe", attempts=1),
    ],
    {"inspectorate": [KEY]},
)


def call(address, method, path, body=b"", headers=None):
    """Send a request; return status and body of the answer."""
    connection = http.client.HTTPConnection(*address, timeout=START_WAIT_S)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def publish(store, topic, key, value):
    """Write a value of a key to the store."""
    call(store, "POST", append_path(topic), record_bytes(key, value))


def ask(gateway, request_id, path, body=b"report"):
    """Send a caller's request; return the status of the answer."""
    headers = {
        "Host": CALLER_HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "4000",
        "Authorization": f"Token {KEY}",
    }
    return call(gateway, "POST", path, body, headers)[0]


def start_servers(processes, store, names):
    """Start servers and write their store entries; return their addresses."""
    command = [sys.executable, "-m", "standins.platform_server", "--instance-id"]
    servers = [processes.start(name, [*command, name], True) for name in names]
    addresses = [server.read_address() for server in servers]
    for name, address in zip(names, addresses, strict=True):
        publish(store, "keyed.servers", name, listed(address))
    return addresses


def start(processes, folder):
    """Start all; return addresses of gateway, store, servers, and the gateway's log."""
    store = processes.start(
        "store", [sys.executable, "-m", "standins.platform_store"], True
    )
    store_address = store.read_address()
    publish(store_address, "keyed.op", "config", CONFIGURATION)
    server_addresses = start_servers(processes, store_address, SERVERS)
    front, ready, peer = free_ports(3)
    settings = folder / "settings.toml"
    settings.write_text(settings_text("entry-1", (front, ready, peer), store_address))
    os.environ["SISKINTHREAD_BOOT"] = str(settings)
    gateway = processes.start(
        "gateway", [sys.executable, "-m", "siskinthread.platform"]
    )
    wait_until_ready(("127.0.0.1", ready))
    gateway_address = ("127.0.0.1", front)
    return gateway_address, store_address, server_addresses, gateway.log_path


def wait_until_ready(address):
    """Wait until the gateway reports that it is ready."""
    deadline_s = time.monotonic() + START_WAIT_S
    while time.monotonic() < deadline_s:
        try:
            if call(address, "GET", "/siskinthread/ready")[0] == 200:
                return
        except OSError:
            pass
        time.sleep(POLL_INTERVAL_S)
    raise SystemExit("the gateway did not get ready")


def send_requests(gateway, servers):
    """Send each request with its fault; return the status by name."""
    statuses = {}
    for name, (path, behaviour) in FAULTS.items():
        body = json.dumps({"behaviours": [behaviour]}).encode()
        for server in servers:
            call(server, "POST", "/faults", body)
        statuses[name] = ask(gateway, f"demo-{name}", path)
        if name == "overloaded":
            time.sleep(REPORT_WAIT_S)
    return statuses


def send_crashing_requests(gateway, servers):
    """Send a request that crashes its server until it is refused, and once more.

    Returns
    -------
    dict of str to int
        Status by name of the attempt.
    """
    ends = json.dumps({"behaviours": ["end"]}).encode()
    for server in servers:
        call(server, "POST", "/faults", ends)
    return {
        f"ends-{number}": ask(gateway, f"demo-ends-{number}", "/alert/2f", b"poison")
        for number in range(1, 5)
    }


def main():
    """Run the demo."""
    with tempfile.TemporaryDirectory() as name, Processes(Path(name)) as processes:
        gateway, store, servers, log_path = start(processes, Path(name))
        statuses = send_requests(gateway, servers)
        servers += start_servers(processes, store, MORE_SERVERS)
        time.sleep(LISTED_WAIT_S)
        statuses |= send_crashing_requests(gateway, servers)
        time.sleep(LOG_WAIT_S)
        lines = log_path.read_text().splitlines()
    for kind in ("overloaded", "ends-3", "unknown", "late"):
        trace = find_request(lines, f"demo-{kind}")
        print(trace.render() if trace else f"no line on demo-{kind}")
    print(json.dumps(statuses))
    return 0 if statuses == EXPECTED else 1


if __name__ == "__main__":
    sys.exit(main())
