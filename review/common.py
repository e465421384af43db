"""What the scripts of the review share: processes, settings, store and callers."""

import contextlib
import http.client
import json
import os
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from scripts._platform_files import append_path, record_bytes
from scripts._processes import free_ports, Processes, ROOT, StartError

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
KEY = "key-of-the-review"
TENANT = "tenant-a"
CALLER_HOST = "review.example"
SERVICE = "service-a"
START_WAIT_S = 15.0
# The bounds that the deployments `spt-feil` and `husvordur-rounds` state.
SETTINGS = """
node = "{name}"
role = "gateway"
class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "region-a"
internal_ports = [{peer}, {peer}]
seeds = [{seeds}]
bootstrap = true
in_tolerance = {in_tolerance}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
zone-a = "region-a"
zone-b = "region-a"
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
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Gateway:
    """A gateway process and its addresses."""

    def __init__(self, process, ip, ports, settings_path):
        self.process = process
        self.front = (ip, ports[0])
        self.ready = (ip, ports[1])
        self.settings_path = settings_path


class Case:
    """Processes and record of a run; a context manager that ends all processes.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, where ``record.txt`` is written.
    has_trouble : bool
        Whether the disruption is to come.
    """

    def __init__(self, folder, has_trouble):
        self.has_trouble = has_trouble
        self._folder = folder
        self._lines = []
        self._stack = contextlib.ExitStack()
        self._began_s = time.monotonic()
        self.store = None
        self.gateways = []
        self._ports = None

    def __enter__(self):
        name = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.scratch = Path(name)
        self.processes = self._stack.enter_context(Processes(self.scratch))
        return self

    def __exit__(self, *exception):
        self._stack.close()
        text = "\n".join(self._lines) + "\n"
        (self._folder / "record.txt").write_text(text)

    def note(self, text, at_s=None):
        """Add a line to the record, at the present or the given steady time."""
        at_s = time.monotonic() if at_s is None else at_s
        line = f"{at_s - self._began_s:8.3f} s  {text}"
        self._lines.append(line)
        return line

    def note_runs(self, paths):
        """Add to the record what the servers ran."""
        for path in paths:
            for run in read_records(path):
                text = f"server {run['server']}: {run['what']} {run['id']}"
                self.note(text, run["at_s"])

    def sort_record(self):
        """Bring the lines of the record into the order of time."""
        self._lines.sort()

    def start_store(self):
        """Start the project's stand-in of the store."""
        command = [sys.executable, "-m", "standins.platform_store"]
        process = self.processes.start("store", command, True)
        self.store = process.read_address()

    def publish(self, topic, key, value):
        """Write a value of a key to the store; return when the store confirmed it."""
        call(self.store, "POST", append_path(topic), record_bytes(key, value))
        return time.monotonic()

    def publish_configuration(self, routes, **service_fields):
        """Write the first configuration."""
        service = {"name": SERVICE, "health_path": "/health", "max_conns": 418}
        configuration = {
            "version": 1,
            "routes": routes,
            "services": [{**service, **service_fields}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 30000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        }
        self.publish("keyed.op", "config", configuration)

    def start_server(self, instance_id, *options):
        """Start a server and write its entry; return process, address and record."""
        record = self.scratch / f"{instance_id}.jsonl"
        command = [sys.executable, "-m", "review.standins.server"]
        command += ["--instance-id", instance_id, "--record", str(record), *options]
        process = self.processes.start(instance_id, command, True)
        address = process.read_address()
        self.publish("keyed.servers", instance_id, entry(address))
        self.note(f"server {instance_id} is ready")
        return process, address, record

    def start_gateways(self, count):
        """Start gateways by the deploy file, and wait until they say they are ready."""
        self._ports = free_ports(4)
        ips = [f"127.0.0.{number}" for number in range(1, count + 1)]
        for number, ip in enumerate(ips, 1):
            path = self.scratch / f"gateway-{number}.toml"
            write_settings(path, f"gateway-{number}", ip, self._ports, self.store, ips)
            os.environ["SISKINTHREAD_BOOT"] = str(path)
            process = self.processes.start(f"gateway-{number}", run_command())
            self.gateways.append(Gateway(process, ip, self._ports, path))
        for gateway in self.gateways:
            wait_until_ready(gateway)
        self.note(f"{count} gateways are ready")

    def change_settings(self, gateway):
        """Change a field of a gateway's settings file, as the platform does."""
        ips = [one.front[0] for one in self.gateways]
        name = gateway.process.name
        path = gateway.settings_path
        write_settings(
            path, name, gateway.front[0], self._ports, self.store, ips, "true"
        )

    def gateway_log(self, gateway):
        """Return the lines that a gateway has logged."""
        return gateway.process.log_path.read_text(errors="replace").splitlines()


def write_settings(path, name, ip, ports, store, ips, in_tolerance="false"):
    """Write the settings file of a gateway."""
    front, ready, control, peer = ports
    seeds = ", ".join(f'"{one}:{control}"' for one in ips)
    text = SETTINGS.format(
        name=name,
        ip=ip,
        zone="zone-a",
        front=front,
        ready=ready,
        control=control,
        peer=peer,
        seeds=seeds,
        in_tolerance=in_tolerance,
        store=f"{store[0]}:{store[1]}",
    )
    path.write_text(text)


def run_command():
    """Return the command of the gateway in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    program, *arguments = shlex.split(deploy["roles"]["gateway"]["run"])
    return [sys.executable if program == "python3" else program, *arguments]


def route(prefix, kind, **fields):
    """Return a route in the form that operators publish."""
    values = {
        "name": prefix.strip("/"),
        "host": CALLER_HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": SERVICE,
        "attempts": 2,
        "public": False,
    }
    return values | fields


def entry(address, state="ready", sequence=1):
    """Return the store entry of a server."""
    return {
        "service": SERVICE,
        "address": f"{address[0]}:{address[1]}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": sequence,
    }


def call(address, method, path, body=b"", headers=None):
    """Send a request on a channel of its own; return status and body."""
    connection = http.client.HTTPConnection(*address, timeout=5.0)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def caller_headers(request_id, deadline_ms=8000):
    """Return the headers of a client's request."""
    return {
        "Host": CALLER_HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }


def wait_until_ready(gateway):
    """Wait until a gateway says that it is ready."""
    ends_s = time.monotonic() + START_WAIT_S
    while time.monotonic() < ends_s:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if call(gateway.ready, "GET", "/siskinthread/ready")[0] == 200:
                return
        time.sleep(0.05)
    raise CouldNotRunError(f"{gateway.process.name} did not get ready")


def read_records(path):
    """Return the lines of a server's record."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def run_case(file, run, has_trouble):
    """Run a case and end the process with its exit status.

    Parameters
    ----------
    file : str
        The case's source file; ``record.txt`` is written beside it.
    run : callable
        Called with a `Case`; returns `HELD`, `BROKEN` or `COULD_NOT_RUN`.
    has_trouble : bool
        Whether the disruption is to come.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        with Case(Path(file).resolve().parent, has_trouble) as case:
            try:
                status = run(case)
            finally:
                case.sort_record()
            words = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}
            print(case.note(f"rule {words[status]}, trouble {case.has_trouble}"))
    except (CouldNotRunError, StartError, OSError) as error:
        print(f"the case could not run: {error!r}")
        status = COULD_NOT_RUN
    sys.exit(status)
