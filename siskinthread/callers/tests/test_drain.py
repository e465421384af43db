"""Readiness, and a stop that cuts off nothing."""

import socket as standard_socket

import curio

from siskinthread.callers.tests.fakes import (
    answered,
    event_stream_head,
    READ_SIZE_BYTES,
    read_to_end,
    read_until,
    request_bytes,
    run_bench,
    STREAM,
    until,
    whole,
)
from siskinthread.outcomes import Part
from siskinthread.timing import Deadline

READY = request_bytes("GET", "/readyz", key=None)
TOKEN = b"data: 1\n\n"


def test_readiness_states_the_reason():
    """It says 503, and why, during a drain or without configuration or a target."""

    async def test(bench):
        ready = await bench.exchange(READY)
        bench.connected.clear()
        alone = await bench.exchange(READY)
        bench.view.state = None
        empty = await bench.exchange(READY)
        deadline = Deadline.after(bench.clock, 60.0)
        drain = await curio.spawn(bench.server.drain, deadline)
        await until(lambda: bench.server._context.draining)
        draining = await bench.exchange(READY)
        bench.clock.advance(5.0)
        await drain.join()
        return ready, alone, empty, draining

    ready, *unready = run_bench(test, balancer_notice_s=5.0)
    assert ready.startswith(b"HTTP/1.1 200 ")
    reasons = [b"no target is connected", b"no configuration yet", b"draining"]
    for response, reason in zip(unready, reasons, strict=True):
        assert response.startswith(b"HTTP/1.1 503 ")
        assert reason in response


def test_drain_finishes_streams_and_then_closes():
    """Symptom: a planned restart cuts answers off.

    A stream runs, and another request has reached the kernel's queue, when the process
    is told to stop.  Cause: it ended before both were served.
    """

    async def test(bench):
        client = await bench.connect()
        await client.sendall(STREAM)
        running = await bench.dispatcher.begun.get()
        await running.events.put(event_stream_head())
        await running.events.put(Part(0, TOKEN))
        begun = await read_until(client, TOKEN + b"\r\n")
        late = await bench.connect()
        await late.sendall(STREAM)
        drain = await curio.spawn(bench.server.drain, Deadline.after(bench.clock, 60.0))
        queued = await bench.dispatcher.begun.get()
        await until(lambda: bench.server._context.closing)
        await queued.events.put(event_stream_head())
        await queued.events.put(answered())
        sessions = [await read_to_end(late)]
        await late.close()
        assert not drain.terminated
        await running.events.put(answered())
        sessions.append(await read_until(client, b"0\r\n\r\n"))
        # Its head promised another request, so it keeps for the grace.
        await until(lambda: len(bench.server._connections) == 1)
        bench.clock.advance(2.0)
        assert await read_to_end(client) == b""
        await client.close()
        return begun, sessions, await drain.join()

    begun, sessions, finished = run_bench(test)
    assert b"connection: close" not in begun
    assert b"connection: close" in sessions[0]
    assert sessions[0].endswith(b"\r\n\r\n0\r\n\r\n")
    assert sessions[1] == b"0\r\n\r\n"
    assert finished


def test_drain_serves_what_waits_in_the_kernels_queue():
    """Symptom: a planned restart resets connections that it never saw.

    A request has reached the kernel's queue, unaccepted, when accepting ends.  Cause:
    closing a listening socket resets what waits in its queue.
    """

    async def test(bench):
        await until(lambda: bench.server._accepting)
        # A plain socket, so that the server has no turn before the drain.
        with standard_socket.create_connection(bench.address) as client:
            client.sendall(request_bytes("GET", "/services/varsel/a"))
            await bench.server.drain(Deadline.after(bench.clock, 60.0))
            return client.recv(READ_SIZE_BYTES)

    received = run_bench(test, lambda request: whole(b"served"), linger_limit_s=0.0)
    assert received.endswith(b"\r\n\r\nserved")


def test_drain_closes_idle_connections_after_a_grace():
    """An idle connection keeps for the grace, and ends after it."""

    async def test(bench):
        client = await bench.connect()
        await until(lambda: bench.server._connections)
        deadline = Deadline.after(bench.clock, 60.0)
        drain = await curio.spawn(bench.server.drain, deadline)
        await until(lambda: bench.server._context.closing)
        await client.sendall(request_bytes("GET", "/healthz", close=False))
        answer = await read_to_end(client)
        await client.close()
        await drain.join()
        return answer

    answer = run_bench(test)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in answer


def test_drain_gives_up_at_its_deadline():
    """What does not end is cut off, its answer cancelled, and the drain says so."""

    async def test(bench):
        client = await bench.connect()
        await client.sendall(STREAM)
        answer = await bench.dispatcher.begun.get()
        deadline = Deadline.after(bench.clock, 60.0)
        drain = await curio.spawn(bench.server.drain, deadline)
        await until(lambda: bench.server._context.closing)
        bench.clock.advance(61.0)
        finished = await drain.join()
        await answer.cancelled.wait()
        await client.close()
        return finished

    assert run_bench(test) is False
