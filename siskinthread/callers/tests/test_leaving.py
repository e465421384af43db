"""Callers that disconnect, pipeline, or are still sending."""

import socket as standard_socket
import struct

import curio
import pytest
from curio import socket

from siskinthread.callers.tests.fakes import (
    complete_answer,
    event_stream_head,
    GET,
    in_phase,
    LAST_GET,
    only_connection,
    read_to_end,
    read_until,
    request_bytes,
    run_bench,
    STREAM,
    TOKEN,
    wait_until,
)
from siskinthread.http_server import Phase


def test_retry_that_arrives_slowly_is_not_called_not_run():
    """A retry with a key whose body times out is reported as unknown.

    The first try may have run and its answer been lost.  A refusal "not run" of the
    retry would make the caller issue the request again by other means.
    """
    sent = request_bytes("POST", "/services/varsel/a", b"abc", Idempotency_Key="k")
    sent = sent.replace(b"Host", b"Siskinthread-Issued-At: 1700000000000\r\nHost")

    async def test(bench):
        client = await bench.connect()
        await client.sendall(sent[:-1])
        await wait_until(in_phase(bench, Phase.BODY))
        bench.clock.advance(31.0)
        return await read_to_end(client)

    received = run_bench(test)
    assert received.startswith(b"HTTP/1.1 408 ")
    assert b'"outcome": "unknown"' in received


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("events", [[], [event_stream_head(), TOKEN]])
def test_caller_that_leaves_cancels_its_answer(events, resets):
    """A caller that disconnects while the next event is awaited cancels its answer.

    Unless the socket is read during that wait, the disconnection goes unnoticed before
    the first byte and within a stream, and the engine continues an unwanted answer.
    """

    async def test(bench):
        client = await bench.connect()
        await client.sendall(STREAM)
        answer = await bench.dispatcher.begun.get()
        if events:
            await read_until(client, b"data: 1\n\n\r\n")
        if resets:
            no_wait = struct.pack("ii", 1, 0)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_wait)
        await client.close()
        await answer.cancelled.wait()
        await wait_until(lambda: not bench.server._connections)
        return answer.cancel_count, bench.admission.finished

    cancel_count, finished = run_bench(test, lambda request: events)
    assert cancel_count == 1
    assert finished == [len(events) // 2]


def test_caller_that_left_before_its_request_was_read():
    """A request is not run if its caller has already disconnected.

    The caller sends a request and closes at once, so that both are read together.  A
    check for disconnections during an answer only would miss this.
    """

    async def test(bench):
        await wait_until(lambda: bench.server._accepting)
        # A blocking socket, so that the server does not run between the two calls.
        with standard_socket.create_connection(bench.address) as client:
            client.sendall(STREAM)
        # This connection is accepted after the first.
        await bench.exchange(request_bytes("GET", "/healthz"))
        await wait_until(lambda: not bench.server._connections)
        return bench.dispatcher.requests

    assert run_bench(test) == []


def test_caller_that_leaves_while_its_request_begins():
    """An answer is cancelled if its caller disconnects while it is begun.

    If the interruption cancelled the call of the dispatcher, the answer would be lost
    and the request would run on without a way to cancel it.
    """

    async def test(bench):
        bench.dispatcher.gate = curio.Event()
        client = await bench.connect()
        await client.sendall(STREAM)
        await bench.dispatcher.started.wait()
        await client.close()
        try:
            await wait_until(lambda: only_connection(bench).caller.ending)
        finally:
            await bench.dispatcher.gate.set()
        answer = await bench.dispatcher.begun.get()
        await answer.cancelled.wait()

    run_bench(test)


def test_request_that_arrives_during_an_answer_is_not_lost():
    """A pipelined request that arrives during an answer is answered next."""

    async def test(bench):
        client = await bench.connect()
        await client.sendall(GET)
        first = await bench.dispatcher.begun.get()
        await client.sendall(LAST_GET)
        connection = only_connection(bench)
        await wait_until(lambda: connection.caller._incoming_bytes)
        for event in complete_answer(b"first"):
            await first.events.put(event)
        second = await bench.dispatcher.begun.get()
        for event in complete_answer(b"second"):
            await second.events.put(event)
        return await read_to_end(client)

    received = run_bench(test)
    assert received.index(b"first") < received.index(b"second")


def test_body_is_asked_for_once_the_head_is_accepted():
    """A caller that expects 100-continue gets it, or a refusal before its body."""
    headers = {"Expect": "100-continue", "Content_Length": 3}

    async def test(bench):
        client = await bench.connect()
        await client.sendall(request_bytes("POST", "/services/varsel/a", **headers))
        asked = await read_until(client, b"\r\n\r\n")
        await client.sendall(b"abc")
        answer = await read_to_end(client)
        refused = await bench.exchange(
            request_bytes("POST", "/services/closed/a", close=False, **headers)
        )
        return asked, answer, refused

    asked, answer, refused = run_bench(
        test, lambda request: complete_answer(request.body)
    )
    assert asked.startswith(b"HTTP/1.1 100 ")
    assert answer.endswith(b"\r\n\r\nabc")
    assert refused.startswith(b"HTTP/1.1 404 ")
    assert b"connection: close" in refused


def test_refusal_reaches_a_caller_that_is_still_sending():
    """A caller that is still sending an oversized body receives the 413.

    Closing a socket with unread bytes makes the kernel send a reset, which could
    destroy the refusal before the caller has read it.
    """
    sent = request_bytes("POST", "/services/varsel/a", b"x" * 8_000_000)

    async def test(bench):
        return await bench.exchange(sent)

    received = run_bench(test, body_size_limit_bytes=1000)
    assert received.startswith(b"HTTP/1.1 413 ")
