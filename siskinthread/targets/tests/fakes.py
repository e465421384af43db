"""A target with scripted connections."""

import curio

from siskinthread.outcomes import End, Head, Part
from siskinthread.settings import Address
from siskinthread.targets import build_target, TargetRequest, TargetSettings
from siskinthread.timing import ManualClock

TEST_LIMIT_S = 8.0
END_OF_HEAD = b"\r\n\r\n"


def chunked(*chunks, end=True):
    """Return a response with a chunked event stream, as bytes."""
    head = (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + body + (b"0\r\n\r\n" if end else b"")


def sized(body, status=b"200 OK", length=None):
    """Return a response with a content length, as bytes."""
    length = len(body) if length is None else length
    return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (status, length, body)


class FakeTarget:
    """Plays one script for each connection.

    Parameters
    ----------
    *scripts : list of list
        For each connection the response to each request: bytes to send, or None for no
        answer.  After its last item a connection closes; an item `KEEP_OPEN` keeps it
        open.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.socket = curio.network.tcp_server_socket("127.0.0.1", 0)
        self.closed = curio.Semaphore(0)
        self._tasks = []

    async def run(self):
        """Accept connections until cancelled."""
        while True:
            socket, _ = await self.socket.accept()
            script = self.scripts.pop(0) if self.scripts else []
            self._tasks.append(await curio.spawn(self._play, socket, script))

    async def _play(self, socket, script):
        for item in script:
            if item is KEEP_OPEN:
                await curio.sleep(TEST_LIMIT_S)
            request = await self._receive(socket)
            if request is None:
                break
            self.requests.append(request)
            if item is not None:
                await socket.sendall(item)
        await socket.close()
        await self.closed.release()

    async def _receive(self, socket):
        data = b""
        while END_OF_HEAD not in data:
            received = await socket.recv(65536)
            if not received:
                return None
            data += received
        head, _, body = data.partition(END_OF_HEAD)
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        while len(body) < length:
            body += await socket.recv(65536)
        return head.decode()

    def lines(self):
        """Return the request lines received."""
        return [head.split(" HTTP")[0] for head in self.requests]

    async def close(self):
        """Cancel all tasks."""
        for task in self._tasks:
            await task.cancel()
        await self.socket.close()


KEEP_OPEN = object()


def request(**values):
    """Return a request for a target."""
    defaults = {
        "request_id": "key/varsel/a b",
        "account": "account-1",
        "priority": 0,
        "idempotent": False,
        "idempotency_key": "k-1",
        "method": "POST",
        "path": "/alerts",
        "headers": [("content-type", "text/plain"), ("connection", "close")],
        "body": b"fault 7",
    }
    return TargetRequest(**(defaults | values))


def run(kind, scripts, scenario, clock=None, **settings):
    """Run ``scenario(target, fake)`` against scripted connections."""
    defaults = {"silence_limit_s": 2.0, "resume_wait_s": 0.0, "resume_limit": 2}

    async def main():
        fake = FakeTarget(*scripts)
        address = Address(*fake.socket.getsockname())
        values = defaults | {"kind": kind, "address": address} | settings
        target = build_target(TargetSettings(**values), clock or ManualClock())
        serving = await curio.spawn(fake.run)
        await scenario(target, fake)
        await target.pool.close()
        await serving.cancel()
        await fake.close()

    async def bounded():
        await curio.timeout_after(TEST_LIMIT_S, main)

    curio.run(bounded)


class Answer:
    """All events of a call."""

    def __init__(self):
        self.head = None
        self.body = b""
        self.end = None

    @property
    def result(self):
        """Outcome and reason."""
        return self.end.outcome, self.end.reason


async def collect(call):
    """Return the `Answer` of a call."""
    answer = Answer()
    while answer.end is None:
        event = await call.next_event()
        if isinstance(event, Head):
            answer.head = event
        elif isinstance(event, Part):
            assert event.offset_bytes == len(answer.body)
            answer.body += event.data
        else:
            assert isinstance(event, End)
            answer.end = event
    return answer
