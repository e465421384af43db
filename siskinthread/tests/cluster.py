"""Entries and agents in one process, connected by relays that inject faults."""

import contextlib

import curio

from siskinthread.admission import AdmissionSettings, RetryBudget
from siskinthread.configuration import (
    Account,
    ConfigurationView,
    Host,
    Placement,
    Policy,
    Selector,
    Service,
    State,
)
from siskinthread.dispatch import CallerRequest, Dispatcher, DispatchSettings
from siskinthread.execution import AgentServer, ExecutionSettings
from siskinthread.links import AgentLinks
from siskinthread.membership import MembershipSettings, MembershipView
from siskinthread.observability import Metrics
from siskinthread.outcomes import End
from siskinthread.routing import Router, RoutingSettings
from siskinthread.settings import Address, Key, KeyList
from siskinthread.shared_services import HostEntry
from siskinthread.targets import build_target, TargetSettings
from siskinthread.timing import Deadline, SYSTEM_CLOCK
from siskinthread.wire import Identity, PeerSettings
from standins._http_server import CloseConnection, HttpServer

LOOPBACK = "127.0.0.1"
FAILURE_DOMAIN = "trondheim-a"
SERVICE = Service("varsel", {}, "plain")
ACCOUNT = Account("varsel-team", {}, [])
DEADLINE_S = 5.0
RELAY_SIZE_BYTES = 64 * 1024

SILENCE_LIMIT_S = 0.25
"""Short, so that a test run detects many silent connections."""

LONG_SILENCE_LIMIT_S = 5.0
"""Longer than the pauses of this process on a busy machine."""


def make_peer_settings(silence_limit_s):
    """Return the settings that all links share."""
    return PeerSettings(
        keys=KeyList([Key("shared", "secret of the tests")]),
        heartbeat_interval_s=0.05,
        silence_limit_s=silence_limit_s,
        reask_limit_s=1.0,
    )


DISPATCH_SETTINGS = DispatchSettings(
    first_back_off_s=0.002,
    longest_back_off_s=0.01,
    link_wait_s=0.2,
    lost_link_wait_s=0.1,
    link_check_interval_s=0.02,
)


def make_state(hosts):
    """Return a configuration in which every host serves `SERVICE`."""
    match_all = Selector("")
    return State(
        1,
        [
            SERVICE,
            ACCOUNT,
            *[Host(name, {}) for name in hosts],
            Placement("all", {}, match_all, match_all),
            Policy("all", {}, match_all, match_all, match_all, 1),
        ],
    )


class Target:
    """Plain service that counts runs by request and echoes the request body."""

    def __init__(self):
        self.runs = {}
        self.pending_crashes = 0

    async def handle(self, request, exchange):
        """Run a request, then answer it or close the connection without an answer."""
        if request.path == "/load":
            load = {"running": 0, "waiting": 0, "capacity": 100, "age_ms": 0}
            await exchange.answer_json(200, load)
            return
        request_id = request.headers["x-request-id"]
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if self.pending_crashes > 0:
            self.pending_crashes -= 1
            raise CloseConnection
        await exchange.answer(200, b"answer to " + request.body)


class Relay:
    """TCP relay to an agent whose connections can be closed or fall silent."""

    def __init__(self, port):
        self._port = port
        self._listening = curio.tcp_server_socket(LOOPBACK, 0)
        self._tasks = set()
        self._silenced = set()
        self.address = Address(*self._listening.getsockname())

    async def run(self):
        """Relay until cancelled."""
        while True:
            client, _ = await self._listening.accept()
            upstream = await curio.open_connection(LOOPBACK, self._port)
            task = await curio.spawn(self._relay, client, upstream, daemon=True)
            self._tasks.add(task)

    async def cut(self):
        """Close every connection."""
        tasks, self._tasks = self._tasks, set()
        for task in tasks:
            await task.cancel()

    def fall_silent(self):
        """Keep the present connections open but drop all data sent over them."""
        self._silenced |= self._tasks

    async def _relay(self, client, upstream):
        connection = await curio.current_task()
        async with client, upstream, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, client, upstream, connection)
            await group.spawn(self._copy, upstream, client, connection)

    async def _copy(self, source, sink, connection):
        with contextlib.suppress(OSError):
            while data := await source.recv(RELAY_SIZE_BYTES):
                if connection not in self._silenced:
                    await sink.sendall(data)


class AgentHost:
    """Target, its agent and the relay in front of the agent."""

    def __init__(self, name, view, peer_settings):
        self.name = name
        self.target = Target()
        self._view = view
        self._peer_settings = peer_settings
        self._service = HttpServer(self.target.handle)
        self._listening = curio.tcp_server_socket(LOOPBACK, 0)
        self._port = self._listening.getsockname()[1]
        self.relay = Relay(self._port)
        self._agent_task = None
        self._other_tasks = []

    async def start(self):
        """Start the target, the relay and the agent."""
        self._other_tasks = [
            await curio.spawn(self._service.run, daemon=True),
            await curio.spawn(self.relay.run, daemon=True),
        ]
        await self._start_agent()

    async def stop(self):
        """Stop the agent, the target and the relay."""
        await self._agent_task.cancel()
        await self.relay.cut()
        for task in self._other_tasks:
            await task.cancel()

    async def replace_agent(self):
        """Stop the agent without a drain and start a new agent with empty state."""
        await self._agent_task.cancel()
        await self.relay.cut()
        await self._start_agent()

    async def _start_agent(self):
        address = Address(self._service.host, self._service.port)
        target = build_target(
            TargetSettings(kind="plain", address=address), SYSTEM_CLOCK
        )
        agent = AgentServer(
            Identity(self.name, FAILURE_DOMAIN, "agent", [SERVICE.name]),
            ExecutionSettings(clock_error_limit_s=0.0),
            self._peer_settings,
            self._view,
            target,
            SYSTEM_CLOCK,
            Metrics(),
        )
        self._agent_task = await curio.spawn(agent.run, self._listening, daemon=True)


class EntryHost:
    """Dispatcher, router and links of one entry."""

    def __init__(self, name, view, agents, source, peer_settings):
        metrics = Metrics()
        membership = MembershipView(MembershipSettings(), SYSTEM_CLOCK)
        membership.replace([_host_entry(agent) for agent in agents])
        self.links = AgentLinks(
            Identity(name, FAILURE_DOMAIN, "entry"),
            peer_settings,
            SYSTEM_CLOCK,
            metrics,
        )
        self.links.reconcile({agent.name: agent.relay.address for agent in agents})
        router = Router(
            RoutingSettings(pool_refresh_s=0.0),
            FAILURE_DOMAIN,
            view,
            membership,
            self.links,
            SYSTEM_CLOCK,
            metrics,
            source,
        )
        budget = RetryBudget(AdmissionSettings(retry_share=3.0), SYSTEM_CLOCK)
        self.dispatcher = Dispatcher(
            DISPATCH_SETTINGS,
            view,
            self.links,
            router,
            budget,
            SYSTEM_CLOCK,
            metrics,
            source,
        )

    async def answer(self, request):
        """Dispatch a request and return all events of its answer."""
        answer = await self.dispatcher.begin(request)
        events = [await answer.next_event()]
        while not isinstance(events[-1], End):
            events.append(await answer.next_event())
        return events


class Cluster:
    """Entries and agents that are connected with each other.

    Parameters
    ----------
    source : random.Random
        Random source of the routers' sampling and of the back-off jitter.
    silence_limit_s : float
        Time without received data after which a link is closed, in seconds.
    entry_count : int
        Number of entries.
    agent_count : int
        Number of agents, each with a target of its own.
    """

    def __init__(
        self, source, silence_limit_s=SILENCE_LIMIT_S, entry_count=2, agent_count=3
    ):
        peer_settings = make_peer_settings(silence_limit_s)
        names = [f"target-{number}" for number in range(agent_count)]
        self._link_tasks = []
        view = ConfigurationView()
        view.advance(make_state(names))
        self.agents = [AgentHost(name, view, peer_settings) for name in names]
        self.entries = [
            EntryHost(f"entry-{number}", view, self.agents, source, peer_settings)
            for number in range(entry_count)
        ]

    async def start(self):
        """Start all agents and links and wait until every link is connected."""
        for agent in self.agents:
            await agent.start()
        self._link_tasks = [
            await curio.spawn(entry.links.run, daemon=True) for entry in self.entries
        ]
        while not all(
            len(entry.links.connected_hosts()) == len(self.agents)
            for entry in self.entries
        ):
            await curio.sleep(0.01)

    async def stop(self):
        """Stop all links and agents."""
        for task in self._link_tasks:
            await task.cancel()
        for agent in self.agents:
            await agent.stop()

    def runs(self, request_id):
        """Return the number of times that the targets ran a request."""
        return sum(agent.target.runs.get(request_id, 0) for agent in self.agents)


def make_request(request_id, body, idempotent=False, keyed=False):
    """Return a request whose deadline is `DEADLINE_S` from now."""
    return CallerRequest(
        request_id=request_id,
        account=ACCOUNT,
        service=SERVICE,
        method="POST",
        path="/alerts",
        headers=[("content-type", "text/plain")],
        body=body,
        idempotent=idempotent,
        deadline=Deadline.after(SYSTEM_CLOCK, DEADLINE_S),
        priority=1,
        idempotency_key=request_id if keyed else None,
        issued_at_ms=SYSTEM_CLOCK.unix_ms() if keyed else None,
    )


def _host_entry(agent):
    address = agent.relay.address
    return HostEntry(
        agent.name, "agent", address.host, address.port, FAILURE_DOMAIN, False
    )
