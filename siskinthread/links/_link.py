"""Link to one agent: dials, authenticates, reads, replaces connections, resumes."""

import curio

from siskinthread.errors import ConnectionLostError, ProtocolError
from siskinthread.links._dialling import back_off, dial_agent
from siskinthread.links._outbox import Outbox
from siskinthread.links._reading import Reader
from siskinthread.links._status import LinkStatus
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

STABLE_CONNECTION_S = 2.0

logger = part_logger("links")


class Link:
    """The link to one agent.

    Parameters
    ----------
    host : str
        Name of the agent's host.
    address : Address
        Where the agent listens.
    shared : SharedParts
        Identity, settings, clock, metrics and deadlines, shared by all links.

    Attributes
    ----------
    in_flight : dict of int to Exchange
        Exchanges that have not ended, by attempt.
    retired : bool
        Whether the host was removed; the link ends once nothing is in flight.
    """

    __slots__ = (
        "_address",
        "_cancelled",
        "_deferred_frames",
        "_connected_address",
        "_dial_failures",
        "_outbox",
        "_unreachable_deadline",
        "_shared",
        "_short_connections",
        "_unreachable",
        "host",
        "in_flight",
        "metrics",
        "peer_hello",
        "retired",
        "status",
    )

    def __init__(self, host, address, shared):
        self._address = address
        self._connected_address = None
        self._shared = shared
        self._outbox = None
        self._deferred_frames = []
        self._cancelled = {}
        self._dial_failures = 0
        self._short_connections = 0
        self._unreachable_deadline = None
        self._unreachable = False
        self.host = host
        self.in_flight = {}
        self.metrics = shared.metrics
        self.peer_hello = None
        self.retired = False
        self.status = LinkStatus(host, self.in_flight)

    @property
    def control(self):
        """`LinkListener` of this process."""
        return self._shared.control

    @property
    def usable(self):
        """Whether new requests may currently be sent over the link."""
        return self.status.connected and not self.status.leaving and not self.retired

    def set_address(self, address):
        """Use `address` for all later connections."""
        if str(address) != str(self._address):
            self._address = address
            self._unreachable = False
            self._dial_failures = 0

    def connection_is_unneeded(self):
        """Return whether the connection may be closed: host removed, or new address."""
        if self.in_flight:
            return False
        return self.retired or self._address is not self._connected_address

    async def run(self):
        """Keep the link up until it is retired and nothing is in flight."""
        await self._set_unreachable_deadline()
        while not self._is_finished():
            channel, frames = await self._dial()
            if channel is not None:
                await self._serve_until_lost(channel, frames)
                await self._set_unreachable_deadline()
            await back_off(self._dial_failures + self._short_connections)

    async def add(self, exchange):
        """Add an exchange whose start frame has not been written."""
        if self._is_unreachable_for(exchange):
            exchange.finish(exchange.unreachable_end())
            return
        self.in_flight[exchange.attempt] = exchange
        await self._shared.deadlines.add(exchange.deadline, exchange)
        if self._outbox is not None:
            await self._outbox.put(exchange)

    async def send(self, frame):
        """Queue a frame, or drop it if there is no connection.

        Notes
        -----
        Dropped frames need no repetition: a new connection starts with frames that
        carry the same state of each exchange in flight.
        """
        if self._outbox is not None:
            await self._outbox.put(frame)

    async def send_heartbeat(self):
        """Send a heartbeat at once."""
        if self._outbox is not None:
            await self._outbox.put_heartbeat()

    async def request_rest(self, exchange):
        """Request the missing rest of an answer on the current connection."""
        if self._outbox is not None:
            await self._outbox.put(exchange)

    async def end(self, exchange, end):
        """End an exchange with the agent's outcome, and let the agent forget it."""
        await self._send_or_defer(exchange.finished_frame())
        await self._remove(exchange, end)

    async def abandon(self, exchange, end):
        """End an exchange from this side and cancel it at the agent."""
        if exchange.written:
            await self._track_cancelled(exchange)
            await self.send(exchange.cancel_frame())
        await self._remove(exchange, end)

    async def finish_cancelled(self, attempt):
        """Let the agent forget a cancelled attempt of which it sent the end."""
        exchange = self._cancelled.pop(attempt, None)
        if exchange is not None:
            await self._send_or_defer(exchange.finished_frame())

    def forget_cancelled(self, exchange):
        """Stop repeating a cancellation, since its request can no longer run."""
        self._cancelled.pop(exchange.attempt, None)

    def note_load(self, load):
        """Record the agent's `LoadReport`."""
        self.status.note_load(load, self._shared.clock.monotonic_s())

    async def expire(self, deadline):
        """End all exchanges in flight, since the agent stayed unreachable."""
        if deadline is not self._unreachable_deadline or self.status.connected:
            return
        self._unreachable = True
        for exchange in list(self.in_flight.values()):
            await self.abandon(exchange, exchange.unreachable_end())

    async def _track_cancelled(self, exchange):
        # The cancellation may be lost with the connection, and the agent would then
        # continue a request that nobody waits for.  So the frame is repeated on every
        # new connection until the agent's end arrives or the request can no longer run.
        self._cancelled[exchange.attempt] = exchange
        if exchange.deadline.passed():
            limit_s = self._shared.settings.reask_limit_s
            grace = Deadline.after(self._shared.clock, limit_s)
            await self._shared.deadlines.add(grace, exchange)

    def _is_unreachable_for(self, exchange):
        if self.retired or self._unreachable:
            return True
        return bool(self._dial_failures) and not exchange.waits_for_home

    def _is_finished(self):
        return self.retired and not self.in_flight

    async def _remove(self, exchange, end):
        self.in_flight.pop(exchange.attempt, None)
        exchange.finish(end)
        await exchange.waiter.wake()

    async def _send_or_defer(self, frame):
        if self._outbox is None:
            self._deferred_frames.append(frame)
        else:
            await self._outbox.put(frame)

    async def _set_unreachable_deadline(self):
        limit_s = self._shared.settings.reask_limit_s
        self._unreachable_deadline = Deadline.after(self._shared.clock, limit_s)
        await self._shared.deadlines.add(self._unreachable_deadline, self)

    async def _dial(self):
        address = self._address
        try:
            channel, frames = await dial_agent(self.host, address, self._shared)
        except (ConnectionLostError, ProtocolError) as error:
            await self._note_dial_failure(error)
            return None, []
        except Exception as error:
            logger.exception("Unexpected error while dialling %s.", self.host)
            await self._note_dial_failure(error)
            return None, []
        self._connected_address = address
        return channel, frames

    async def _note_dial_failure(self, error):
        if not self._dial_failures:
            logger.warning("Can't reach %s: %s.", self.host, error)
        self._dial_failures += 1
        for exchange in list(self.in_flight.values()):
            if not exchange.written and not exchange.waits_for_home:
                await self._remove(exchange, exchange.unreachable_end())

    async def _serve_until_lost(self, channel, frames):
        stable_deadline = Deadline.after(self._shared.clock, STABLE_CONNECTION_S)
        try:
            await self._serve(channel, frames)
        except (ConnectionLostError, ProtocolError) as error:
            logger.warning("Lost %s: %s.", self.host, error)
            self.metrics.connections_replaced.inc()
        except Exception:
            # An unexpected error in handling one frame must not end the link: its
            # requests would hang and the host would never be dialled again.  The error
            # is handled like a lost connection.
            logger.exception("Unexpected error on the link to %s.", self.host)
            self.metrics.connections_replaced.inc()
        # The back-off also grows when connections are lost shortly after the handshake.
        self._short_connections += 1
        if stable_deadline.passed():
            self._short_connections = 0

    async def _serve(self, channel, frames):
        settings, clock = self._shared.settings, self._shared.clock
        self._outbox = Outbox(channel, settings, clock, self.control)
        writer = await curio.spawn(self._outbox.run)
        self.peer_hello = channel.peer_hello
        await self._note_connected(channel.peer_hello)
        try:
            await self.control.link_up(self)
            await self._open_exchanges()
            await Reader(channel, self, settings, clock).run(frames)
        finally:
            self.status.connected = False
            outbox, self._outbox = self._outbox, None
            await writer.cancel()
            self._deferred_frames += outbox.unsent_finished_frames()
            await self.control.link_down(self)
            await channel.close()

    async def _note_connected(self, hello):
        self._dial_failures = 0
        self._unreachable = False
        self.status.note_connection(hello)
        self.metrics.connections_opened.inc()
        logger.info("Connected to %s, incarnation %s.", self.host, hello.incarnation)
        await self._shared.connected.set()

    async def _open_exchanges(self):
        for exchange in list(self.in_flight.values()):
            if exchange.written:
                self.metrics.exchanges_resumed.inc()
                exchange.discard_unconsumed()
            await self._outbox.put(exchange)
        for exchange in list(self._cancelled.values()):
            await self._outbox.put(exchange.cancel_frame())
        deferred, self._deferred_frames = self._deferred_frames, []
        for frame in deferred:
            await self._outbox.put(frame)
