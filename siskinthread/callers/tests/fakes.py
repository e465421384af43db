"""Fakes of the components that the HTTP front end uses, and a raw client."""

import itertools
from contextlib import asynccontextmanager

import curio
from curio import socket

from siskinthread.callers import CallerServer, CallerSettings
from siskinthread.configuration import Account, ConfigurationView, Service
from siskinthread.observability import Metrics
from siskinthread.outcomes import End, Head, Outcome, Part, Reason
from siskinthread.timing import ManualClock

KEY = "correct-key"
NOW_MS = 1_700_000_000_000
READ_SIZE_BYTES = 65_536
# Time after which a test is assumed to hang.
HANG_S = 20.0
HOURS_S = 10_000.0


class FakeState:
    """A state with one engine service and one plain service."""

    def __init__(self):
        self.version = 1
        self.services = {
            "triage-llm": Service("triage-llm", {}, "engine", models=["triage-1"]),
            "varsel": Service("varsel", {}, "plain"),
            "closed": Service("closed", {}, "plain"),
        }
        self.account = Account("inspectorate", {}, [])

    def account_for_key(self, bearer_key):
        """Return the account for the one valid key."""
        return self.account if bearer_key == KEY else None

    def service_for_model(self, model):
        """Return the service for the one known model."""
        return self.services["triage-llm"] if model == "triage-1" else None

    def priority(self, account_name, service_name):
        """Return a priority for all services but ``closed``."""
        return None if service_name == "closed" else 3


class FakeAnswer:
    """An answer whose events the test supplies."""

    def __init__(self, request, events=()):
        self.request = request
        self.events = curio.Queue()
        self.cancelled = curio.Event()
        self.cancel_count = 0
        self._first = list(events)

    async def next_event(self):
        """Return the next prepared event, or wait for one from the test."""
        if self._first:
            return self._first.pop(0)
        return await self.events.get()

    async def cancel(self):
        """Record the cancellation."""
        self.cancel_count += 1
        await self.cancelled.set()


class FakeDispatcher:
    """Begins answers and puts each of them into the queue `begun`."""

    def __init__(self, script=None):
        self.begun = curio.Queue()
        self.requests = []
        self.started = curio.Event()
        self.gate = None
        self._script = script or (lambda request: ())

    async def begin(self, request):
        """Return an answer with the events of the script."""
        answer = FakeAnswer(request, self._script(request))
        self.requests.append(request)
        await self.started.set()
        if self.gate is not None:
            await self.gate.wait()
        await self.begun.put(answer)
        return answer


class FakeAdmitted:
    """Records the tokens of one request."""

    def __init__(self, admission):
        self._admission = admission

    def finish(self, tokens):
        """Record the tokens."""
        self._admission.finished.append(tokens)


class FakeAdmission:
    """Admits all requests unless the test sets a refusal."""

    def __init__(self):
        self.refusal = None
        self.finished = []

    def admit(self, request):
        """Return the refusal or an admission."""
        return self.refusal or FakeAdmitted(self)


class Bench:
    """A server with fake components on a loopback port."""

    def __init__(self, script=None, **settings):
        self.clock = ManualClock()
        self.view = ConfigurationView()
        self.view.advance(FakeState())
        self.dispatcher = FakeDispatcher(script)
        self.admission = FakeAdmission()
        self.connected = ["host-1"]
        numbers = itertools.count(1)
        values = {"watch_interval_s": 0.001, "balancer_notice_s": 0.0} | settings
        self.settings = CallerSettings(**values)
        self.server = CallerServer(
            self.settings,
            self.view,
            self.dispatcher,
            self.admission,
            self.clock,
            Metrics(),
            connected_hosts=lambda: self.connected,
            request_ids=lambda: f"request-{next(numbers)}",
        )
        self.listening = None
        self.address = None

    @asynccontextmanager
    async def running(self):
        """Run the server for the duration of a ``with`` block."""
        self.listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(64)
        self.address = self.listening.getsockname()
        task = await curio.spawn(self.server.run, self.listening)
        try:
            yield self
        finally:
            await task.cancel()

    async def connect(self, receive_buffer_bytes=None):
        """Return a connected socket."""
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer_bytes is not None:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        await client.connect(self.address)
        return client

    async def exchange(self, data):
        """Send bytes on a new connection and return all bytes until its end."""
        client = await self.connect()
        async with curio.timeout_after(HANG_S):
            await client.sendall(data)
            received = await read_to_end(client)
        await client.close()
        return received


async def read_to_end(client):
    """Return all bytes until the server ends the connection."""
    parts = []
    while True:
        try:
            data = await client.recv(READ_SIZE_BYTES)
        except ConnectionError:
            data = b""
        if not data:
            return b"".join(parts)
        parts.append(data)


async def read_until(client, mark):
    """Return the bytes up to and including `mark`; the end before it fails the test."""
    received = b""
    while not received.endswith(mark):
        data = await client.recv(1)
        assert data, f"ended before {mark!r}: {received!r}"
        received += data
    return received


def request_bytes(method, target, body=b"", key=KEY, close=True, **headers):
    """Return a request; underscores in header names become hyphens."""
    lines = [f"{method} {target} HTTP/1.1", "Host: siskinthread"]
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    if close:
        lines.append("Connection: close")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chat_body(stream=True):
    """Return the body of a chat completion."""
    flag = b"true" if stream else b"false"
    return (
        b'{"model": "triage-1", "stream": ' + flag + b', "max_tokens": 20, '
        b'"messages": [{"role": "user", "content": "barrier"}]}'
    )


def complete_answer(body=b"ok", content_type="text/plain", status=200):
    """Return the events of a complete answer."""
    return [
        Head(status, [("content-type", content_type)]),
        Part(0, body),
        answered(len(body)),
    ]


def event_stream_head():
    """Return the head of an event stream."""
    return Head(200, [("content-type", "text/event-stream")])


def answered(length_bytes=0):
    """Return the end of a complete answer."""
    return End(Outcome.ANSWERED, Reason.COMPLETE, length_bytes=length_bytes)


def no_answer(request):
    """Return no events; the test supplies them."""
    return ()


async def wait_until(condition):
    """Let other tasks run until a condition holds."""
    while not condition():
        await curio.sleep(0.0005)


def run_bench(test, script=no_answer, **settings):
    """Run a test against a running server and return its result."""

    async def run():
        async with Bench(script, **settings).running() as bench:
            return await curio.timeout_after(HANG_S, test, bench)

    return curio.run(run)


def only_connection(bench):
    """Return the server's only connection, or None."""
    return next(iter(bench.server._connections), None)


def in_phase(bench, phase):
    """Return a function that tells whether the only connection is in `phase`."""

    def condition():
        connection = only_connection(bench)
        return connection is not None and connection.caller.phase is phase

    return condition


STREAM = request_bytes("POST", "/v1/chat/completions", chat_body(), close=False)
GET = request_bytes("GET", "/services/varsel/a", close=False)
LAST_GET = request_bytes("GET", "/services/varsel/last")
TOKEN = Part(0, b"data: 1\n\n")
