"""A small agent for tests that follows docs/protocol.md and can be told to fail."""

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
HOLD_POLL_S = 0.005


def peer_settings(**values):
    """Return settings with short waits."""
    defaults = {
        "keys": [Key("k1", "secret one")],
        "heartbeat_interval_s": 0.02,
        "silence_limit_s": 0.2,
        "reask_limit_s": 0.2,
        "window_bytes": 1024,
    }
    return PeerSettings(**(defaults | values))


def start_request(request_id="r-1", **values):
    """Return a complete request but for what the links fill in."""
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
    """Tells the fake to close the connection."""


class Execution:
    """What the fake knows of one request."""

    def __init__(self, attempt, window_bytes):
        self.attempt = attempt
        self.window_bytes = window_bytes
        self.sent_bytes = 0
        self.acknowledged_bytes = 0
        self.end_sent = False


class FakeAgent:
    """Answers every request with `body`.

    Parameters
    ----------
    settings : PeerSettings
        Keys and window.
    body : bytes
        The body of every response.
    transmit : callable or None
        ``async transmit(agent, channel, frame)`` writes a frame of a response; a test
        puts losses in there.
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
        # Whether a new connection has to wait before it is greeted.
        self.holds_dials = False
        self.counts_resume_as_acknowledged = False
        self.changed = curio.Condition()
        self.socket = curio.socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(16)
        self.address = Address(*self.socket.getsockname())

    def replace(self, incarnation):
        """Forget everything, as a new process does."""
        self.identity.incarnation = incarnation
        self.executions = {}
        self.refused = set()

    def messages(self, kind):
        """Return the received messages of a kind."""
        return [message for message in self.received if isinstance(message, kind)]

    async def wait_until(self, condition):
        """Wait until `condition(agent)` holds after a received message."""
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
        beats = None
        while self.holds_dials:
            await curio.sleep(HOLD_POLL_S)
        try:
            _, frames = await shake_hands(
                channel, self.identity, self.settings, dialled=False
            )
            self.connections += 1
            beats = await curio.spawn(self._beat, channel)
            while True:
                for frame in frames:
                    await self._handle(message_of(frame), channel)
                frames = await channel.receive()
        except (ConnectionLostError, ProtocolError, CutConnectionError):
            pass
        finally:
            if beats is not None:
                await beats.cancel()
            await channel.close()

    async def _beat(self, channel):
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
        await self._pump(execution, channel)

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
        await self._pump(execution, channel)

    async def _on_Acknowledge(self, message, channel):  # noqa: N802
        for execution in self.executions.values():
            if execution.attempt == message.attempt and not message.finished:
                execution.acknowledged_bytes = message.received_bytes
                await self._pump(execution, channel)

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

    async def _pump(self, execution, channel):
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
    """Write a frame of a response faithfully."""
    await channel.send(frame)


async def cut_inside(channel, frame):
    """Write half of a frame and close the connection."""
    data = encode_frame(frame)
    await channel.send_bytes(data[: len(data) // 2])
    raise CutConnectionError
