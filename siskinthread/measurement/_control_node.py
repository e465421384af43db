"""Node for the measurement of control: a daemon without callers and targets."""

import time

import curio

from siskinthread.configuration import ConfigurationSettings, ConfigurationView
from siskinthread.control import ControlPlane
from siskinthread.execution import AgentServer, ExecutionSettings
from siskinthread.links import AgentLinks
from siskinthread.membership import (
    follow_host_list,
    MembershipSettings,
    MembershipView,
)
from siskinthread.observability import Metrics
from siskinthread.routing import RoutingSettings, subset_of
from siskinthread.settings import Address, Key, KeyList
from siskinthread.shared_services import HostListClient, LogClient, PlatformSettings
from siskinthread.targets import TargetLoad
from siskinthread.timing import SYSTEM_CLOCK
from siskinthread.wire import Identity, PeerSettings

LOOPBACK = "127.0.0.1"
AGENT = "agent"
ENTRY = "entry"
BACKLOG = 1024
UNUSED_PORT = 9


class NodeSettings:
    """Sections of the settings of a daemon that control needs.

    Parameters
    ----------
    log_port, host_list_port : int
        Ports of the stand-ins of the platform.
    heartbeat_interval_s, host_list_interval_s : float or None
        Intervals that replace the defaults.
    """

    __slots__ = ("configuration", "membership", "peers", "platform", "routing")

    def __init__(
        self,
        log_port,
        host_list_port,
        heartbeat_interval_s=None,
        host_list_interval_s=None,
    ):
        self.platform = PlatformSettings(
            log=Address(LOOPBACK, log_port),
            host_list=Address(LOOPBACK, host_list_port),
            **_without_none(host_list_interval_s=host_list_interval_s),
        )
        self.configuration = ConfigurationSettings()
        self.membership = MembershipSettings()
        self.routing = RoutingSettings()
        self.peers = PeerSettings(
            keys=KeyList([Key("measurement", "shared secret")]),
            **_without_none(heartbeat_interval_s=heartbeat_interval_s),
        )


def _without_none(**values):
    return {name: value for name, value in values.items() if value is not None}


class IdleTarget:
    """Target without requests."""

    async def fetch_load(self):
        """Return a `TargetLoad` without running and waiting requests."""
        return TargetLoad(0, 0, 8, 0)


class ControlledNode:
    """Base class of the nodes of both roles.

    Parameters
    ----------
    host, failure_domain : str
        Host name and failure domain of the node.
    role : str
        "entry" or "agent".
    settings : NodeSettings
        Settings of the node.

    Attributes
    ----------
    advances : list of tuple
        Each version that came into force, with its time in monotonic seconds.
    """

    def __init__(self, host, failure_domain, role, settings):
        self.settings = settings
        self.metrics = Metrics()
        self.identity = Identity(host, failure_domain, role)
        self.view = ConfigurationView()
        self.view.listen(self._note_advance)
        self.membership = MembershipView(settings.membership, SYSTEM_CLOCK)
        self.control = ControlPlane(
            self.identity,
            settings,
            LogClient(settings.platform),
            self.view,
            self.membership,
            SYSTEM_CLOCK,
            self.metrics,
        )
        self.advances = []

    async def start(self):
        """Start the tasks that both roles have."""
        await curio.spawn(self.control.run, daemon=True)
        await curio.spawn(
            follow_host_list,
            HostListClient(self.settings.platform),
            self.membership,
            self.settings.platform,
            SYSTEM_CLOCK,
            self.metrics,
            daemon=True,
        )

    def _note_advance(self, state):
        self.advances.append((state.version, time.monotonic()))


class ControlledAgent(ControlledNode):
    """Agent with an idle target."""

    def __init__(self, host, failure_domain, settings):
        super().__init__(host, failure_domain, AGENT, settings)
        self._listening = curio.tcp_server_socket(LOOPBACK, 0, backlog=BACKLOG)
        self.port = self._listening.getsockname()[1]
        self._server = AgentServer(
            self.identity,
            ExecutionSettings(),
            settings.peers,
            self.view,
            IdleTarget(),
            SYSTEM_CLOCK,
            self.metrics,
            self.control,
        )

    def link_count(self):
        """Return the number of links that are up."""
        return len(self._server.links)

    async def start(self):
        """Start the tasks."""
        await curio.spawn(self._server.run, self._listening, daemon=True)
        await super().start()


class ControlledEntry(ControlledNode):
    """Entry without callers."""

    def __init__(self, host, failure_domain, settings):
        super().__init__(host, failure_domain, ENTRY, settings)
        self.port = UNUSED_PORT
        self._links = AgentLinks(
            self.identity, settings.peers, SYSTEM_CLOCK, self.metrics, self.control
        )
        self.membership.listen(self._reconcile)

    def link_count(self):
        """Return the number of links that are up."""
        return len(self._links.connected_hosts())

    async def start(self):
        """Start the tasks."""
        await curio.spawn(self._links.run, daemon=True)
        await super().start()

    def _reconcile(self, membership):
        agents = membership.agents()
        hosts = subset_of(
            self.identity.host,
            agents,
            membership.failure_domain,
            self.identity.failure_domain,
            self.settings.routing.subset_size,
        )
        addresses = {
            host: Address(agents[host].address, agents[host].port) for host in hosts
        }
        self._links.reconcile(addresses)


NODE_CLASSES = {AGENT: ControlledAgent, ENTRY: ControlledEntry}
