"""Starts the gateway, the store and servers of one case as processes on loopback."""

import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SERVICE = "varsel"
START_WAIT_S = 15.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
SETTINGS = """
node = "front-{zone}-{number}"
role = "gateway"
class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "midt-norge"
internal_ports = [{peer},{peer}]
seeds = [{seeds}]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","stream","tenants",
  "platform"]
[zones]
trondheim-a = "midt-norge"
trondheim-b = "midt-norge"
steinkjer = "midt-norge"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 92
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
fencing_required = false
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 20
part_mb = 200
ttl_min_ms = 1000
"""


def route(prefix, kind, **fields):
    """Return a route in the operator's form."""
    values = {
        "name": "r-" + prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 402,
        "priority": 1,
        "service": SERVICE,
        "attempts": 2,
        "public": False,
    }
    return values | fields


def configuration(version, routes, keys=(KEY,)):
    """Return a configuration in the operator's form."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": list(keys), "priority": 1}],
    }


def entry(address, state="ready", sequence=1, **fields):
    """Return the entry of a server in the store."""
    values = {
        "service": SERVICE,
        "address": f"{address[0]}:{address[1]}",
        "zone": "trondheim-a",
        "version": "v1",
        "slots": 6,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": sequence,
    }
    return values | fields


def call(address, method, path, body=b"", headers=None, wait_s=10.0):
    """Make a call on a new channel; return status and body."""
    connection = http.client.HTTPConnection(*address, timeout=wait_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


class Case:
    """The processes of one case, and its record."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self._record = (self.folder / "record.txt").open("w")
        self._temporary = tempfile.TemporaryDirectory()
        self.scratch = Path(self._temporary.name)
        self._processes = []
        self._began_s = time.monotonic()
        self.store = None
        self._ports = free_ports(4)

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()
        self._record.close()
        self._temporary.cleanup()

    def note(self, text):
        """Write a line to the record, with the time since the start."""
        line = f"{time.monotonic() - self._began_s:8.3f} s  {text}"
        self._record.write(line + "\n")
        self._record.flush()

    def start(self, name, arguments, environment=None, is_announced=False):
        """Start a process; return it, and its address if it prints one."""
        paths = [str(ROOT), str(ROOT / "target" / "deps")]
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        variables |= {"PYTHONPATH": os.pathsep.join(paths), **(environment or {})}
        log = (self.scratch / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if is_announced else log,
            stderr=log,
        )
        self._processes.append(process)
        self.note(f"started {name}")
        if not is_announced:
            return process, None
        line = process.stdout.readline().decode()
        if not line.startswith("listening "):
            raise RuntimeError(f"{name} did not start")
        host, _, port = line.split()[1].rpartition(":")
        return process, (host, int(port))

    def start_store(self):
        """Start the store."""
        _, self.store = self.start(
            "store", ["-m", "standins.platform_store"], is_announced=True
        )

    def start_server(self, name, port=0):
        """Start a server and return its process and address."""
        arguments = ["-m", "review.support_2.server", "--instance-id", name]
        arguments += ["--port", str(port)]
        return self.start(name, arguments, is_announced=True)

    def start_gateway(self, number=1, store=None, zone="trondheim-a", count=1):
        """Start a gateway and wait until it is ready; return it and its addresses.

        Each gateway has an address of its own, and all use the same ports.
        """
        front, ready, control, peer = self._ports
        store = store or self.store
        ip = f"127.0.0.{number}"
        path = self.scratch / f"settings-{number}.toml"
        seeds = [f'"127.0.0.{one}:{control}"' for one in range(1, count + 1)]
        path.write_text(
            SETTINGS.format(
                number=number,
                ip=ip,
                zone=zone,
                seeds=",".join(seeds),
                front=front,
                ready=ready,
                control=control,
                peer=peer,
                store=f"{store[0]}:{store[1]}",
            )
        )
        process, _ = self.start(
            f"gateway-{number}",
            ["-m", "siskinthread.platform"],
            {"SISKINTHREAD_BOOT": str(path)},
        )
        ends_s = time.monotonic() + START_WAIT_S
        while not self.is_ready((ip, ready)):
            if time.monotonic() > ends_s or process.poll() is not None:
                raise RuntimeError("the gateway did not get ready")
            time.sleep(0.05)
        self.note(f"gateway-{number} is ready")
        return process, (ip, front), (ip, ready)

    def is_ready(self, address):
        """Return whether a gateway reports that it is ready."""
        try:
            return call(address, "GET", "/siskinthread/ready", wait_s=1.0)[0] == 200
        except OSError:
            return False

    def append(self, topic, key, value):
        """Write a record as the operator or a server does; return when acknowledged."""
        content = value if isinstance(value, bytes) else b""
        if value is not None and not isinstance(value, bytes):
            content = json.dumps(value).encode()
        name = key.encode()
        content = bytes([len(name)]) + name + content
        body = len(content).to_bytes(4, "big") + content
        path = f"/siskinthread/log-append?topic={topic}&part=0"
        status, _ = call(self.store, "POST", path, body)
        if status != 200:
            raise RuntimeError(f"the store answered {status}")
        return time.monotonic()

    def set_store(self, **faults):
        """Set the faults of the store stand-in."""
        call(self.store, "POST", "/faults", json.dumps(faults).encode())

    def set_server(self, address, **values):
        """Change the state of a server stand-in."""
        call(address, "POST", "/set", json.dumps(values).encode())

    def runs(self, address):
        """Return the record of a server stand-in."""
        return json.loads(call(address, "GET", "/runs")[1])


def request_bytes(
    method, path, request_id, body=b"", deadline_ms=8000, key=KEY, more=()
):
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {key}",
        *more,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    """What a client has read on its channel, judged by the framing of HTTP/1.1."""

    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    def __str__(self):
        if self.status is None:
            return "no answer, the channel was closed"
        whole = "complete" if self.is_complete else "visibly broken off"
        return f"{self.status}, {len(self.body)} bytes of body, {whole}"


def ask(address, data, wait_s=12.0):
    """Send a request on a new channel and read its answer to the end of its framing."""
    with socket.create_connection(address, timeout=wait_s) as channel:
        channel.sendall(data)
        return read_answer(channel)


def read_answer(channel):
    """Return the `Answer` that is read from a channel."""
    response = http.client.HTTPResponse(channel)
    try:
        response.begin()
    except (OSError, http.client.HTTPException):
        return Answer(None, {}, b"", False)
    headers = {name.lower(): value for name, value in response.getheaders()}
    body = b""
    try:
        while piece := response.read1(65_536):
            body += piece
        is_complete = True
        if "content-length" in headers:
            is_complete = len(body) == int(headers["content-length"])
    except http.client.IncompleteRead as error:
        body += error.partial
        is_complete = False
    except OSError:
        is_complete = False
    return Answer(response.status, headers, body, is_complete)


def play(folder, run, has_trouble):
    """Run a case with its record in a folder; return the exit status."""
    try:
        with Case(folder) as case:
            case.note(
                "with the disruption" if has_trouble else "without the disruption"
            )
            status = run(case)
            case.note(f"exit status {status}")
            return status
    except Exception:
        traceback.print_exc()
        return NOT_RUN


def free_ports(count):
    """Return free TCP ports of the loopback address."""
    held = [socket.socket() for _ in range(count)]
    try:
        for one in held:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in held]
    finally:
        for one in held:
            one.close()
