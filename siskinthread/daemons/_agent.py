"""Agent daemon, which executes the requests for the target on its host."""

import functools

import curio

from siskinthread.configuration import ConfigurationView
from siskinthread.control import ControlPlane
from siskinthread.daemons._audit_duties import AuditDuties
from siskinthread.daemons._experts_status import no_group_status
from siskinthread.daemons._group_duties import GroupDuties
from siskinthread.daemons._running import BACKLOG, run_daemon
from siskinthread.execution import AgentServer, StatusServer
from siskinthread.membership import follow_host_list, MembershipView
from siskinthread.observability import Metrics, part_logger
from siskinthread.shared_services import HostListClient, LogClient
from siskinthread.supervision import run_until_stopped
from siskinthread.targets import build_target
from siskinthread.timing import Deadline, SYSTEM_CLOCK
from siskinthread.wire import Identity

AGENT_ROLE = "agent"

_logger = part_logger("daemons")


def run_agent(settings):
    """Run the agent until a stop signal, and drain its running requests.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the process.

    Returns
    -------
    int
        Exit status of the process.
    """
    return run_daemon(Agent, settings)


class Agent:
    """Agent process: assembles its parts and runs their tasks.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the process.
    """

    __slots__ = (
        "_audit",
        "_control",
        "_duties",
        "_membership",
        "_metrics",
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
        self._membership.listen(self._follow_own_entry)
        identity = Identity(
            settings.host, settings.failure_domain, AGENT_ROLE, settings.services
        )
        self._control = ControlPlane(
            identity,
            settings,
            LogClient(settings.platform),
            self._view,
            self._membership,
            clock,
            self._metrics,
        )
        self._server = AgentServer(
            identity,
            settings.execution,
            settings.peers,
            self._view,
            build_target(settings.target, clock),
            clock,
            self._metrics,
            self._control,
        )
        self._server.answer_experts = lambda question: no_group_status(identity.host)
        self._audit = AuditDuties(
            settings,
            identity,
            self._membership,
            LogClient(settings.platform),
            clock,
            self._metrics,
        )
        self._duties = None
        if settings.rank.group:
            self._duties = GroupDuties(
                settings,
                identity,
                self._view,
                self._membership,
                LogClient(settings.platform),
                self._audit.recorder,
                clock,
                self._metrics,
            )
            self._server.answer_experts = self._duties.answer_experts
            self._server.rank_service = self._duties.service

    async def run(self):
        """Run all tasks until a stop signal, then drain."""
        peers = _listen(self._settings.peer_listen)
        pages = _listen(self._settings.metrics_listen)
        status = StatusServer(self._metrics, self._unready_reason)
        _logger.info(
            "Agent %s accepts connections of entries on %s:%d.",
            self._settings.host,
            *peers.getsockname(),
        )
        tasks = {
            "links": functools.partial(self._server.run, peers),
            "status": functools.partial(status.run, pages),
            "configuration": self._control.run,
            "membership": self._follow_host_list,
        }
        tasks |= self._audit.tasks()
        if self._duties is not None:
            tasks |= self._duties.tasks()
        await run_until_stopped(tasks, self._drain)

    async def _follow_host_list(self):
        await follow_host_list(
            HostListClient(self._settings.platform),
            self._membership,
            self._settings.platform,
            SYSTEM_CLOCK,
            self._metrics,
        )

    def _follow_own_entry(self, membership):
        self._server.set_listed_leaving(membership.is_leaving(self._settings.host))

    def _unready_reason(self):
        if self._view.state is None:
            return "no configuration is known"
        return "leaving" if self._server.leaving else None

    async def _drain(self):
        limit_s = self._settings.drain_limit_s
        if not await self._server.drain(Deadline.after(SYSTEM_CLOCK, limit_s)):
            _logger.warning(
                "Requests were still running when the drain time limit expired."
            )


def _listen(address):
    return curio.network.tcp_server_socket(address.host, address.port, backlog=BACKLOG)
