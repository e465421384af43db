"""The gateway: an entry that passes requests on to targets without agents."""

import curio

from siskinthread.gateway._following import TableFollower, TargetFollower
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway._session import GatewaySession
from siskinthread.gateway._status import (
    STATUS_OK,
    STATUS_UNAVAILABLE,
    StatusPage,
    StatusSession,
)
from siskinthread.gateway._table import TableView
from siskinthread.http_server import BodyBudget, ConnectionServer
from siskinthread.observability import part_logger

LIMIT_NAMES = (
    "head_size_limit_bytes",
    "body_size_limit_bytes",
    "head_limit_s",
    "idle_limit_s",
)

_logger = part_logger("gateway")


class LiveSettings:
    """The settings, with the callers' limits that operators publish.

    Parameters
    ----------
    settings : GatewaySettings
        Everything else, and the limits until the first are published.
    view : TableView
        The published ones.
    """

    __slots__ = ("_settings", "_view")

    def __init__(self, settings, view):
        self._settings = settings
        self._view = view

    def __getattr__(self, name):
        table = self._view.table
        if name in LIMIT_NAMES and table is not None and table.limits is not None:
            return getattr(table.limits, name)
        return getattr(self._settings, name)


class GatewayContext:
    """What all connections share.

    Parameters
    ----------
    settings : LiveSettings
        Limits and waits.
    view : TableView
        The routes in force.
    parts : GatewayParts
        The parts that requests need.
    dependency : Dependency
        Whether the source of the routes answers.
    ended_count : prometheus_client.Counter
        Connections that were ended early, by cause.

    Attributes
    ----------
    bodies : siskinthread.http_server.BodyBudget
        Memory for bodies.
    draining : bool
        Whether readiness fails, and each response is the last of its connection.
    closing : bool
        Whether connections are refused.
    """

    __slots__ = (
        "_dependency",
        "bodies",
        "closing",
        "draining",
        "ended_count",
        "parts",
        "settings",
        "view",
    )

    def __init__(self, settings, view, parts, dependency, ended_count):
        self.settings = settings
        self.view = view
        self.parts = parts
        self.ended_count = ended_count
        self.bodies = BodyBudget(settings.bodies_limit_bytes)
        self.draining = False
        self.closing = False
        self._dependency = dependency

    def table_age_s(self):
        """Return the seconds since the routes were confirmed, or None."""
        age_s = self._dependency.age_s()
        return None if age_s is None else round(age_s, 3)

    def is_table_fresh(self):
        """Return whether the routes can be trusted to be the newest ones."""
        age_s = self._dependency.age_s()
        limit_s = self.settings.table_wait_s + self.settings.table_fresh_s
        return not self._dependency.is_lost and age_s is not None and age_s <= limit_s


class Gateway:
    """The parts of the gateway, and its tasks.

    Parameters
    ----------
    settings : GatewaySettings
        Limits and waits.
    failure_domain : str
        Where this entry runs.
    wire : object
        Reads and writes headers: ``read_request(head)`` returns `RequestFacts`,
        ``read_answer(head)`` returns `AnswerFacts`, ``target_headers(request, entry,
        last_event_id)``, ``answer_headers(head)`` and ``own_headers(request_id,
        retry_after_s)`` return lists of pairs.
    table_source, target_source : object
        See `TableFollower` and `TargetFollower`.
    clock : siskinthread.timing.Clock
        Clocks.
    metrics : siskinthread.observability.Metrics
        The registry.
    random : random.Random
        For ties and spreads.
    """

    __slots__ = (
        "_callers",
        "_clock",
        "_context",
        "_metrics",
        "_settings",
        "_status_server",
        "_table_follower",
        "_target_follower",
        "parts",
        "view",
    )

    def __init__(
        self,
        settings,
        failure_domain,
        wire,
        table_source,
        target_source,
        clock,
        metrics,
        random,
    ):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self.view = TableView()
        live = LiveSettings(settings, self.view)
        self.parts = GatewayParts(
            settings, failure_domain, wire, clock, metrics, random
        )
        self._table_follower = TableFollower(table_source, self.view, settings, clock)
        self._target_follower = TargetFollower(
            target_source,
            self.parts.targets,
            settings,
            clock,
            when_regained=self._table_follower.read_again,
        )
        ended_count = metrics.counter(
            "gateway_connections_ended",
            "Connections of callers that were ended early, by cause.",
            ("cause",),
        )
        self._context = GatewayContext(
            live,
            self.view,
            self.parts,
            self._table_follower.dependency,
            ended_count,
        )
        self._callers = ConnectionServer(
            live,
            self._context,
            self._open_session,
            clock,
            metrics.gauge("gateway_connections", "Connections of callers."),
        )

    def tasks(self):
        """Return the endless tasks beside the servers, by name."""
        return {
            "configuration": self._table_follower.run,
            "targets": self._target_follower.run,
            "upkeep": self._keep_up,
        }

    async def serve_callers(self, listening_socket):
        """Serve callers until a drain has finished."""
        await self._callers.run(listening_socket)

    async def serve_status(self, listening_socket, ready_path, metrics_path):
        """Serve readiness and metrics until cancelled.

        Parameters
        ----------
        listening_socket : curio.io.Socket
            A listening socket.
        ready_path, metrics_path : str
            Paths of the two pages.
        """
        pages = {ready_path: self._ready_page, metrics_path: self._metrics_page}

        def open_session(connection, is_surplus):
            return StatusSession(connection, self._context, pages)

        server = ConnectionServer(
            self._settings,
            self._context,
            open_session,
            self._clock,
            self._metrics.gauge("gateway_status_connections", "Connections for it."),
        )
        await server.run(listening_socket)

    async def drain(self, deadline):
        """Finish what is in flight; return whether that was possible.

        Parameters
        ----------
        deadline : siskinthread.timing.Deadline
            When to give up.
        """
        return await self._callers.drain(deadline)

    def unready_reason(self):
        """Return why callers should not be sent here, or None."""
        if self._context.draining:
            return "draining"
        if self.view.table is None:
            return "no configuration yet"
        if not self.parts.targets.entries():
            return "no target is known"
        return None

    def _open_session(self, connection, is_surplus):
        return GatewaySession(connection, self._context, is_surplus)

    def _ready_page(self):
        reason = self.unready_reason()
        if reason is None:
            return StatusPage(STATUS_OK, b"ready\n")
        return StatusPage(STATUS_UNAVAILABLE, f"not ready: {reason}\n".encode())

    def _metrics_page(self):
        return StatusPage(STATUS_OK, self._metrics.render())

    async def _keep_up(self):
        """Close connections to targets that have rested too long or are not needed."""
        while True:
            await curio.sleep(self._settings.upkeep_interval_s)
            entries = self.parts.targets.entries()
            serving = {one.instance_id for one in entries if not one.is_leaving}
            await self.parts.pool.sweep(serving)
