"""Controller side of the connections to the ranks of a group."""

import itertools

import curio

from siskinthread.errors import ConnectionLostError, ProtocolError
from siskinthread.experts._order_frames import (
    decode_reply,
    decode_report,
    encode_order,
)
from siskinthread.wire import (
    Frame,
    Heartbeat,
    message_of,
    open_channel,
    RankStatisticsRequest,
    shake_hands,
)


class RankConnection:
    """Connection to an agent that carries one request at a time.

    Each request has a time limit, after which the connection is closed.  Otherwise a
    late reply could be matched to the next request, and a connection whose state was
    lost by a device on the path would never answer again.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    settings : PeerSettings
        Keys and time limits.
    address : Address
        Address of the agent.
    answer_wait_s : float
        Longest wait for a reply.
    """

    __slots__ = (
        "_answer_wait_s",
        "_channel",
        "_identity",
        "_lock",
        "_settings",
        "address",
    )

    def __init__(self, identity, settings, address, answer_wait_s):
        self._identity = identity
        self._settings = settings
        self.address = address
        self._answer_wait_s = answer_wait_s
        self._channel = None
        self._lock = curio.Lock()

    async def request(self, frame):
        """Send a request and return the message that answers it, or None."""
        async with self._lock:
            try:
                async with curio.timeout_after(self._answer_wait_s):
                    return await self._exchange(frame)
            except (ConnectionLostError, ProtocolError, curio.TaskTimeout):
                await self.close()
                return None

    async def notify(self, frame):
        """Send a frame that has no answer, if the connection is open."""
        async with self._lock:
            if self._channel is None:
                return
            try:
                async with curio.timeout_after(self._answer_wait_s):
                    await self._channel.send(frame)
            except (ConnectionLostError, curio.TaskTimeout):
                await self.close()

    async def close(self):
        """Close the connection."""
        if self._channel is not None:
            await self._channel.close()
            self._channel = None

    async def _exchange(self, frame):
        if self._channel is None:
            self._channel = await self._connect()
        await self._channel.send(frame)
        frames = []
        while not frames:
            frames = await self._channel.receive()
        answer = message_of(frames[0])
        if getattr(answer, "question", None) != message_of(frame).question:
            raise ProtocolError("answer does not match the request")
        return answer

    async def _connect(self):
        settings = self._settings
        channel = await open_channel(
            self.address.host,
            self.address.port,
            Frame,
            settings.frame_limit_bytes,
            settings.dial_wait_s,
        )
        try:
            await shake_hands(channel, self._identity, settings, dialled=True)
        except BaseException:
            await channel.close()
            raise
        return channel


class RemoteRanks:
    """The ranks of a group, reached through the agents of their hosts.

    Parameters
    ----------
    group : str
        Name of the group.
    identity : Identity
        Identity of this process.
    settings : PeerSettings
        Keys and time limits.
    answer_wait_s : float
        Longest wait for a reply.
    """

    __slots__ = (
        "_answer_wait_s",
        "_connections",
        "_group",
        "_identity",
        "_question_ids",
        "_settings",
    )

    def __init__(self, group, identity, settings, answer_wait_s):
        self._group = group
        self._identity = identity
        self._settings = settings
        self._answer_wait_s = answer_wait_s
        self._connections = {}
        self._question_ids = itertools.count(1)

    async def reconcile(self, addresses):
        """Apply the addresses of the group's agents, a dict of host to `Address`."""
        for host in list(self._connections):
            if self._connections[host].address != addresses.get(host):
                await self._connections.pop(host).close()
        for host, address in addresses.items():
            if host not in self._connections:
                self._connections[host] = RankConnection(
                    self._identity, self._settings, address, self._answer_wait_s
                )

    def names(self):
        """Return the hosts of the ranks, sorted, in the order of the ranks."""
        return sorted(self._connections)

    async def broadcast(self, orders):
        """Send each order and return the replies by host."""
        frames = {
            host: Frame(
                rank_order=encode_order(order, self._group, next(self._question_ids))
            )
            for host, order in orders.items()
        }
        messages = await self._request_all(frames)
        return {
            host: None if message is None else decode_reply(message)
            for host, message in messages.items()
        }

    async def reports(self):
        """Return the `RankReport` of each rank, or None, by host."""
        frames = {
            host: Frame(
                rank_statistics_request=RankStatisticsRequest(
                    next(self._question_ids), self._group
                )
            )
            for host in self.names()
        }
        messages = await self._request_all(frames)
        return {
            host: None if message is None else decode_report(message)
            for host, message in messages.items()
        }

    async def send_heartbeat(self):
        """Send a heartbeat to every rank to which a connection is open."""
        frame = Frame(heartbeat=Heartbeat(sequence=next(self._question_ids)))
        for connection in self._connections.values():
            await connection.notify(frame)

    async def close(self):
        """Close all connections."""
        for connection in self._connections.values():
            await connection.close()

    async def _request_all(self, frames):
        tasks = {}
        async with curio.TaskGroup() as group:
            for host, frame in frames.items():
                tasks[host] = await group.spawn(self._connections[host].request, frame)
        return {host: task.result for host, task in tasks.items()}
