"""Limits on the time, size and number of connections and requests."""

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
    complete_answer,
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
    wait_until,
)
from siskinthread.http_server import CallerGroup, CallerSocket, InputMemory, Phase
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
    """A head or body that is not complete in time gets a 408 and is not run."""

    async def test(bench):
        client = await bench.connect()
        await client.sendall(sent)
        await wait_until(in_phase(bench, phase))
        bench.clock.advance(31.0)
        return await read_to_end(client), bench.dispatcher.requests

    received, requests = run_bench(test, idle_limit_s=HOURS_S)
    assert received.startswith(b"HTTP/1.1 408 ")
    assert b"refused_not_run" in received
    assert requests == []


def test_pause_of_the_process_is_not_held_against_callers():
    """A pause of the process does not expire the limits of its connections.

    The process is paused for longer than a limit while a caller reads.  If the watchdog
    checked the clock before the write could continue, it would break the stream.
    """
    parts = [Part(0, b"x" * 100_000)] * 30

    async def test(bench):
        await wait_until(lambda: bench.server._accepting)
        client = standard_socket.create_connection(bench.address)
        client.sendall(STREAM)
        await wait_until(in_phase(bench, Phase.WRITE))
        client.setblocking(False)
        received_bytes = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                received_bytes += len(client.recv(READ_SIZE_BYTES))
        bench.clock.advance(31.0)
        # Block the process until the next round of the watchdog is due.
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
    """Bytes that have arrived are read even if the limit has passed.

    The limit may pass in the round that reads the last bytes.  An interruption would
    then report 408, refused and not run, for a request that has begun.
    """

    async def run():
        ours, theirs = socket.socketpair()
        group = CallerGroup(InputMemory(0, ManualClock()))
        caller = CallerSocket(ours, CallerSettings(), ManualClock(), group)
        await caller.open()
        caller.enter(Phase.HEAD, 1.0)
        await theirs.sendall(b"last bytes")
        await wait_until(lambda: caller._incoming_bytes)
        await caller.expire()
        received = [await caller.receive(), await caller.receive()]
        await caller.close()
        await theirs.close()
        return received

    assert curio.run(run) == [b"last bytes", None]


def test_slow_sender_that_stays_is_closed():
    """A caller that neither sends nor closes after its 408 is disconnected.

    curio cancels a task only once.  If the limit on the head used that cancellation,
    the connection could not be ended later and such connections would accumulate.
    """

    async def test(bench):
        client = await bench.connect()
        await client.sendall(LAST_GET[:20])
        await wait_until(in_phase(bench, Phase.HEAD))
        bench.clock.advance(31.0)
        await wait_until(in_phase(bench, Phase.LINGER))
        bench.clock.advance(3.0)
        await wait_until(lambda: not bench.server._connections)
        await client.close()

    run_bench(test, idle_limit_s=HOURS_S)


def test_idle_connection_is_closed_silently():
    """A connection without a request is closed silently after the idle limit."""

    async def test(bench):
        client = await bench.connect()
        await wait_until(in_phase(bench, Phase.IDLE))
        bench.clock.advance(76.0)
        return await read_to_end(client)

    assert run_bench(test) == b""


def test_watching_goes_on_after_an_unforeseen_error():
    """The watchdog continues after an unexpected error in one of its rounds.

    If the error ended its task, connections would never expire and fill the host.
    """

    class FaultyConnection:
        """Raises an error when the watchdog first checks it."""

        def __init__(self, connections):
            self._connections = connections
            connections[self] = None

        @property
        def caller(self):
            del self._connections[self]
            raise RuntimeError("unforeseen")

    async def test(bench):
        client = await bench.connect()
        await wait_until(in_phase(bench, Phase.IDLE))
        faulty = FaultyConnection(bench.server._connections)
        await wait_until(lambda: faulty not in bench.server._connections)
        bench.clock.advance(76.0)
        return await read_to_end(client)

    assert run_bench(test) == b""


def test_slow_reader_is_cut_off_and_its_answer_cancelled():
    """A write without progress ends the connection and cancels the answer.

    If the caller's host vanishes within a stream, the socket accepts no more bytes.
    Without a limit the write would block forever and hold buffers and a place in an
    engine.
    """

    def endless(request):
        yield event_stream_head()
        yield from itertools.repeat(Part(0, b"x" * 100_000), 1000)

    async def test(bench):
        client = await bench.connect(receive_buffer_bytes=4096)
        await client.sendall(STREAM)
        answer = await bench.dispatcher.begun.get()
        await wait_until(in_phase(bench, Phase.WRITE))
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
    """Heads and bodies beyond the limits are refused, complete or not, and not run."""

    async def test(bench):
        return await bench.exchange(sent), bench.dispatcher.requests

    limits = {"head_size_limit_bytes": 500, "body_size_limit_bytes": 1000}
    received, requests = run_bench(test, **limits)
    assert received.startswith(b"HTTP/1.1 " + status)
    assert b"connection: close" in received.lower()
    assert b'"outcome": "refused_not_run"' in received
    assert requests == []


def test_connections_beyond_the_limit_are_told_so():
    """Requests on a surplus connection are refused, except for the health check."""

    async def test(bench):
        first = await bench.connect()
        await wait_until(lambda: bench.server._connections)
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
    """A body that would exceed the memory for all bodies is refused, not run."""
    post = request_bytes("POST", "/services/varsel/a", b"x" * 600)

    async def test(bench):
        first = await bench.connect()
        await first.sendall(post)
        answer = await bench.dispatcher.begun.get()
        refused = await bench.exchange(post)
        for event in complete_answer():
            await answer.events.put(event)
        answered_first = await read_to_end(first)
        return refused, answered_first, bench.server._context.bodies.held_bytes

    refused, answered_first, held_bytes = run_bench(test, bodies_limit_bytes=1000)
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert b'"overloaded"' in refused
    assert answered_first.startswith(b"HTTP/1.1 200 ")
    assert held_bytes == 0
