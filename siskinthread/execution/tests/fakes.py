"""Scripted target, minimal entry, and a harness that connects them over loopback."""

import curio

from siskinthread.configuration import ConfigurationView
from siskinthread.errors import ConnectionLostError
from siskinthread.execution import AgentServer, ExecutionSettings
from siskinthread.observability import Metrics
from siskinthread.outcomes import End, Head, Outcome, Part, Reason
from siskinthread.settings import Key
from siskinthread.targets import open_call, resume_call, TargetLoad
from siskinthread.timing import ManualClock
from siskinthread.wire import (
    Acknowledge,
    CancelRequest,
    Frame,
    Header,
    Heartbeat,
    Identity,
    message_of,
    open_channel,
    PeerSettings,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    ResumeRequest,
    shake_hands,
    StartRequest,
)

AGENT_HOST = "agent-1"
SERVICE = "varsel"
TEST_LIMIT_S = 8.0
KEY_LIFETIME_S = 300.0


class FakeService:
    """A configured service."""

    def __init__(self):
        self.name = SERVICE
        self.lifetime_limit_s = KEY_LIFETIME_S


class FakeState:
    """A configuration in which one agent is the home of all keys."""

    def __init__(self, version=1, hosts=(AGENT_HOST,)):
        self.version = version
        self.services = {SERVICE: FakeService()}
        self.hosts = list(hosts)

    def homes_at(self, service_name, issued_at_ms):
        """Return the only version and its hosts."""
        return self.version, self.hosts


class ScriptedTarget:
    """A target whose responses are scripted by the test."""

    def __init__(self):
        self.calls = []
        self.resumed = []
        self.cancelled = []
        self.known = {}
        self.started_calls = curio.Semaphore(0)

    async def fetch_load(self):
        """Return the load of an idle target."""
        return TargetLoad(0, 0, 8, 0)


class ScriptedCall:
    """A call whose events are queued by the test."""

    def __init__(self, target, request_id, request=None):
        self.target = target
        self.request_id = request_id
        self.request = request
        self.events = curio.Queue()
        self.taken = 0
        self.length_bytes = 0

    async def next_event(self):
        """Return the next queued event, or raise it if it is an exception."""
        if self.request is not None and self.taken == 0:
            await self.target.started_calls.release()
        event = await self.events.get()
        self.taken += 1
        if isinstance(event, Exception):
            raise event
        return event

    async def cancel(self):
        """Record the cancellation."""
        self.target.cancelled.append(self.request_id)
        return Outcome.FAILED_RAN

    async def head(self, status=200):
        """Send a response head."""
        await self.events.put(Head(status, [("content-type", "text/plain")]))

    async def part(self, data):
        """Send the next part of the body."""
        await self.events.put(Part(self.length_bytes, data))
        self.length_bytes += len(data)

    async def end(self, outcome=Outcome.ANSWERED, reason=Reason.COMPLETE):
        """End the response."""
        await self.events.put(End(outcome, reason, "", self.length_bytes))

    async def answer(self, body):
        """Send a whole response."""
        await self.head()
        await self.part(body)
        await self.end()


@open_call.register
def _(target: ScriptedTarget, request):
    call = ScriptedCall(target, request.request_id, request)
    target.calls.append(call)
    return call


@resume_call.register
def _(target: ScriptedTarget, request_id, offset_bytes):
    target.resumed.append((request_id, offset_bytes))
    return target.known.get(request_id)


def start_request(attempt=1, request_id="r-1", **values):
    """Return a complete start frame."""
    defaults = {
        "service_name": SERVICE,
        "account": "account-1",
        "priority": 1,
        "idempotent": False,
        "time_left_ms": 60_000,
        "homes_version": 1,
        "method": "POST",
        "path": "/alerts",
        "headers": [Header("content-type", "text/plain")],
        "body": b"fault 7",
        "window_bytes": 64 * 1024,
    }
    fields = defaults | values
    return StartRequest(attempt=attempt, request_id=request_id, **fields)


def keyed_request(harness, attempt=1, key="k-1", age_s=0.0, **values):
    """Return a start frame with an idempotency key issued `age_s` ago."""
    issued_at_ms = harness.clock.unix_ms() - round(age_s * 1000)
    defaults = {"idempotency_key": key, "issued_at_ms": issued_at_ms}
    return start_request(
        attempt, f"key/{SERVICE}/account-1/{key}", **(defaults | values)
    )


def resume_request(attempt=1, request_id="r-1", offset_bytes=0, **values):
    """Return a complete resume frame."""
    defaults = {
        "sent_to_incarnation": "inc-1",
        "head_received": bool(offset_bytes),
        "window_bytes": 64 * 1024,
        "time_left_ms": 60_000,
        "service_name": SERVICE,
    }
    return ResumeRequest(
        attempt=attempt,
        request_id=request_id,
        offset_bytes=offset_bytes,
        **(defaults | values),
    )


class Answer:
    """What an entry received for one attempt."""

    def __init__(self):
        self.head = None
        self.body = b""
        self.end = None

    @property
    def result(self):
        """Outcome and reason of the end."""
        return Outcome(self.end.outcome), self.end.reason


class FakeEntry:
    """One connection of an entry."""

    def __init__(self, harness, incarnation):
        self.harness = harness
        self.identity = Identity("entry-1", "domain-a", "entry", (), incarnation)
        self.channel = None
        self.pending = []
        self.answers = {}
        self.others = []
        self.loads = []

    async def connect(self):
        """Dial and authenticate."""
        settings = self.harness.peer_settings
        host, port = self.harness.address
        self.channel = await open_channel(
            host, port, Frame, settings.frame_limit_bytes, settings.dial_wait_s
        )
        _, frames = await shake_hands(
            self.channel, self.identity, settings, dialled=True
        )
        self._receive(frames)
        return self

    async def send(self, message):
        """Send one message."""
        names = {
            StartRequest: "start",
            ResumeRequest: "resume",
            Acknowledge: "acknowledge",
            CancelRequest: "cancel",
            Heartbeat: "heartbeat",
        }
        await self.channel.send(Frame(**{names[type(message)]: message}))

    async def acknowledge(self, attempt, received_bytes, finished=False):
        """Send an acknowledgement."""
        await self.send(Acknowledge(attempt, received_bytes, finished))

    async def receive_until(self, condition):
        """Receive until a condition holds."""
        while not condition():
            self._receive(await self.channel.receive())

    async def receive_end(self, attempt=1):
        """Receive until the end of an attempt, and return its `Answer`."""
        answer = self.answer(attempt)
        await self.receive_until(lambda: answer.end is not None)
        return answer

    async def receive_body(self, attempt, length_bytes):
        """Receive until `length_bytes` of an attempt's body have arrived."""
        answer = self.answer(attempt)
        await self.receive_until(lambda: len(answer.body) >= length_bytes)
        return answer

    async def sync(self):
        """Wait until the agent has handled all frames that were sent before.

        Cancels an attempt that does not exist, which the agent answers at once.
        """
        attempt = 1_000_000 + len(self.answers)
        await self.send(CancelRequest(attempt, f"none-{attempt}"))
        await self.receive_end(attempt)

    def answer(self, attempt):
        """Return the `Answer` of an attempt."""
        return self.answers.setdefault(attempt, Answer())

    def _receive(self, frames):
        for frame in frames:
            message = message_of(frame)
            if isinstance(message, ResponseHead):
                self.answer(message.attempt).head = message
            elif isinstance(message, ResponsePart):
                answer = self.answer(message.attempt)
                assert message.offset_bytes == len(answer.body)
                answer.body += message.data
            elif isinstance(message, ResponseEnd):
                self.answer(message.attempt).end = message
            elif isinstance(message, Heartbeat):
                self.loads.append(message.load)
            else:
                self.others.append(message)

    async def disconnect(self):
        """Close the connection."""
        await self.channel.close()


class Harness:
    """An agent server on loopback whose clock is advanced by the test."""

    def __init__(self, clock=None, incarnation="inc-1", **settings):
        defaults = {
            "housekeeping_interval_s": 0.01,
            "load_interval_s": 0.05,
            "coalesce_wait_s": 0.0,
            "leaving_notice_s": 0.0,
        }
        self.settings = ExecutionSettings(**(defaults | settings))
        self.peer_settings = PeerSettings(
            keys=[Key("k1", "secret one")], heartbeat_interval_s=0.05
        )
        self.clock = clock or ManualClock()
        self.view = ConfigurationView()
        self.view.state = FakeState()
        self.target = ScriptedTarget()
        self.metrics = Metrics()
        self.server = AgentServer(
            Identity(AGENT_HOST, "domain-a", "agent", [SERVICE], incarnation),
            self.settings,
            self.peer_settings,
            self.view,
            self.target,
            self.clock,
            self.metrics,
        )
        self.ledger = self.server.handler._ledger
        # Makes keys that are issued when the test begins younger than the agent.
        self.clock.advance(10.0)
        self.address = None
        self._task = None

    async def __aenter__(self):
        socket = curio.network.tcp_server_socket("127.0.0.1", 0)
        self.address = socket.getsockname()
        self._task = await curio.spawn(self.server.run, socket)
        return self

    async def __aexit__(self, *_):
        await self._task.cancel()

    async def entry(self, incarnation="entry-inc-1"):
        """Return a connected `FakeEntry`."""
        return await FakeEntry(self, incarnation).connect()

    async def entry_of_role(self, role):
        """Return a connected peer of another role."""
        entry = FakeEntry(self, "other-inc")
        entry.identity.role = role
        return await entry.connect()

    async def next_call(self):
        """Wait until the next call of the target starts, and return the call."""
        await self.target.started_calls.acquire()
        return self.target.calls[-1]


def run(scenario, *arguments, **settings):
    """Run ``scenario(harness, *arguments)`` with a time limit."""

    async def bounded():
        async with Harness(**settings) as harness:
            await scenario(harness, *arguments)

    async def main():
        await curio.timeout_after(TEST_LIMIT_S, bounded)

    curio.run(main)


async def is_disconnected(entry):
    """Receive until the agent closes the connection, and return True."""
    try:
        while True:
            entry._receive(await entry.channel.receive())
    except ConnectionLostError:
        return True
