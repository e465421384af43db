"""The link to one agent: dial, authenticate, read, replace, resume."""

import curio

from siskinthread.errors import ConnectionLostError, ProtocolError
from siskinthread.links._dialling import back_off, dial_agent
from siskinthread.links._outbox import Outbox
from siskinthread.links._reading import Reader
from siskinthread.links._status import LinkStatus
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

LASTING_CONNECTION_S = 2.0

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
        Identity, settings, clock, metrics and deadlines, one set for all links.
    """

    __slots__ = (
        "_address",
        "_cancelled",
        "_carried_frames",
        "_connected_address",
        "_dial_failures",
        "_outbox",
        "_reask_deadline",
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
        self._carried_frames = []
        self._cancelled = {}
        self._dial_failures = 0
        self._short_connections = 0
        self._reask_deadline = None
        self._unreachable = False
        self.host = host
        self.in_flight = {}
        self.metrics = shared.metrics
        self.peer_hello = None
        self.retired = False
        self.status = LinkStatus(host, self.in_flight)

    @property
    def control(self):
        """The `LinkListener` of this process."""
        return self._shared.control

    @property
    def usable(self):
        """Whether new requests may be sent over the link now."""
        return self.status.connected and not self.status.leaving and not self.retired

    def move_to(self, address):
        """Dial `address` from the next connection on."""
        if str(address) != str(self._address):
            self._address = address
            self._unreachable = False
            self._dial_failures = 0

    def connection_is_unneeded(self):
        """Whether the present connection may be closed: the host is gone or moved."""
        if self.in_flight:
            return False
        return self.retired or self._address is not self._connected_address

    async def run(self):
        """Keep the link up until it is retired and nothing is in flight."""
        await self._start_reask_wait()
        while not self._has_nothing_left():
            channel, frames = await self._dial()
            if channel is not None:
                await self._serve_until_lost(channel, frames)
                await self._start_reask_wait()
            await back_off(self._dial_failures + self._short_connections)

    async def add(self, exchange):
        """Take on an exchange whose start frame has not been written."""
        if self._refuses(exchange):
            exchange.finish(exchange.unreachable_end())
            return
        self.in_flight[exchange.attempt] = exchange
        await self._shared.deadlines.add(exchange.deadline, exchange)
        if self._outbox is not None:
            await self._outbox.put(exchange)

    async def send(self, frame):
        """Queue a frame; without a connection it is dropped.

        Notes
        -----
        Nothing is lost by that: a new connection starts with frames that say the same
        about each exchange in flight.
        """
        if self._outbox is not None:
            await self._outbox.put(frame)

    async def send_heartbeat(self):
        """Send a heartbeat at once."""
        if self._outbox is not None:
            await self._outbox.put_heartbeat()

    async def ask_again(self, exchange):
        """Ask on the present connection for what is missing of an answer."""
        if self._outbox is not None:
            await self._outbox.put(exchange)

    async def end(self, exchange, end):
        """End an exchange as the agent said, and let the agent forget it."""
        await self._send_or_carry(exchange.finished_frame())
        await self._remove(exchange, end)

    async def abandon(self, exchange, end):
        """End an exchange from this side and cancel it at the agent."""
        if exchange.written:
            await self._remember_cancelled(exchange)
            await self.send(exchange.cancel_frame())
        await self._remove(exchange, end)

    async def finish_cancelled(self, attempt):
        """Let the agent forget an attempt that was cancelled, now that it ended it."""
        exchange = self._cancelled.pop(attempt, None)
        if exchange is not None:
            await self._send_or_carry(exchange.finished_frame())

    def forget_cancelled(self, exchange):
        """Stop repeating a cancellation; its request can't run any longer."""
        self._cancelled.pop(exchange.attempt, None)

    def note_load(self, load):
        """Take over the agent's `LoadReport`."""
        self.status.note_load(load, self._shared.clock.monotonic_s())

    async def expire(self, deadline):
        """Give up what is in flight, since the agent stayed out of reach."""
        if deadline is not self._reask_deadline or self.status.connected:
            return
        self._unreachable = True
        for exchange in list(self.in_flight.values()):
            await self.abandon(exchange, exchange.unreachable_end())

    async def _remember_cancelled(self, exchange):
        # The frame may be lost with the connection.  The agent would then go on with a
        # request that nobody waits for; so the cancellation is repeated on every new
        # connection until the agent's end arrives or the request can't run any longer.
        self._cancelled[exchange.attempt] = exchange
        if exchange.deadline.passed():
            limit_s = self._shared.settings.reask_limit_s
            grace = Deadline.after(self._shared.clock, limit_s)
            await self._shared.deadlines.add(grace, exchange)

    def _refuses(self, exchange):
        if self.retired or self._unreachable:
            return True
        return bool(self._dial_failures) and not exchange.waits_for_home

    def _has_nothing_left(self):
        return self.retired and not self.in_flight

    async def _remove(self, exchange, end):
        self.in_flight.pop(exchange.attempt, None)
        exchange.finish(end)
        await exchange.place.wake()

    async def _send_or_carry(self, frame):
        if self._outbox is None:
            self._carried_frames.append(frame)
        else:
            await self._outbox.put(frame)

    async def _start_reask_wait(self):
        limit_s = self._shared.settings.reask_limit_s
        self._reask_deadline = Deadline.after(self._shared.clock, limit_s)
        await self._shared.deadlines.add(self._reask_deadline, self)

    async def _dial(self):
        address = self._address
        try:
            channel, frames = await dial_agent(self.host, address, self._shared)
        except (ConnectionLostError, ProtocolError) as error:
            await self._note_dial_failure(error)
            return None, []
        except Exception as error:
            logger.exception("Error while dialling %s.", self.host)
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
        lasting = Deadline.after(self._shared.clock, LASTING_CONNECTION_S)
        try:
            await self._serve(channel, frames)
        except (ConnectionLostError, ProtocolError) as error:
            logger.warning("Lost %s: %s.", self.host, error)
            self.metrics.connections_replaced.inc()
        except Exception:
            # An error in this code, met in one frame, must not end the link: its
            # requests would hang and the host would never be dialled again.  It is
            # treated like a lost connection.
            logger.exception("Error on the link to %s.", self.host)
            self.metrics.connections_replaced.inc()
        # An agent that is lost right after each handshake is dialled ever more slowly.
        self._short_connections += 1
        if lasting.passed():
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
            self._carried_frames += outbox.leftover_finished()
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
                exchange.drop_untaken()
            await self._outbox.put(exchange)
        for exchange in list(self._cancelled.values()):
            await self._outbox.put(exchange.cancel_frame())
        carried, self._carried_frames = self._carried_frames, []
        for frame in carried:
            await self._outbox.put(frame)
