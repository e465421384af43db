"""Measurement of control at one size, with nodes in worker processes.

The stand-ins of the platform run in this process; they are imported from the checkout,
see `siskinthread.measurement._checkout`.
"""

import argparse
import contextlib
import json
import sys
import time
import zlib

import curio
from curio import subprocess

from siskinthread.configuration import (
    Account,
    Host,
    Placement,
    Policy,
    Selector,
    Service,
)
from siskinthread.configuration._records import Change, encode_change
from siskinthread.errors import MeasurementError
from siskinthread.measurement._control_node import AGENT, ENTRY, LOOPBACK
from siskinthread.measurement._process_usage import read_usage
from standins._http_server import HttpServer
from standins.log import LogStandin

WORKER_MODULE = "siskinthread.measurement._control_worker"
NODES_PER_WORKER = 20
DOMAINS = 8
ENTRY_SHARE = 410 / 1010
ACCOUNTS_PER_NODE = 2300 / 1010
STREAM = "configuration"
CHANGES = 12
SETTLE_S = 1.0
REST_S = 4.0
START_LIMIT_S = 40.0
LAST_CHANGE_LIMIT_S = 12.0
POLL_INTERVAL_S = 0.1
LOG_OPTIONS = argparse.Namespace(
    keep_records=100_000, keep_age_s=86_400.0, appends_per_s=400.0
)


class HostList:
    """Stand-in of the host list of the platform."""

    def __init__(self):
        self.body = b"[]"

    async def handle(self, request, exchange):
        """Answer with the list, or with status 304 if its tag matches."""
        tag = f'"{zlib.crc32(self.body)}"'
        unchanged = request.headers.get("if-none-match") == tag
        status, body = (304, b"") if unchanged else (200, self.body)
        await exchange.answer(status, body, more=[("etag", tag)])


class WorkerProcess:
    """Handle of a worker process.

    Attributes
    ----------
    role : str
        Role of all its nodes.
    hosts : list of tuple of str
        Host and failure domain of each node.
    """

    def __init__(self, role, hosts):
        self.role = role
        self.hosts = hosts
        self._process = subprocess.Popen(
            [sys.executable, "-m", WORKER_MODULE],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    async def begin(self, log_port, host_list_port, intervals_s):
        """Send the order of the worker; return the host-list entries of its nodes."""
        order = {
            "role": self.role,
            "hosts": self.hosts,
            "log_port": log_port,
            "host_list_port": host_list_port,
            "intervals_s": intervals_s,
        }
        ports = await self.ask(json.dumps(order))
        return [
            {
                "host": host,
                "role": self.role,
                "address": LOOPBACK,
                "port": port,
                "failure_domain": domain,
                "leaving": False,
            }
            for (host, domain), port in zip(self.hosts, ports, strict=True)
        ]

    async def ask(self, line):
        """Send a command line and return the decoded answer."""
        await self._process.stdin.write(line.encode() + b"\n")
        await self._process.stdin.flush()
        answer = await self._process.stdout.readline()
        if not answer:
            raise MeasurementError("a worker process ended early")
        return json.loads(answer)

    def usage(self):
        """Return the `ProcessUsage` of the process."""
        return read_usage(self._process.pid)

    async def end(self):
        """Terminate the process."""
        self._process.terminate()
        await self._process.wait()


class Snapshot:
    """Resource usage and report of a worker at one time."""

    __slots__ = ("report", "usage")

    def __init__(self, usage, report):
        self.usage = usage
        self.report = report


class SizeFigures:
    """Raw figures of one size.

    Attributes
    ----------
    size : int
        Number of nodes.
    delays_s : list of float
        Time from the append of each change until it is in force on all nodes.
    workers : list of tuple
        Each `WorkerProcess` with its `Snapshot` objects before its nodes start, before
        and after the idle time, and after the changes.
    """

    __slots__ = ("delays_s", "size", "workers")

    def __init__(self, size, delays_s, workers):
        self.size = size
        self.delays_s = delays_s
        self.workers = workers


async def run_size(size, intervals_s):
    """Return the `SizeFigures` of a number of nodes.

    Parameters
    ----------
    size : int
        Number of nodes.
    intervals_s : tuple of float or None
        Interval of heartbeats and of reads of the host list; None for the default.

    Raises
    ------
    MeasurementError
        If the nodes do not start, or a change is not in force on all nodes, in time.
    """
    log, hosts = LogStandin(LOG_OPTIONS), HostList()
    async with contextlib.AsyncExitStack() as cleanup:
        log_server = await cleanup.enter_async_context(HttpServer(log.handle))
        list_server = await cleanup.enter_async_context(HttpServer(hosts.handle))
        workers = []
        for role, names in _assign_nodes(size):
            workers.append(WorkerProcess(role, names))
            cleanup.push_async_callback(workers[-1].end)
        await _append(log, _first_change(size))
        lines = []
        for worker in workers:
            lines += await worker.begin(log_server.port, list_server.port, intervals_s)
        hosts.body = json.dumps(lines).encode()
        empty = await _snapshots(workers)
        for worker in workers:
            await worker.ask("start")
        await _wait_until_up(workers, size)
        return await _measure(size, log, workers, empty)


async def _measure(size, log, workers, empty):
    await curio.sleep(SETTLE_S)
    before = await _snapshots(workers)
    await curio.sleep(REST_S)
    rested = await _snapshots(workers)
    appended_at_s = await _publish_changes(log, workers, size)
    changed = await _snapshots(workers)
    delays_s = await _delays_s(workers, appended_at_s)
    snapshots = zip(workers, empty, before, rested, changed, strict=True)
    return SizeFigures(size, delays_s, list(snapshots))


async def _snapshots(workers):
    return [Snapshot(worker.usage(), await worker.ask("report")) for worker in workers]


async def _publish_changes(log, workers, size):
    appended_at_s = {}
    for version in range(CHANGES):
        changed = Host(_host_name(AGENT, version % (size // 2)), {"step": str(version)})
        appended_at_s[version + 1] = time.monotonic()
        await _append(log, Change(f"c{version}", "ada", "", version, [changed], []))
        # In operation, changes are minutes apart.  Without this wait, a change would
        # queue behind the work on earlier changes, as many nodes share a process here.
        await _wait_for_version(workers, size, version + 1)
    return appended_at_s


async def _delays_s(workers, appended_at_s):
    latest_s = dict.fromkeys(appended_at_s, 0.0)
    for worker in workers:
        for advances in await worker.ask("advances"):
            for version in appended_at_s:
                # A later version that arrives in the same answer includes this one.
                in_force_s = min(at_s for found, at_s in advances if found >= version)
                latest_s[version] = max(latest_s[version], in_force_s)
    return [latest_s[version] - appended_at_s[version] for version in appended_at_s]


async def _append(log, change):
    await log.streams[STREAM].append(encode_change(change))


async def _wait_until_up(workers, size):
    """Wait until all nodes have the configuration and the link count is stable."""
    await _wait_for_version(workers, size, 0)
    links, before = None, -1
    async with curio.timeout_after(START_LIMIT_S):
        while links != before or not links:
            before = links
            await curio.sleep(SETTLE_S)
            reports = [await worker.ask("report") for worker in workers]
            links = sum(report["links"] for report in reports)


async def _wait_for_version(workers, size, version):
    limit_s = START_LIMIT_S if version == 0 else LAST_CHANGE_LIMIT_S
    try:
        async with curio.timeout_after(limit_s):
            while await _count_at(workers, version) < size:
                await curio.sleep(POLL_INTERVAL_S)
    except curio.TaskTimeout as error:
        message = f"version {version} was not in force on {size} nodes in time"
        raise MeasurementError(message) from error


async def _count_at(workers, version):
    count = 0
    for worker in workers:
        versions = (await worker.ask("report"))["versions"]
        count += sum(found >= version for found in versions)
    return count


def _assign_nodes(size):
    entries = round(size * ENTRY_SHARE)
    for role, count in ((ENTRY, entries), (AGENT, size - entries)):
        names = [
            (_host_name(role, number), f"domain-{number % DOMAINS}")
            for number in range(count)
        ]
        # The number of nodes in a process is the same at each size.  With more nodes, a
        # change would wait for the other nodes of the process, and its propagation time
        # would grow with the size for that reason alone.
        workers = -(-count // NODES_PER_WORKER)
        for worker in range(workers):
            yield role, names[worker::workers]


def _host_name(role, number):
    return f"{role}-{number:04d}"


def _first_change(size):
    everything = Selector("")
    objects = [
        Service("triage-llm", {}, "plain"),
        Placement("all", {}, everything, everything),
        Policy("all", {}, everything, everything, everything, 1),
    ]
    objects += [Host(_host_name(AGENT, number), {}) for number in range(size)]
    objects += [
        Account(
            f"account-{number:04d}", {"member": str(number % 2)}, [f"{number:064x}"]
        )
        for number in range(round(size * ACCOUNTS_PER_NODE))
    ]
    return Change("first", "ada", "", -1, objects, [])
