"""The gateway: an entry that passes requests on to targets without agents."""

import collections
import hashlib

import curio

from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway._session import GatewaySession
from siskinthread.gateway._snapshots import SnapshotFollower
from siskinthread.gateway._status import (
    STATUS_OK,
    STATUS_UNAVAILABLE,
    StatusPage,
    StatusSession,
)
from siskinthread.gateway._table import TableView
from siskinthread.gateway._table_following import TableFollower
from siskinthread.gateway._target_following import TargetFollower
from siskinthread.http_server import BodyBudget, ConnectionServer
from siskinthread.observability import part_logger
from siskinthread.peer_news import HostState
from siskinthread.timing import Deadline

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
    dependencies : list of Dependency
        Whose answers confirm the routes.
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
        "_dependencies",
        "bodies",
        "closing",
        "draining",
        "ended_count",
        "parts",
        "settings",
        "view",
    )

    def __init__(self, settings, view, parts, dependencies, ended_count):
        self.settings = settings
        self.view = view
        self.parts = parts
        self.ended_count = ended_count
        self.bodies = BodyBudget(settings.bodies_limit_bytes)
        self.draining = False
        self.closing = False
        self._dependencies = dependencies

    def confirm_by(self, dependency):
        """Let the answers of one more `Dependency` confirm the routes."""
        self._dependencies.append(dependency)

    def table_age_s(self):
        """Return the seconds since the routes were confirmed, or None."""
        ages_s = [one.age_s() for one in self._dependencies]
        known_s = [age_s for age_s in ages_s if age_s is not None]
        return round(min(known_s), 3) if known_s else None

    def is_table_fresh(self):
        """Return whether the routes can be trusted to be the newest ones."""
        limit_s = self.settings.table_wait_s + self.settings.table_fresh_s
        for dependency in self._dependencies:
            age_s = dependency.age_s()
            if age_s is not None and age_s <= limit_s and not dependency.is_lost:
                return True
        return False


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
        "_failure_domain",
        "_metrics",
        "_peers",
        "_settings",
        "_snapshot_follower",
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
        self._failure_domain = failure_domain
        self._clock = clock
        self._metrics = metrics
        self._peers = None
        self._snapshot_follower = None
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
            [self._table_follower.dependency],
            ended_count,
        )
        self._callers = ConnectionServer(
            live,
            self._context,
            self._open_session,
            clock,
            metrics.gauge("gateway_connections", "Connections of callers."),
        )

    def hear_peers(self, peers, fetch_snapshot):
        """Count peers' requests, and take over what they know in an outage.

        Parameters
        ----------
        peers : siskinthread.peer_news.PeerNews
            Exchanges news with them.
        fetch_snapshot : callable
            See `SnapshotFollower`.
        """
        peers.describe = self._describe
        peers.take_listing = self._target_follower.hear
        self._target_follower.peers = peers
        self._table_follower.peers = peers
        self.parts.loads.peers = peers
        self.parts.progress.peers = peers
        self.parts.retry_part.peers = peers
        self.parts.accounts.peers = peers
        self._peers = peers
        self._snapshot_follower = SnapshotFollower(
            fetch_snapshot,
            peers,
            self.view,
            self.parts.targets,
            self._table_follower,
            self._target_follower,
            self._settings,
            self._clock,
        )
        self._context.confirm_by(self._snapshot_follower.dependency)

    def tasks(self):
        """Return the endless tasks beside the servers, by name."""
        tasks = {
            "configuration": self._table_follower.run,
            "targets": self._target_follower.run,
            "upkeep": self._keep_up,
        }
        if self._peers is not None:
            tasks["news"] = self._peers.run
            tasks["snapshots"] = self._snapshot_follower.run
        return tasks

    def is_to_relieve(self, group):
        """Return whether a group stands still, and this entry should see to it.

        One entry of each failure domain does, so that a standing group is not asked by
        all of them.
        """
        is_reader = self._peers is None or self._peers.is_reader()
        return is_reader and self.parts.progress.is_stalled(group)

    def reader_address(self):
        """Return the address of the entry that reads for this domain; None if it is
        this one.
        """
        return None if self._peers is None else self._peers.reader_address()

    def is_control_candidate(self):
        """Return whether this entry should take a share of the control of groups.

        A change of a map sends it to each rank, 2 MB in all for 96 ranks, so that the
        entries with the fastest links go first; a few are enough.  One that drains
        hands its shares over while it still can finish what it has begun.
        """
        if self._context.draining:
            return False
        if self._peers is None:
            return True
        return self._peers.is_among_first(self._settings.controllers_per_domain)

    def is_home(self, group, rank_domains):
        """Return whether a group is controlled from this failure domain.

        It is the one with most of its ranks, among those that have entries: callers'
        requests go to their own domain first, so that the entries there see the passes
        of the group, and orders do not leave the domain.  Whether these entries are
        informed does not matter: in an outage of the store none is, and each domain
        would take itself for the home of all groups.
        """
        heard = {self._failure_domain}
        if self._peers is not None:
            heard |= self._peers.heard_domains()
        counts = collections.Counter(one for one in rank_domains if one in heard)
        if not counts:
            return self._failure_domain == min(heard)
        home = max(counts, key=lambda one: (counts[one], _tie_break(group, one)))
        return home == self._failure_domain

    def is_store_away(self):
        """Return whether nobody who is heard of reaches the sources."""
        return self._peers is None or not self._peers.informed_peers()

    def pass_clock(self, group):
        """Return the `PassView` of a group."""
        return self.parts.progress.pass_view(group)

    async def serve_callers(self, listening_socket):
        """Serve callers until a drain has finished."""
        await self._callers.run(listening_socket)

    async def serve_pages(self, listening_socket, pages):
        """Serve pages about the process until cancelled.

        Parameters
        ----------
        listening_socket : curio.io.Socket
            A listening socket.
        pages : dict of str to callable
            Builds the `StatusPage` of each path.
        """

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

    async def drain(self, stop_limit_s):
        """Finish what is in flight; return whether that was possible.

        Parameters
        ----------
        stop_limit_s : float
            Time until the process is killed, seconds.
        """
        wait_s = max(0.0, stop_limit_s - self._settings.stop_margin_s)
        return await self._callers.drain(Deadline.after(self._clock, wait_s))

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

    def ready_page(self):
        """Return the `StatusPage` that tells the balancer whether to send callers."""
        reason = self.unready_reason()
        if reason is None:
            return StatusPage(STATUS_OK, b"ready\n")
        return StatusPage(STATUS_UNAVAILABLE, f"not ready: {reason}\n".encode())

    def metrics_page(self):
        """Return the `StatusPage` of the metrics."""
        return StatusPage(STATUS_OK, self._metrics.render())

    def _describe(self):
        table = self.view.table
        version = 0 if table is None else table.version
        followers = (self._table_follower, self._target_follower)
        is_lost = any(one.dependency.is_lost for one in followers)
        is_known = self._target_follower.dependency.age_s() is not None
        return HostState(
            version,
            is_known and not is_lost,
            self.parts.loads.own_counts(),
            self._target_follower.statement(),
            self.parts.progress.stalled_groups(),
            self.parts.progress.passes_s(),
            self.parts.accounts.own_counts(),
        )

    async def _keep_up(self):
        """Close connections to targets that rest too long, and sample accounts."""
        while True:
            await curio.sleep(self._settings.upkeep_interval_s)
            self.parts.accounts.sample()
            entries = self.parts.targets.entries()
            serving = {one.instance_id for one in entries if not one.is_leaving}
            await self.parts.pool.sweep(serving)


def _tie_break(group, failure_domain):
    """Return what orders failure domains for a group, for each group otherwise."""
    return hashlib.blake2b(f"{group}/{failure_domain}".encode()).digest()
