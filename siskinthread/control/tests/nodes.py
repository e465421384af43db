"""Entries and agents with a control plane, connected by real links on loopback."""

import contextlib
import random

import curio

from siskinthread.configuration import ConfigurationSettings, ConfigurationView
from siskinthread.configuration.tests.fakes import FakeLog
from siskinthread.control import ControlPlane
from siskinthread.errors import PlatformUnavailableError
from siskinthread.execution import AgentServer, ExecutionSettings
from siskinthread.links import AgentLinks
from siskinthread.membership import MembershipSettings, MembershipView
from siskinthread.observability import Metrics
from siskinthread.settings import Address, Key, KeyList
from siskinthread.shared_services import HostEntry, PlatformSettings
from siskinthread.targets import TargetLoad
from siskinthread.timing import SYSTEM_CLOCK
from siskinthread.wire import Identity, PeerSettings

LOOPBACK = "127.0.0.1"
TEST_LIMIT_S = 8.0
LOOK_INTERVAL_S = 0.005
LONG_S = 60.0


class NodeLog:
    """One node's access to the shared log, which can be cut."""

    def __init__(self, log):
        self.log = log
        self.down = False
        self.reads = 0

    async def read(self, *arguments):
        """Read, unless the access is cut."""
        if self.down:
            raise PlatformUnavailableError("log: out of reach")
        self.reads += 1
        return await self.log.read(*arguments)

    async def append(self, stream, body):
        """Append, unless the access is cut."""
        if self.down:
            raise PlatformUnavailableError("log: out of reach")
        return await self.log.append(stream, body)


class NodeSettings:
    """The settings sections that a control plane needs."""

    def __init__(self, heartbeat_interval_s=LONG_S, **configuration):
        defaults = {
            "peer_interval_s": LONG_S,
            "peer_confirm_limit_s": 2 * LONG_S,
            "retry_wait_first_s": 10 * LONG_S,
            "retry_wait_limit_s": 10 * LONG_S,
            # The records of the tests are old; keep nodes from writing a snapshot.
            "retention_s": 1e12,
        }
        self.platform = PlatformSettings(
            log=Address(LOOPBACK, 1),
            host_list=Address(LOOPBACK, 2),
            log_poll_wait_s=0.0,
        )
        self.configuration = ConfigurationSettings(**(defaults | configuration))
        self.peers = PeerSettings(
            keys=KeyList([Key("shared", "secret of the tests")]),
            heartbeat_interval_s=heartbeat_interval_s,
            silence_limit_s=3 * heartbeat_interval_s,
        )


class IdleTarget:
    """A target without work."""

    async def fetch_load(self):
        """Return the load of an idle target."""
        return TargetLoad(0, 0, 8, 0)


class Node:
    """A process with a control plane.

    Attributes
    ----------
    versions : list of int
        Every version that came into force, in order.
    """

    role = None

    def __init__(self, name, log, settings, domain="domain-a"):
        self.name = name
        self.domain = domain
        self.log = NodeLog(log)
        self.settings = settings
        self.identity = Identity(name, domain, self.role)
        self.metrics = Metrics()
        self.view = ConfigurationView()
        self.versions = []
        self.view.listen(lambda state: self.versions.append(state.version))
        self.membership = MembershipView(MembershipSettings(), SYSTEM_CLOCK)
        self.control = ControlPlane(
            self.identity,
            settings,
            self.log,
            self.view,
            self.membership,
            SYSTEM_CLOCK,
            self.metrics,
            random.Random(1),
        )
        self.tasks = []

    @property
    def version(self):
        """Version in force; None before the first."""
        return self.versions[-1] if self.versions else None

    @property
    def links(self):
        """Number of links of the control plane."""
        return len(self.control._peers.links)

    def list_hosts(self, nodes):
        """Set the host list of the node."""
        self.membership.replace([node.listed() for node in nodes])

    def listed(self):
        """Return this node's entry of the host list."""
        address = self.address()
        return HostEntry(
            self.name, self.role, address.host, address.port, self.domain, False
        )

    def count(self, name, **labels):
        """Return the value of a counter."""
        name = f"siskinthread_{name}_total"
        return self.metrics.registry.get_sample_value(name, labels) or 0

    async def start(self):
        """Start the tasks."""
        self.tasks.append(await curio.spawn(self.control.run))

    async def stop(self):
        """Cancel the tasks."""
        for task in reversed(self.tasks):
            await task.cancel()


class AgentNode(Node):
    """An agent."""

    role = "agent"

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._listening = curio.tcp_server_socket(LOOPBACK, 0)
        self._address = Address(*self._listening.getsockname())
        self.server = AgentServer(
            self.identity,
            ExecutionSettings(coalesce_wait_s=0.0),
            self.settings.peers,
            self.view,
            IdleTarget(),
            SYSTEM_CLOCK,
            self.metrics,
            self.control,
        )

    def address(self):
        """Return the address to which entries connect."""
        return self._address

    async def start(self):
        """Start the server and the control plane."""
        self.tasks.append(await curio.spawn(self.server.run, self._listening))
        await super().start()


class EntryNode(Node):
    """An entry."""

    role = "entry"

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.agent_links = AgentLinks(
            self.identity, self.settings.peers, SYSTEM_CLOCK, None, self.control
        )

    def address(self):
        """Return an address without a listener."""
        return Address(LOOPBACK, 9)

    def link_to(self, *agents):
        """Keep links only to these agents."""
        self.agent_links.reconcile({agent.name: agent.address() for agent in agents})

    async def start(self):
        """Start the links and the control plane."""
        self.tasks.append(await curio.spawn(self.agent_links.run))
        await super().start()


@contextlib.asynccontextmanager
async def running(*nodes):
    """Run nodes within the time limit of a test."""
    async with curio.timeout_after(TEST_LIMIT_S):
        try:
            for node in nodes:
                await node.start()
            yield
        finally:
            for node in nodes:
                await node.stop()


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await curio.sleep(LOOK_INTERVAL_S)


async def all_at(version, *nodes):
    """Wait until a version is in force on all nodes."""
    await until(lambda: all(node.version == version for node in nodes))


def new_log():
    """Return an empty log."""
    return FakeLog()
