"""Minimal agent for tests that follows docs/protocol.md and can be made to fail."""

import curio

from siskinthread.errors import ConnectionLostError, ProtocolError
from siskinthread.outcomes import Outcome, Reason
from siskinthread.settings import Address, Key
from siskinthread.wire import (
    Channel,
    encode_frame,
    Frame,
    Header,
    Heartbeat,
    Identity,
    LoadReport,
    message_of,
    PeerSettings,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    shake_hands,
    StartRequest,
)

HOST = "agent-1"
PART_SIZE_BYTES = 7
HANDSHAKE_POLL_S = 0.005


def peer_settings(**values):
    """Return settings with short waits, except for the given values."""
    defaults = {
        "keys": [Key("k1", "secret one")],
        "heartbeat_interval_s": 0.02,
        "silence_limit_s": 0.2,
        "reask_limit_s": 0.2,
        "window_bytes": 1024,
    }
    return PeerSettings(**(defaults | values))


def start_request(request_id="r-1", **values):
    """Return a request, complete except for the fields that the links set."""
    defaults = {
        "service_name": "triage-llm",
        "account": "account-1",
        "priority": 0,
        "idempotent": True,
        "homes_version": 1,
        "method": "POST",
        "path": "/v1/chat/completions",
        "headers": [],
        "body": b"{}",
    }
    return StartRequest(request_id=request_id, **(defaults | values))


class CutConnectionError(Exception):
    """Raised to make the fake agent close the connection."""


class Execution:
    """State of one request at the fake agent."""

    def __init__(self, attempt, window_bytes):
        self.attempt = attempt
        self.window_bytes = window_bytes
        self.sent_bytes = 0
        self.acknowledged_bytes = 0
        self.end_sent = False


class FakeAgent:
    """An agent that answers every request with `body`.

    Parameters
    ----------
    settings : PeerSettings
        Keys and window.
    body : bytes
        The body of every response.
    transmit : callable or None
        ``async transmit(agent, channel, frame)`` writes a frame of a response; tests
        inject losses by it.
    incarnation : str
        Incarnation of the agent, until `replace`.
    """

    def __init__(self, settings, body=b"", transmit=None, incarnation="i-1"):
        self.settings = settings
        self.body = body
        self.transmit = transmit or plain_transmit
        self.identity = Identity(HOST, "domain-a", "agent", ["triage-llm"], incarnation)
        self.received = []
        self.connections = 0
        self.runs = 0
        self.executions = {}
        self.refused = set()
        self.sends_heartbeats = True
        self.answers = True
        # Whether the handshake of new connections is delayed.
        self.delays_handshakes = False
        self.counts_resume_as_acknowledged = False
        self.changed = curio.Condition()
        self.socket = curio.socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(16)
        self.address = Address(*self.socket.getsockname())

    def replace(self, incarnation):
        """Take another incarnation and drop all requests, like a new process."""
        self.identity.incarnation = incarnation
        self.executions = {}
        self.refused = set()

    def messages(self, kind):
        """Return the received messages of a kind."""
        return [message for message in self.received if isinstance(message, kind)]

    async def wait_until(self, condition):
        """Wait until `condition(agent)` is true, checked after each message."""
        async with self.changed:
            while not condition(self):
                await self.changed.wait()

    async def run(self):
        """Accept connections until cancelled."""
        async with curio.TaskGroup() as tasks, self.socket:
            while True:
                socket, _ = await self.socket.accept()
                await tasks.spawn(self._serve, socket)

    async def _serve(self, socket):
        channel = Channel(socket, Frame, self.settings.frame_limit_bytes)
        heartbeat_task = None
        while self.delays_handshakes:
            await curio.sleep(HANDSHAKE_POLL_S)
        try:
            _, frames = await shake_hands(
                channel, self.identity, self.settings, dialled=False
            )
            self.connections += 1
            heartbeat_task = await curio.spawn(self._send_heartbeats, channel)
            while True:
                for frame in frames:
                    await self._handle(message_of(frame), channel)
                frames = await channel.receive()
        except (ConnectionLostError, ProtocolError, CutConnectionError):
            pass
        finally:
            if heartbeat_task is not None:
                await heartbeat_task.cancel()
            await channel.close()

    async def _send_heartbeats(self, channel):
        load = LoadReport(1, 0, 8, 5, False, False)
        while True:
            if self.sends_heartbeats:
                try:
                    await channel.send(Frame(heartbeat=Heartbeat(1, load)))
                except ConnectionLostError:
                    return
            await curio.sleep(self.settings.heartbeat_interval_s)

    async def _handle(self, message, channel):
        if not isinstance(message, Heartbeat):
            self.received.append(message)
        name = f"_on_{type(message).__name__}"
        handler = getattr(self, name, None)
        if handler is not None and self.answers:
            await handler(message, channel)
        async with self.changed:
            await self.changed.notify_all()

    async def _on_StartRequest(self, message, channel):  # noqa: N802
        if message.request_id in self.refused:
            await self._refuse(message, channel)
            return
        if message.request_id in self.executions:
            return
        self.runs += 1
        execution = Execution(message.attempt, message.window_bytes)
        self.executions[message.request_id] = execution
        await self._send_head(execution, channel)
        await self._send_parts(execution, channel)

    async def _on_ResumeRequest(self, message, channel):  # noqa: N802
        execution = self.executions.get(message.request_id)
        if execution is None:
            await self._answer_unknown(message, channel)
            return
        execution.sent_bytes = message.offset_bytes
        execution.end_sent = False
        if self.counts_resume_as_acknowledged:
            execution.acknowledged_bytes = message.offset_bytes
        if not message.head_received:
            await self._send_head(execution, channel)
        await self._send_parts(execution, channel)

    async def _on_Acknowledge(self, message, channel):  # noqa: N802
        for execution in self.executions.values():
            if execution.attempt == message.attempt and not message.finished:
                execution.acknowledged_bytes = message.received_bytes
                await self._send_parts(execution, channel)

    async def _answer_unknown(self, message, channel):
        if message.sent_to_incarnation == self.identity.incarnation:
            self.refused.add(message.request_id)
            await self._refuse(message, channel)
            return
        end = ResponseEnd(
            message.attempt, Outcome.UNKNOWN, 0, Reason.AGENT_REPLACED, ""
        )
        await self.transmit(self, channel, Frame(end=end))

    async def _refuse(self, message, channel):
        end = ResponseEnd(
            message.attempt, Outcome.REFUSED_NOT_RUN, 0, Reason.NEVER_RECEIVED, ""
        )
        await self.transmit(self, channel, Frame(end=end))

    async def _send_head(self, execution, channel):
        headers = [Header("content-type", "text/event-stream")]
        head = ResponseHead(execution.attempt, 200, headers)
        await self.transmit(self, channel, Frame(head=head))

    async def _send_parts(self, execution, channel):
        limit = min(
            len(self.body), execution.acknowledged_bytes + execution.window_bytes
        )
        while execution.sent_bytes < limit:
            offset = execution.sent_bytes
            data = self.body[offset : min(offset + PART_SIZE_BYTES, limit)]
            execution.sent_bytes += len(data)
            part = ResponsePart(execution.attempt, offset, data)
            await self.transmit(self, channel, Frame(part=part))
        if execution.sent_bytes == len(self.body) and not execution.end_sent:
            execution.end_sent = True
            end = ResponseEnd(
                execution.attempt, Outcome.ANSWERED, len(self.body), Reason.COMPLETE, ""
            )
            await self.transmit(self, channel, Frame(end=end))


async def plain_transmit(agent, channel, frame):
    """Write a frame of a response without faults."""
    await channel.send(frame)


async def cut_inside(channel, frame):
    """Write half of a frame and close the connection."""
    data = encode_frame(frame)
    await channel.send_bytes(data[: len(data) // 2])
    raise CutConnectionError
