"""Limits of a connection in time, size and number."""

import contextlib
import itertools
import socket as standard_socket
import time

import curio
import pytest
from curio import socket

from siskinthread.callers import CallerSettings
from siskinthread.callers.tests.fakes import (
    answered,
    event_stream_head,
    GET,
    HOURS_S,
    in_phase,
    LAST_GET,
    READ_SIZE_BYTES,
    read_to_end,
    request_bytes,
    run_bench,
    STREAM,
    until,
    whole,
)
from siskinthread.http_server import CallerSocket, Phase
from siskinthread.outcomes import Part
from siskinthread.timing import ManualClock


@pytest.mark.parametrize(
    ("sent", "phase"),
    [
        (b"GET /services/varsel/a HTT", Phase.HEAD),
        (request_bytes("POST", "/services/varsel/a", b"abc")[:-1], Phase.BODY),
    ],
)
def test_slow_sender_is_refused(sent, phase):
    """A head or body that does not end in time is answered with 408 and never runs."""

    async def test(bench):
        client = await bench.connect()
        await client.sendall(sent)
        await until(in_phase(bench, phase))
        bench.clock.advance(31.0)
        return await read_to_end(client), bench.dispatcher.requests

    received, requests = run_bench(test, idle_limit_s=HOURS_S)
    assert received.startswith(b"HTTP/1.1 408 ")
    assert b"refused_not_run" in received
    assert requests == []


def test_pause_of_the_process_is_not_held_against_callers():
    """Symptom: after an entry host was frozen, its streams break.

    The process is paused for longer than a limit, while a caller goes on reading.
    Cause: on waking, the watchdog looks at the clock before the write has gone on.
    """
    parts = [Part(0, b"x" * 100_000)] * 30

    async def test(bench):
        await until(lambda: bench.server._accepting)
        client = standard_socket.create_connection(bench.address)
        client.sendall(STREAM)
        await until(in_phase(bench, Phase.WRITE))
        client.setblocking(False)
        received_bytes = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                received_bytes += len(client.recv(READ_SIZE_BYTES))
        bench.clock.advance(31.0)
        # Nothing else runs meanwhile, and the watchdog's next round becomes due.
        time.sleep(10 * bench.settings.watch_interval_s)
        rest = await read_until_end_of_chunks(curio.io.Socket(client))
        return received_bytes + rest

    events = [event_stream_head(), *parts, answered()]
    length_bytes = run_bench(test, lambda request: events, send_buffer_bytes=4096)
    assert length_bytes > 30 * 100_000


async def read_until_end_of_chunks(client):
    """Return the number of bytes up to the final chunk."""
    count, last = 0, b""
    while not last.endswith(b"0\r\n\r\n"):
        data = await client.recv(READ_SIZE_BYTES)
        assert data, "ended before the final chunk"
        count += len(data)
        last = (last + data)[-5:]
    await client.close()
    return count


def test_bytes_that_have_come_go_before_a_limit_that_has_passed():
    """Symptom: 408, refused and not run, for a request that runs.

    The limit passes in the very round in which the last bytes are read, so that the
    request is begun.  Cause: the interruption arrives after that.
    """

    async def run():
        ours, theirs = socket.socketpair()
        caller = CallerSocket(ours, CallerSettings(), ManualClock())
        await caller.open()
        caller.enter(Phase.HEAD, 1.0)
        await theirs.sendall(b"last bytes")
        await until(lambda: caller._incoming_bytes)
        await caller.expire()
        received = [await caller.receive(), await caller.receive()]
        await caller.close()
        await theirs.close()
        return received

    assert curio.run(run) == [b"last bytes", None]


def test_slow_sender_that_stays_is_closed():
    """Symptom: connections of slow senders pile up after their 408.

    A caller gets its 408 and neither sends nor closes.  Cause: a task can be
    interrupted only once, and the limit on the head had used that up.
    """

    async def test(bench):
        client = await bench.connect()
        await client.sendall(LAST_GET[:20])
        await until(in_phase(bench, Phase.HEAD))
        bench.clock.advance(31.0)
        await until(in_phase(bench, Phase.LINGER))
        bench.clock.advance(3.0)
        await until(lambda: not bench.server._connections)
        await client.close()

    run_bench(test, idle_limit_s=HOURS_S)


def test_idle_connection_is_closed_silently():
    """A connection without a request is closed after the idle limit."""

    async def test(bench):
        client = await bench.connect()
        await until(in_phase(bench, Phase.IDLE))
        bench.clock.advance(76.0)
        return await read_to_end(client)

    assert run_bench(test) == b""


def test_watching_goes_on_after_an_unforeseen_error():
    """Symptom: an entry host fills with connections that never end.

    One round of the watchdog met an unforeseen error.  Cause: its task was gone then.
    """

    class FaultyConnection:
        """Fails when it is looked at, once."""

        def __init__(self, connections):
            self._connections = connections
            connections[self] = None

        @property
        def caller(self):
            del self._connections[self]
            raise RuntimeError("unforeseen")

    async def test(bench):
        client = await bench.connect()
        await until(in_phase(bench, Phase.IDLE))
        faulty = FaultyConnection(bench.server._connections)
        await until(lambda: faulty not in bench.server._connections)
        bench.clock.advance(76.0)
        return await read_to_end(client)

    assert run_bench(test) == b""


def test_slow_reader_is_cut_off_and_its_answer_cancelled():
    """Symptom: answers that nobody reads hold buffers and a place in an engine.

    The caller's host vanishes in the middle of a stream, the socket takes no more
    bytes, and the write never returns.  Cause: no limit on a write without progress.
    """

    def endless(request):
        yield event_stream_head()
        yield from itertools.repeat(Part(0, b"x" * 100_000), 1000)

    async def test(bench):
        client = await bench.connect(receive_buffer_bytes=4096)
        await client.sendall(STREAM)
        answer = await bench.dispatcher.begun.get()
        await until(in_phase(bench, Phase.WRITE))
        bench.clock.advance(21.0)
        await answer.cancelled.wait()
        received = await read_to_end(client)
        return received, answer.cancel_count

    received, cancel_count = run_bench(test, endless, send_buffer_bytes=4096)
    assert cancel_count == 1
    assert not received.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (request_bytes("POST", "/services/varsel/a", b"x" * 1001), b"413"),
        (
            request_bytes("POST", "/services/varsel/a", Transfer_Encoding="chunked")
            + b"3e9\r\n"
            + b"x" * 1001
            + b"\r\n0\r\n\r\n",
            b"413",
        ),
        (request_bytes("GET", "/services/varsel/a", X=b"x" * 1000), b"431"),
        (request_bytes("GET", "/services/varsel/a", X=b"x" * 1000)[:-4], b"431"),
        (request_bytes("POST", "/services/varsel/a", Transfer_Encoding="br"), b"501"),
    ],
)
def test_oversized_requests_are_refused(sent, status):
    """Heads and bodies beyond the limits are refused, whole or not, and never run."""

    async def test(bench):
        return await bench.exchange(sent), bench.dispatcher.requests

    limits = {"head_size_limit_bytes": 500, "body_size_limit_bytes": 1000}
    received, requests = run_bench(test, **limits)
    assert received.startswith(b"HTTP/1.1 " + status)
    assert b"connection: close" in received.lower()
    assert b'"outcome": "refused_not_run"' in received
    assert requests == []


def test_connections_beyond_the_limit_are_told_so():
    """A surplus connection is refused, not run, but may still ask for the health."""

    async def test(bench):
        first = await bench.connect()
        await until(lambda: bench.server._connections)
        refused = await bench.exchange(GET)
        health = await bench.exchange(request_bytes("GET", "/healthz", close=False))
        await first.close()
        return refused, health, bench.dispatcher.requests

    refused, health, requests = run_bench(test, connections_limit=1)
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert b'"overloaded"' in refused
    assert health.startswith(b"HTTP/1.1 200 ")
    assert requests == []


def test_bodies_of_all_connections_share_one_limit():
    """A body beyond the memory for all is refused, not run, until another is done."""
    post = request_bytes("POST", "/services/varsel/a", b"x" * 600)

    async def test(bench):
        first = await bench.connect()
        await first.sendall(post)
        answer = await bench.dispatcher.begun.get()
        refused = await bench.exchange(post)
        for event in whole():
            await answer.events.put(event)
        answered_first = await read_to_end(first)
        return refused, answered_first, bench.server._context.bodies.held_bytes

    refused, answered_first, held_bytes = run_bench(test, bodies_limit_bytes=1000)
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert b'"overloaded"' in refused
    assert answered_first.startswith(b"HTTP/1.1 200 ")
    assert held_bytes == 0
