"""Small complete system on loopback: stand-ins, agents, entries, configuration."""

import json
import sys
import time

import curio

from scripts._caller_http import CallerConnection
from scripts._cluster_configuration import configuration
from scripts._cluster_options import LOOPBACK, Node
from scripts._cluster_settings import (
    daemon_settings,
    operator_settings,
    Platform,
    text_of,
)
from scripts._processes import free_ports, StartError

PORTS_OF_A_HOST = 2
READY_WAIT_S = 10.0
PUBLISH_WAIT_S = 20.0
POLL_INTERVAL_S = 0.05
CONTROL_WAIT_S = 5.0


class Cluster:
    """Starts the processes of a cluster and controls its stand-ins.

    Parameters
    ----------
    options : ClusterOptions
        Sizes and settings of the cluster.
    processes : scripts._processes.Processes
        Starts and ends the processes.
    folder : pathlib.Path
        Folder for settings files.

    Attributes
    ----------
    entries, agents : list of Node
        Hosts of the system, by role.
    platform : scripts._cluster_settings.Platform or None
        Addresses of the platform's stand-ins; None before they are started.
    """

    __slots__ = (
        "_folder",
        "_options",
        "_processes",
        "_publications",
        "agents",
        "entries",
        "platform",
    )

    def __init__(self, options, processes, folder):
        self._options = options
        self._processes = processes
        self._folder = folder
        self._publications = 0
        self.entries = []
        self.agents = []
        self.platform = None

    @property
    def entry_addresses(self):
        """Addresses of the entries, for callers."""
        return [entry.address for entry in self.entries]

    def agent(self, name):
        """Return the `Node` of an agent."""
        return next(agent for agent in self.agents if agent.name == name)

    async def start(self):
        """Start all processes, publish a configuration and wait for readiness."""
        self._create_nodes()
        self._start_standins()
        for node in self.entries + self.agents:
            await self.list_host(node)
        for node in self.agents + self.entries:
            self.start_daemon(node)
        await self.publish(configuration(self.agents, self._options))
        await self.wait_until_ready()
        # An agent refuses idempotency keys that may have been issued before its start,
        # with an allowance for the clock error.
        await curio.sleep(2 * self._options.clock_error_limit_s)

    def start_daemon(self, node):
        """Start or restart the daemon of a host."""
        if node.settings_path is None:
            node.settings_path = self._write_settings(node)
        # -O as in production: curio's assertions cost a busy entry much of its time.
        program = [sys.executable, "-O", "-m", "siskinthread", node.role]
        arguments = [*program, "--settings", str(node.settings_path)]
        node.process = self._processes.start(node.name, arguments)

    async def list_host(self, node, leaving=False):
        """Write the entry of a host to the host list."""
        entry = {
            "host": node.name,
            "role": node.role,
            "address": LOOPBACK,
            "port": node.listed_port,
            "failure_domain": node.failure_domain,
            "leaving": leaving,
        }
        await control(self.platform.host_list, "PUT", f"/hosts/{node.name}", entry)

    async def wait_until_ready(self):
        """Wait until every daemon reports that it is ready.

        Raises
        ------
        StartError
            If a daemon is not ready in time or has exited.
        """
        deadline_s = time.monotonic() + READY_WAIT_S
        waiting = self.entries + self.agents
        while waiting:
            self._check_running()
            if time.monotonic() > deadline_s:
                names = ", ".join(node.name for node in waiting)
                raise StartError(f"not ready in {READY_WAIT_S:g} s: {names}")
            waiting = [
                node for node in waiting if not await _is_ready(node.status_address)
            ]
            await curio.sleep(POLL_INTERVAL_S)

    async def ledgers(self):
        """Return the ledgers of all targets by host name."""
        return {
            agent.name: await control(agent.target_address, "GET", "/ledger")
            for agent in self.agents
        }

    async def publish(self, objects, expected_statuses=(0,)):
        """Publish a configuration through the operators' command line.

        Parameters
        ----------
        objects : dict
            JSON values by kind.
        expected_statuses : tuple of int
            Exit statuses of the command that don't fail the run.

        Returns
        -------
        int
            Exit status of the command.
        """
        self._publications += 1
        name = f"publication-{self._publications}"
        path = self._write(f"{name}.json", objects)
        settings_path = self._write("operator.json", operator_settings(self.platform))
        program = [sys.executable, "-m", "siskinthread", "config", "publish"]
        arguments = [str(path), "--settings", str(settings_path)]
        process = self._processes.start(name, [*program, *arguments])
        deadline_s = time.monotonic() + PUBLISH_WAIT_S
        while process.running() and time.monotonic() < deadline_s:
            await curio.sleep(POLL_INTERVAL_S)
        if process.exit_status not in expected_statuses:
            raise StartError(f"publishing failed; {process.log_tail()}")
        return process.exit_status

    def _create_nodes(self):
        options = self._options
        domains = options.failure_domains
        count = options.entries + options.engines + options.plain_services
        ports = iter(free_ports(PORTS_OF_A_HOST * count + len(options.proxied)))
        for index in range(options.entries):
            domain = domains[index % len(domains)]
            name = f"entry-{index + 1}"
            port = next(ports)
            self.entries.append(Node(name, "entry", domain, port, port))
        for kind, number in (
            ("engine", options.engines),
            ("plain", options.plain_services),
        ):
            for index in range(number):
                domain = domains[index % len(domains)]
                name = f"{kind}-{index + 1}"
                ports_of_host = (next(ports), next(ports))
                node = Node(name, "agent", domain, *ports_of_host, kind)
                if name in options.proxied:
                    node.control_address = (LOOPBACK, next(ports))
                self.agents.append(node)

    def _start_standins(self):
        options = self._options
        log = self._start_standin("log", "log")
        lag = ("--lag-s", str(options.host_list_lag_s))
        host_list = self._start_standin("host-list", "host_list", *lag)
        for node in self.agents:
            node.target_process = self._start_target(node)
        for node in self.agents:
            if node.control_address is not None:
                self._start_proxy(node)
        self.platform = Platform(log.read_address(), host_list.read_address())

        for node in self.agents:
            node.target_address = node.target_process.read_address()

    def _start_standin(self, name, module, *arguments):
        program = [sys.executable, "-m", f"standins.{module}", "--port", "0"]
        return self._processes.start(name, [*program, *arguments], states_address=True)

    def _start_target(self, node):
        name = f"target-{node.name}"
        options = self._options
        if node.kind == "plain":
            delay = ("--delay-ms", str(options.plain_delay_ms))
            return self._start_standin(name, "plain_service", *delay)
        return self._start_standin(
            name,
            "engine",
            *("--step-ms", str(options.step_ms)),
            *("--batch-capacity", str(options.batch_capacity)),
            *options.engine_options,
        )

    def _start_proxy(self, node):
        process = self._processes.start(
            f"relay-{node.name}",
            [
                *(sys.executable, "-m", "scripts._fault_proxy"),
                *("--control-port", str(node.control_address[1])),
                *("--to", f"{LOOPBACK}:{node.port}"),
            ],
            states_address=True,
        )
        _, node.listed_port = process.read_address()

    def _check_running(self):
        for node in self.entries + self.agents:
            if not node.process.running():
                raise StartError(f"{node.name} ended; {node.process.log_tail()}")

    def _write_settings(self, node):
        settings = daemon_settings(node, self.platform, self._options)
        return self._write(f"{node.name}.json", settings)

    def _write(self, name, value):
        path = self._folder / name
        path.write_text(json.dumps(value, indent=2))
        return path


async def control(address, method, target, value=None):
    """Send a control request to a stand-in and return its JSON answer.

    Raises
    ------
    StartError
        If the answer is incomplete or its status is not 200.
    """
    connection = CallerConnection(address)
    body = b"" if value is None else json.dumps(value).encode()
    answer = await connection.call(method, target, [], body, CONTROL_WAIT_S)
    await connection.close()
    if answer.status != 200 or not answer.whole:
        raise StartError(f"{method} {target} at {text_of(address)} failed")
    return json.loads(answer.body)


async def _is_ready(address):
    connection = CallerConnection(address)
    answer = await connection.call("GET", "/readyz", [], b"", 1.0)
    await connection.close()
    return answer.status == 200
