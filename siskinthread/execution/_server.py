"""Server of an agent, to which entries connect."""

import curio

from siskinthread.control import answer_operator, LinkListener, OPERATOR_ROLE
from siskinthread.errors import ConnectionLostError, ProtocolError
from siskinthread.execution._handler import AttemptHandler
from siskinthread.execution._keys import KeyRules
from siskinthread.execution._ledger import Ledger
from siskinthread.execution._link import Link
from siskinthread.execution._load import LoadMonitor, StallDetector
from siskinthread.execution._metrics import ExecutionMetrics
from siskinthread.execution._run_queue import RunQueue
from siskinthread.execution._runner import Runner
from siskinthread.observability import part_logger
from siskinthread.outcomes import Reason
from siskinthread.timing import Deadline
from siskinthread.wire import Channel, Frame, shake_hands

ENTRY_ROLE = "entry"
AGENT_ROLE = "agent"
ACCEPT_RETRY_WAIT_S = 0.1
DRAIN_POLL_INTERVAL_S = 0.02
FINAL_DELIVERY_WAIT_S = 2.0

_logger = part_logger("execution")


class ExecutionParts:
    """Objects that the parts of an agent share."""

    __slots__ = (
        "clock",
        "identity",
        "ledger",
        "metrics",
        "settings",
        "target",
        "view",
    )

    def __init__(self, identity, settings, view, target, clock, metrics):
        self.identity = identity
        self.settings = settings
        self.view = view
        self.target = target
        self.clock = clock
        self.ledger = Ledger(settings, clock)
        self.metrics = metrics


class AgentServer:
    """Serves the links of entries.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : ExecutionSettings
        Limits and waits.
    peer_settings : PeerSettings
        Keys, waits and limits of links.
    view : ConfigurationView
        The configuration in force on this host.
    target : Target
        The target on this host.
    clock : Clock
        The process's clocks.
    metrics : Metrics
        The process's metrics.
    control : siskinthread.control.LinkListener or None
        Exchanges the configuration with entries over the links.

    Attributes
    ----------
    answer_experts : callable or None
        Returns the `ExpertsStatus` for an operator's `ExpertsQuestion`.
    handler : AttemptHandler
        Handles the frames of links.
    links : dict of str to Link
        The current link of each entry, by the entry's incarnation.
    rank_service : siskinthread.experts.RankService or None
        Serves the controllers of the group whose rank runs on this host.
    """

    __slots__ = (
        "_connections",
        "_identity",
        "_drain_deadline",
        "_listed_leaving",
        "_load",
        "_metrics",
        "_runner",
        "answer_experts",
        "clock",
        "control",
        "handler",
        "links",
        "peer_settings",
        "rank_service",
        "settings",
    )

    def __init__(
        self,
        identity,
        settings,
        peer_settings,
        view,
        target,
        clock,
        metrics,
        control=None,
    ):
        self.control = control or LinkListener()
        self._identity = identity
        self.settings = settings
        self.peer_settings = peer_settings
        self.clock = clock
        self._metrics = ExecutionMetrics(metrics)
        parts = ExecutionParts(identity, settings, view, target, clock, self._metrics)
        run_queue = RunQueue(settings)
        stall_detector = StallDetector(settings, clock)
        self._runner = Runner(
            settings, target, parts.ledger, run_queue, stall_detector, self._metrics
        )
        key_rules = KeyRules(identity.host, settings, view, clock)
        self.handler = AttemptHandler(parts, self._runner, key_rules)
        self._load = LoadMonitor(parts, run_queue, stall_detector)
        self._drain_deadline = None
        self._listed_leaving = False
        self._connections = set()
        self.links = {}
        self.answer_experts = None
        self.rank_service = None
        self._metrics.watch(parts.ledger, run_queue, self.links)

    @property
    def leaving(self):
        """Whether new requests are refused."""
        return self.handler.leaving

    def load_report(self):
        """Return the current `LoadReport`."""
        return self._load.report(self.leaving)

    async def run(self, listening_socket):
        """Serve until cancelled.

        Parameters
        ----------
        listening_socket : curio.io.Socket
            A listening socket.
        """
        self._runner.open()
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._accept, listening_socket)
                await group.spawn(self._run_housekeeping)
                await group.spawn(self._load.run)
        finally:
            await self._runner.close()
            await curio.TaskGroup(self._connections).cancel_remaining()
        if group.exception is not None:
            raise group.exception

    async def _accept(self, listening_socket):
        while True:
            try:
                socket, _ = await listening_socket.accept()
            except OSError as error:
                # Out of file descriptors: existing links keep working, and descriptors
                # become free as links end.
                _logger.warning("Can't accept a connection: %s.", error)
                await curio.sleep(ACCEPT_RETRY_WAIT_S)
                continue
            task = await curio.spawn(self._serve, socket, daemon=True)
            self._connections.add(task)

    async def _serve(self, socket):
        limit_bytes = self.peer_settings.frame_limit_bytes
        channel = Channel(socket, Frame, limit_bytes)
        try:
            await self._serve_channel(channel)
        except ConnectionLostError as error:
            _logger.info("Link ended: %s.", error)
        except ProtocolError as error:
            _logger.warning("Link refused: %s.", error)
        except Exception:
            _logger.exception("Unexpected error on a link.")
        finally:
            await channel.close()
            self._connections.discard(await curio.current_task())

    async def _serve_channel(self, channel):
        hello, frames = await shake_hands(
            channel, self._identity, self.peer_settings, dialled=False
        )
        if hello.role == OPERATOR_ROLE:
            await answer_operator(channel, frames, self.control, self.answer_experts)
        if hello.role == AGENT_ROLE and self.rank_service is not None:
            await self.rank_service.serve(channel, frames)
        if hello.role != ENTRY_ROLE:
            raise ProtocolError(f"{hello.host} is not an entry")
        link = Link(channel, hello, self)
        await self._replace_link(link)
        _logger.info("Link of %s is up.", link.entry_host)
        try:
            await self.control.link_up(link)
            if self._drain_deadline is not None:
                await link.send_leaving(self._drain_deadline)
            await link.run(frames)
        finally:
            self.handler.detach_link(link)
            if self.links.get(link.entry_incarnation) is link:
                del self.links[link.entry_incarnation]
            await self.control.link_down(link)

    async def _replace_link(self, link):
        # An entry that dials again has given up its older connection.  A late frame
        # must not attach an attempt to that connection again, as nobody reads from it.
        previous = self.links.get(link.entry_incarnation)
        self.links[link.entry_incarnation] = link
        if previous is not None:
            await previous.shut_down()

    async def _run_housekeeping(self):
        while True:
            await self.handler.expire()
            await curio.sleep(self.settings.housekeeping_interval_s)

    def set_listed_leaving(self, leaving):
        """Set whether the host list marks this host as leaving.

        The mark may be withdrawn: a host that replaces another host of the same name
        sees the mark of its predecessor until the list catches up.

        Parameters
        ----------
        leaving : bool
            Whether the list marks this host.
        """
        if leaving == self._listed_leaving:
            return
        self._listed_leaving = leaving
        _logger.info("Host list says %s.", "leaving" if leaving else "staying")
        self._update_leaving()

    def _update_leaving(self):
        self.handler.leaving = self._listed_leaving or self._drain_deadline is not None

    async def drain(self, deadline):
        """Refuse new requests and wait until all others have ended and been delivered.

        Parameters
        ----------
        deadline : Deadline
            When to cancel the requests that are left.

        Returns
        -------
        bool
            Whether all requests ended before the deadline.
        """
        self._drain_deadline = deadline
        self._update_leaving()
        for link in list(self.links.values()):
            await link.send_leaving(deadline)
        # Start frames that were sent before the notice arrived have to be read and
        # refused.  If the links closed before that, the entries could only report that
        # the outcome is unknown.
        notice = Deadline.after(self.clock, self.settings.leaving_notice_s)
        while not notice.passed():
            await curio.sleep(DRAIN_POLL_INTERVAL_S)
        if await self._wait_until_drained(deadline):
            return True
        await self._runner.stop_all(Reason.LEAVING)
        await self._wait_until_drained(
            Deadline.after(self.clock, FINAL_DELIVERY_WAIT_S)
        )
        return False

    async def _wait_until_drained(self, deadline):
        while not self.handler.is_drained():
            if deadline.passed():
                return False
            await curio.sleep(DRAIN_POLL_INTERVAL_S)
        return True
