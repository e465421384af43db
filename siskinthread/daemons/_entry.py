"""Entry daemon, which accepts requests of callers and forwards them to agents."""

import random

import curio

from siskinthread.admission import Admission, RetryBudget
from siskinthread.callers import CallerServer
from siskinthread.configuration import ConfigurationView
from siskinthread.control import ControlPlane, OperatorServer
from siskinthread.daemons._home_links import HomeLinks
from siskinthread.daemons._running import BACKLOG, run_daemon
from siskinthread.dispatch import Dispatcher
from siskinthread.links import AgentLinks
from siskinthread.membership import follow_host_list, MembershipView
from siskinthread.observability import Metrics, part_logger
from siskinthread.routing import hosts_to_link, Router, subset_of
from siskinthread.settings import Address
from siskinthread.shared_services import HostListClient, LogClient
from siskinthread.supervision import run_until_stopped
from siskinthread.timing import Deadline, SYSTEM_CLOCK
from siskinthread.wire import Identity

ENTRY_ROLE = "entry"

_logger = part_logger("daemons")


def run_entry(settings):
    """Run the entry until a stop signal, and drain its requests in flight.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the process.

    Returns
    -------
    int
        Exit status of the process.
    """
    return run_daemon(Entry, settings)


class Entry:
    """Entry process: assembles its parts and runs their tasks.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the process.
    """

    __slots__ = (
        "_control",
        "_home_links",
        "_links",
        "_membership",
        "_metrics",
        "_operators",
        "_server",
        "_settings",
        "_view",
    )

    def __init__(self, settings):
        clock = SYSTEM_CLOCK
        self._settings = settings
        self._metrics = Metrics()
        self._view = ConfigurationView()
        self._membership = MembershipView(settings.membership, clock)
        identity = Identity(settings.host, settings.failure_domain, ENTRY_ROLE)
        self._control = ControlPlane(
            identity,
            settings,
            LogClient(settings.platform),
            self._view,
            self._membership,
            clock,
            self._metrics,
        )
        self._links = AgentLinks(
            identity, settings.peers, clock, self._metrics, self._control
        )
        self._operators = OperatorServer(identity, settings.peers, self._control)
        self._home_links = HomeLinks(settings.home_links_limit)
        self._membership.is_connected = self._is_connected
        self._membership.listen(self._reconcile_links)
        self._view.listen(self._follow_configuration)
        self._server = self._build_server(clock)

    async def run(self):
        """Run all tasks until a stop signal, then drain."""
        _logger.info("Entry %s is starting.", self._settings.host)
        tasks = {
            "links": self._links.run,
            "callers": self._serve_callers,
            "configuration": self._control.run,
            "membership": self._follow_host_list,
        }
        if self._settings.peer_listen is not None:
            tasks["operators"] = self._serve_operators
        await run_until_stopped(tasks, self._drain)

    def _build_server(self, clock):
        settings = self._settings
        metrics = self._metrics
        router = Router(
            settings.routing,
            settings.failure_domain,
            self._view,
            self._membership,
            self._links,
            clock,
            metrics,
            random.Random(),
        )
        dispatcher = Dispatcher(
            settings.dispatch,
            self._view,
            self._links,
            router,
            RetryBudget(settings.admission, clock),
            clock,
            metrics,
            request_link=self._add_home,
        )
        admission = Admission(
            settings.admission,
            self._view,
            self._membership,
            clock,
            metrics,
            target_load=router.service_load,
        )
        return CallerServer(
            settings.callers,
            self._view,
            dispatcher,
            admission,
            clock,
            metrics,
            connected_hosts=self._links.connected_hosts,
        )

    async def _serve_callers(self):
        # The server closes its listening socket when it ends, so a restart of this task
        # after an error needs a new socket.
        address = self._settings.callers_listen
        listening = curio.network.tcp_server_socket(
            address.host, address.port, backlog=BACKLOG
        )
        _logger.info(
            "Entry accepts connections of callers on %s:%d.", *listening.getsockname()
        )
        await self._server.run(listening)

    async def _serve_operators(self):
        address = self._settings.peer_listen
        listening = curio.network.tcp_server_socket(address.host, address.port)
        await self._operators.run(listening)

    async def _follow_host_list(self):
        await follow_host_list(
            HostListClient(self._settings.platform),
            self._membership,
            self._settings.platform,
            SYSTEM_CLOCK,
            self._metrics,
        )

    def _is_connected(self, host):
        status = self._links.status(host)
        return status is not None and status.connected

    def _add_home(self, host):
        if host in self._membership.agents() and self._home_links.add(host):
            self._reconcile_links(self._membership)

    def _follow_configuration(self, state):
        self._reconcile_links(self._membership)

    def _reconcile_links(self, membership):
        agents = membership.agents()
        homes = self._home_links.homes_in(agents)
        self._links.reconcile(
            {
                host: Address(agents[host].address, agents[host].port)
                for host in {*self._subset(membership, agents), *homes}
            }
        )

    def _subset(self, membership, agents):
        """Return the agents to link to, apart from the homes of idempotency keys.

        The configuration states which agents serve which service, so that each service
        gets links.  Before a configuration is known, links to a few agents are enough
        to fetch it from them.
        """
        settings = self._settings
        state = self._view.state
        if state is None:
            return subset_of(
                settings.host,
                agents,
                membership.failure_domain,
                settings.failure_domain,
                settings.routing.subset_size,
            )
        return hosts_to_link(
            settings.host,
            agents,
            {service: state.service_hosts(service) for service in state.services},
            membership.failure_domain,
            settings.failure_domain,
            settings.routing,
        )

    async def _drain(self):
        limit_s = self._settings.drain_limit_s
        if not await self._server.drain(Deadline.after(SYSTEM_CLOCK, limit_s)):
            _logger.warning(
                "Requests were still in flight when the drain time limit expired."
            )
