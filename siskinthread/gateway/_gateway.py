"""The gateway, which forwards requests directly to targets."""

from random import Random

import curio

from siskinthread.gateway._context import GatewayContext, LiveSettings
from siskinthread.gateway._control_home import ControlHome
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway._session import GatewaySession
from siskinthread.gateway._snapshots import SnapshotFollower
from siskinthread.gateway._status import (
    STATUS_OK,
    STATUS_UNAVAILABLE,
    StatusLimits,
    StatusPage,
    StatusSession,
)
from siskinthread.gateway._suspect_readers import SuspectReaders
from siskinthread.gateway._table import TableView
from siskinthread.gateway._table_following import TableFollower
from siskinthread.gateway._target_following import TargetFollower
from siskinthread.http_server import ConnectionServer, InputMemory
from siskinthread.observability import part_logger
from siskinthread.peer_news import HostState
from siskinthread.poison_requests import PoisonFollower, WriteTurns
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class Gateway:
    """The parts of the gateway, and its tasks.

    Parameters
    ----------
    settings : GatewaySettings
        Limits and times.
    failure_domain : str
        Failure domain of this host.
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
        Random generator for tie-breaking and jitter.
    eras : siskinthread.source_eras.EraWatch
        Eras of the sources.
    """

    __slots__ = (
        "_callers",
        "_clock",
        "_context",
        "_eras",
        "_input_memory",
        "_metrics",
        "_peers",
        "_poison_follower",
        "_settings",
        "_snapshot_follower",
        "_suspect_readers",
        "_table_follower",
        "_target_follower",
        "control_home",
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
        eras,
    ):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._eras = eras
        self._peers = None
        self._suspect_readers = None
        self._poison_follower = None
        self._snapshot_follower = None
        self.view = TableView()
        live = LiveSettings(settings, self.view)
        self.parts = GatewayParts(
            settings, failure_domain, wire, clock, metrics, random
        )
        self.view.listen(self.parts.cold.take_table)
        self.view.listen(self.parts.load_control.take_table)
        self._table_follower = TableFollower(
            table_source, self.view, settings, clock, random
        )
        self._table_follower.evacuations = self.parts.evacuations
        self._table_follower.watch_eras(eras)
        self._target_follower = TargetFollower(
            target_source,
            self.parts.targets,
            settings,
            clock,
            eras,
            when_regained=self._table_follower.read_again,
        )
        self._table_follower.companion = self._target_follower.dependency
        ended_count = metrics.counter(
            "gateway_connections_ended",
            "Connections of callers that were ended early, by cause.",
            ("cause",),
        )
        # The servers of status pages share the limit.
        self._input_memory = InputMemory(settings.connections_limit_bytes, clock)
        self._context = GatewayContext(
            live,
            self.view,
            self.parts,
            [self._table_follower.dependency],
            ended_count,
            self._input_memory.heap,
        )
        limited = metrics.gauge(
            "gateway_limited_targets", "Targets that have named a limit."
        )
        limited.set_function(self.parts.limits.limited_count)
        backed_off = metrics.gauge(
            "gateway_backed_off_targets",
            "Targets that want no request from this entry.",
        )
        backed_off.set_function(self.parts.backoffs.backed_off_count)
        cut_off = metrics.gauge(
            "gateway_unreachable_domains",
            "Failure domains of which no target can be reached.",
        )
        cut_off.set_function(self.parts.reachability.cut_off_count)
        cold = metrics.gauge(
            "gateway_cold_targets", "Targets that are cold after a start."
        )
        cold.set_function(self.parts.cold.cold_count)
        off_usual = metrics.gauge(
            "gateway_targets_off_usual_speed",
            "Targets that are measurably slower or faster than others, or fail more.",
        )
        off_usual.set_function(self.parts.load_control.speeds.deviating_count)
        evacuated = metrics.gauge(
            "gateway_evacuated_domains", "Failure domains that are evacuated."
        )
        evacuated.set_function(self.parts.evacuations.count)
        spared = metrics.gauge(
            "gateway_spared_reads",
            "1 while readers of the failure domain spare this entry its own reads.",
        )
        spared.set_function(lambda: float(self._table_follower.may_skip_reads()))
        self.control_home = ControlHome(
            settings,
            failure_domain,
            self.parts.progress,
            self._context,
            self.parts.slow_targets,
            self.parts.outages,
        )
        self.control_home.evacuated_domains = self.parts.evacuations.domains
        self._callers = ConnectionServer(
            live,
            self._context,
            self._open_session,
            clock,
            metrics.gauge("gateway_connections", "Connections of callers."),
            self._input_memory,
            settings.slow_readers_limit_bytes,
        )

    def attach_peers(self, peers, fetch_snapshot, fetch_table=None, fetch_targets=None):
        """Exchange state with peers, and fall back on their data in an outage.

        Parameters
        ----------
        peers : siskinthread.peer_news.PeerGossip
            Exchanges updates with the peers.
        fetch_snapshot : callable
            See `SnapshotFollower`.
        fetch_table, fetch_targets : callable or None
            ``fetch_served`` of `TableFollower` and `TargetFollower`.
        """
        peers.describe = self._host_state
        peers.on_listing = self._target_follower.hear
        peers.on_far_listing = self._target_follower.hear_far
        if self._settings.shares_target_reads:
            self._target_follower.far_peers = peers
            self._target_follower.fetch_served = fetch_targets
        peers.on_reading = self._receive_reading
        peers.on_far_reading = self._receive_far_reading
        self._table_follower.tell_far = self._tell_far_readers
        self._table_follower.fetch_served = fetch_table
        peers.poison = self.parts.poison
        self.parts.part_guard.peers = peers
        peers.limits = self.parts.limits
        peers.on_backoffs = self.parts.avoided.hear
        peers.on_leaving = self.parts.targets.note_peer_departures
        peers.on_outages = self.parts.outages.hear
        peers.on_evacuations = self.parts.evacuations.hear
        peers.on_cold = self.parts.cold.hear
        self.parts.limits.peers = peers
        self.parts.cold.peers = peers
        peers.sends_roster = self.parts.cold.has_bound
        self._target_follower.peers = peers
        self._table_follower.peers = peers
        self.parts.loads.peers = peers
        self.parts.progress.peers = peers
        self.parts.slow_targets.peers = peers
        self.parts.retry_part.peers = peers
        self.parts.accounts.peers = peers
        self.parts.load_control.speeds.peers = peers
        self.control_home.peers = peers
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
        self._snapshot_follower.evacuations = self.parts.evacuations
        self._context.confirm_by(self._snapshot_follower.dependency)

    def persist_suspects(self, source):
        """Persist the register of requests under which targets end.

        Parameters
        ----------
        source : object
            Store of the register, see `siskinthread.poison_requests.PoisonFollower`.

        Notes
        -----
        Writes are shared with peers only if `attach_peers` was called before.
        """
        settings = self._settings.poison
        # A separate generator makes its turns independent of other random draws.
        turns = WriteTurns(settings, Random(self.parts.random.random()))
        turns.peers = self._peers
        self._poison_follower = PoisonFollower(
            source, self.parts.poison, settings, self._clock, turns
        )
        if self._peers is not None and self._settings.table_readers_per_domain:
            self._suspect_readers = SuspectReaders(
                self._settings,
                self._eras,
                self._peers,
                self._target_follower.dependency,
                self._clock,
            )
            self._poison_follower.readers = self._suspect_readers
            self._suspect_readers.confirmation = self._poison_follower.confirmation
            self._suspect_readers.tell_far = self._tell_far_readers

    def table_position(self):
        """Return the position up to which this host has the configuration, or None."""
        return self._table_follower.position()

    def target_statement(self):
        """Return the position up to which this host knows the target list.

        Returns
        -------
        siskinthread.peer_news.ListStatement or None
            None while the source does not answer, and if its era is not comparable with
            that of peers.
        """
        follower = self._target_follower
        statement = None if follower.dependency.is_lost else follower.statement()
        if statement is None or not self._eras.is_comparable(statement.position.era):
            return None
        return statement

    def tasks(self):
        """Return the background tasks, as `dict` of name to coroutine function."""
        tasks = {
            "configuration": self._table_follower.run,
            "targets": self._target_follower.run,
            "upkeep": self._do_upkeep,
            "reachability": self.parts.reachability_checks.run,
            "waiting requests": self.parts.waiting_room.run,
        }
        if self._peers is not None:
            tasks["news"] = self._peers.run
            tasks["snapshots"] = self._snapshot_follower.run
        if self._poison_follower is not None:
            tasks["suspects read"] = self._poison_follower.read
            tasks["suspects written"] = self._poison_follower.write
        return tasks

    async def serve_callers(self, listening_socket):
        """Serve callers until a drain is complete."""
        await self._callers.run(listening_socket)

    async def serve_pages(self, listening_socket, pages):
        """Serve status pages until cancelled.

        Parameters
        ----------
        listening_socket : curio.io.Socket
            A listening socket.
        pages : dict of str to callable
            Functions that build the `StatusPage` of each path.
        """

        def open_session(connection, is_surplus):
            return StatusSession(connection, self._context, pages)

        server = ConnectionServer(
            StatusLimits(self._settings),
            self._context,
            open_session,
            self._clock,
            self._metrics.gauge("gateway_status_connections", "Connections for it."),
            self._input_memory,
        )
        await server.run(listening_socket)

    async def drain(self, stop_limit_s):
        """Stop accepting requests and wait for those in flight.

        Parameters
        ----------
        stop_limit_s : float
            Time until the process is killed, seconds.

        Returns
        -------
        bool
            Whether all requests in flight have completed in time.
        """
        wait_s = max(0.0, stop_limit_s - self._settings.stop_margin_s)
        # Callers of waiting requests retry at another host.
        await self.parts.waiting_room.close("This host is being stopped.")
        return await self._callers.drain(Deadline.after(self._clock, wait_s))

    def unready_reason(self):
        """Return why callers should not be sent here, or None."""
        if self._context.draining:
            return "draining"
        if self.view.table is None:
            return "no configuration yet"
        if not self.parts.targets.entries():
            return "no target is known"
        # The balancer should not send callers that can't be accepted.
        if not self._callers.has_room:
            return "no connection can be accepted"
        return None

    def _open_session(self, connection, is_surplus):
        return GatewaySession(connection, self._context, is_surplus)

    def ready_page(self):
        """Return the readiness `StatusPage` for the load balancer."""
        reason = self.unready_reason()
        if reason is None:
            return StatusPage(STATUS_OK, b"ready\n")
        return StatusPage(STATUS_UNAVAILABLE, f"not ready: {reason}\n".encode())

    def metrics_page(self):
        """Return the `StatusPage` with the metrics."""
        return StatusPage(STATUS_OK, self._metrics.render())

    def _host_state(self):
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
            slow_targets=self.parts.slow_targets.own_ids(),
            limits=self.parts.limits.statements(),
            asked_rates=self.parts.limits.asked_rates(),
            backoffs=self.parts.backoffs.statements(),
            leaving=self.parts.targets.leaving_statements(),
            group_outages=self.parts.outages.statements(),
            evacuations=self.parts.evacuations.statement(),
            cold=self.parts.cold.statements(),
            controlled_groups=self.control_home.controlled,
            excess_tokens=self.parts.load_control.excess_tokens(),
            speeds=self.parts.load_control.speeds.statements(),
            table_reading=self._table_reading(),
        )

    def _table_reading(self):
        """Return the `TableReading` that this host sends to peers, or None."""
        return self._with_suspects(self._table_follower.statement())

    def _with_suspects(self, reading):
        if reading is not None and self._suspect_readers is not None:
            reading.suspects = self._suspect_readers.statement()
        return reading

    async def _tell_far_readers(self):
        """Tell the readers of other failure domains, if this is the first reader."""
        if self._peers.is_reader() and self._peers.is_first_reader():
            reading = self._with_suspects(self._table_follower.own_reading())
            if reading is not None:
                await self._peers.send_reading(reading)

    async def _receive_far_reading(self, reading):
        if reading.suspects is not None and self._suspect_readers is not None:
            await self._suspect_readers.hear_far(reading.suspects)
        await self._table_follower.hear_far(reading)

    async def _receive_reading(self, reading, sender):
        await self._table_follower.hear(reading, sender)
        if reading.suspects is not None and self._suspect_readers is not None:
            await self._suspect_readers.hear(reading.suspects, sender)

    async def _do_upkeep(self):
        """Sample accounts, drop expired state and close connections, periodically."""
        while True:
            await curio.sleep(self._settings.upkeep_interval_s)
            self.parts.accounts.sample()
            self.parts.backoffs.drop_over()
            self.parts.cold.drop_over()
            self.parts.avoided.drop_over()
            entries = self.parts.targets.entries()
            if self.parts.targets.age_s() is not None:
                domains = {one.failure_domain for one in entries}
                self.parts.evacuations.note_target_domains(domains)
            serving = {one.instance_id for one in entries if not one.is_leaving}
            await self.parts.pool.sweep(serving)
