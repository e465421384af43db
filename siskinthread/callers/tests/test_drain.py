"""Readiness, and a drain that interrupts no request."""

import socket as standard_socket

import curio

from siskinthread.callers.tests.fakes import (
    answered,
    complete_answer,
    event_stream_head,
    GET,
    READ_SIZE_BYTES,
    read_to_end,
    read_until,
    request_bytes,
    run_bench,
    STREAM,
    wait_until,
)
from siskinthread.outcomes import Part
from siskinthread.timing import Deadline

READY = request_bytes("GET", "/readyz", key=None)
TOKEN = b"data: 1\n\n"


def test_readiness_states_the_reason():
    """``/readyz`` returns 503 and the reason: drain, no configuration or no target."""

    async def test(bench):
        ready = await bench.exchange(READY)
        bench.connected.clear()
        alone = await bench.exchange(READY)
        bench.view.state = None
        empty = await bench.exchange(READY)
        deadline = Deadline.after(bench.clock, 60.0)
        drain = await curio.spawn(bench.server.drain, deadline)
        await wait_until(lambda: bench.server._context.draining)
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
    """A drain finishes running streams and queued requests.

    Guards against a planned restart that cuts off a running stream, or a request that
    is still in the kernel's accept queue when the drain begins.
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
        await wait_until(lambda: bench.server._context.closing)
        await queued.events.put(event_stream_head())
        await queued.events.put(answered())
        sessions = [await read_to_end(late)]
        await late.close()
        assert not drain.terminated
        await running.events.put(answered())
        sessions.append(await read_until(client, b"0\r\n\r\n"))
        # The head allowed another request, so it stays open for the grace period.
        await wait_until(lambda: len(bench.server._connections) == 1)
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
    """A drain serves connections that were not accepted yet.

    Closing a listening socket resets the connections in the kernel's accept queue, so
    a planned restart would reset requests that the process never saw.
    """

    async def test(bench):
        await wait_until(lambda: bench.server._accepting)
        # A blocking socket, so that the server does not run before the drain.
        with standard_socket.create_connection(bench.address) as client:
            client.sendall(request_bytes("GET", "/services/varsel/a"))
            await bench.server.drain(Deadline.after(bench.clock, 60.0))
            return client.recv(READ_SIZE_BYTES)

    received = run_bench(
        test, lambda request: complete_answer(b"served"), linger_limit_s=0.0
    )
    assert received.endswith(b"\r\n\r\nserved")


def test_drain_closes_idle_connections_after_a_grace():
    """An idle connection stays usable for the grace period."""

    async def test(bench):
        client = await bench.connect()
        await wait_until(lambda: bench.server._connections)
        deadline = Deadline.after(bench.clock, 60.0)
        drain = await curio.spawn(bench.server.drain, deadline)
        await wait_until(lambda: bench.server._context.closing)
        await client.sendall(request_bytes("GET", "/healthz", close=False))
        answer = await read_to_end(client)
        await client.close()
        await drain.join()
        return answer

    answer = run_bench(test)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in answer


def test_drain_gives_up_at_its_deadline():
    """At the deadline open answers are cancelled and `drain` returns False."""

    async def test(bench):
        client = await bench.connect()
        await client.sendall(STREAM)
        answer = await bench.dispatcher.begun.get()
        deadline = Deadline.after(bench.clock, 60.0)
        drain = await curio.spawn(bench.server.drain, deadline)
        await wait_until(lambda: bench.server._context.closing)
        bench.clock.advance(61.0)
        finished = await drain.join()
        await answer.cancelled.wait()
        await client.close()
        return finished

    assert run_bench(test) is False


def test_drain_refuses_a_late_request_on_an_open_connection():
    """Guards against a request that a drain accepts late and aborts at its end."""

    async def test(bench):
        client = await bench.connect()
        await client.sendall(STREAM)
        running = await bench.dispatcher.begun.get()
        await running.events.put(event_stream_head())
        await running.events.put(Part(0, TOKEN))
        await read_until(client, TOKEN + b"\r\n")
        drain = await curio.spawn(bench.server.drain, Deadline.after(bench.clock, 9.0))
        while not bench.server._context.drain.refuses_late:
            bench.clock.advance(0.1)
            await curio.sleep(0.005)
        await running.events.put(answered())
        await read_until(client, b"0\r\n\r\n")
        await client.sendall(STREAM)
        refused = await read_to_end(client)
        await client.close()
        return refused, await drain.join()

    refused, finished = run_bench(test)
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert b"connection: close" in refused
    assert finished


def test_request_that_outlasts_a_drain_gets_a_final_answer():
    """Guards against callers that wait for an answer until their connection is gone."""

    async def test(bench):
        client = await bench.connect()
        await client.sendall(GET)
        running = await bench.dispatcher.begun.get()
        drain = await curio.spawn(bench.server.drain, Deadline.after(bench.clock, 3.0))
        while not drain.terminated:
            bench.clock.advance(0.2)
            await curio.sleep(0.005)
        answer = await read_to_end(client)
        await client.close()
        return answer, running.cancel_count

    answer, cancel_count = run_bench(test)
    assert answer.startswith(b"HTTP/1.1 504 ")
    assert b'"outcome": "unknown", "reason": "host_stopped"' in answer
    assert b"connection: close" in answer
    assert cancel_count == 1
