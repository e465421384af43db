"""Callers that leave, pipeline, or are still sending."""

import socket as standard_socket
import struct

import curio
import pytest
from curio import socket

from siskinthread.callers.tests.fakes import (
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
    until,
    whole,
)
from siskinthread.http_server import Phase


def test_retry_that_arrives_slowly_is_not_called_not_run():
    """Symptom: an alert goes out twice, the second time by hand.

    The first try ran and its answer was lost; the body of the retry stalled on its way,
    and the refusal of the retry read as if the alert had never run.
    """
    sent = request_bytes("POST", "/services/varsel/a", b"abc", Idempotency_Key="k")
    sent = sent.replace(b"Host", b"Siskinthread-Issued-At: 1700000000000\r\nHost")

    async def test(bench):
        client = await bench.connect()
        await client.sendall(sent[:-1])
        await until(in_phase(bench, Phase.BODY))
        bench.clock.advance(31.0)
        return await read_to_end(client)

    received = run_bench(test)
    assert received.startswith(b"HTTP/1.1 408 ")
    assert b'"outcome": "unknown"' in received


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("events", [[], [event_stream_head(), TOKEN]])
def test_caller_that_leaves_cancels_its_answer(events, resets):
    """Symptom: engines go on with answers that nobody waits for.

    The caller gives up, before the first byte or in the middle of a stream, while this
    side waits for the next event.  Cause: nobody reads from the caller meanwhile.
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
        await until(lambda: not bench.server._connections)
        return answer.cancel_count, bench.admission.finished

    cancel_count, finished = run_bench(test, lambda request: events)
    assert cancel_count == 1
    assert finished == [len(events) // 2]


def test_caller_that_left_before_its_request_was_read():
    """Symptom: a request runs for nobody.

    The caller sends a request and closes at once, and both are read together.  Cause:
    only an end that comes during an answer was looked for.
    """

    async def test(bench):
        await until(lambda: bench.server._accepting)
        # A plain socket, so that the server has no turn between the two.
        with standard_socket.create_connection(bench.address) as client:
            client.sendall(STREAM)
        # Accepted after it.
        await bench.exchange(request_bytes("GET", "/healthz"))
        await until(lambda: not bench.server._connections)
        return bench.dispatcher.requests

    assert run_bench(test) == []


def test_caller_that_leaves_while_its_request_begins():
    """Symptom: a request runs on that nobody can cancel any more.

    The caller leaves while the dispatcher begins the request.  Cause: the interruption
    hits the dispatcher's call, and the answer that it had begun is lost.
    """

    async def test(bench):
        bench.dispatcher.gate = curio.Event()
        client = await bench.connect()
        await client.sendall(STREAM)
        await bench.dispatcher.started.wait()
        await client.close()
        try:
            await until(lambda: only_connection(bench).caller.ending)
        finally:
            await bench.dispatcher.gate.set()
        answer = await bench.dispatcher.begun.get()
        await answer.cancelled.wait()

    run_bench(test)


def test_request_that_arrives_during_an_answer_is_not_lost():
    """A pipelined request that comes while an answer is awaited is answered next."""

    async def test(bench):
        client = await bench.connect()
        await client.sendall(GET)
        first = await bench.dispatcher.begun.get()
        await client.sendall(LAST_GET)
        connection = only_connection(bench)
        await until(lambda: connection.caller._incoming_bytes)
        for event in whole(b"first"):
            await first.events.put(event)
        second = await bench.dispatcher.begun.get()
        for event in whole(b"second"):
            await second.events.put(event)
        return await read_to_end(client)

    received = run_bench(test)
    assert received.index(b"first") < received.index(b"second")


def test_body_is_asked_for_once_the_head_is_accepted():
    """A caller that expects 100-continue gets it, or the refusal without its body."""
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

    asked, answer, refused = run_bench(test, lambda request: whole(request.body))
    assert asked.startswith(b"HTTP/1.1 100 ")
    assert answer.endswith(b"\r\n\r\nabc")
    assert refused.startswith(b"HTTP/1.1 404 ")
    assert b"connection: close" in refused


def test_refusal_reaches_a_caller_that_is_still_sending():
    """Symptom: a caller with too large a body sees a reset instead of the 413.

    The refusal is written while the body is still on its way, and the connection is
    closed.  Cause: closing a socket with unread bytes makes the kernel reset it.
    """
    sent = request_bytes("POST", "/services/varsel/a", b"x" * 8_000_000)

    async def test(bench):
        return await bench.exchange(sent)

    received = run_bench(test, body_size_limit_bytes=1000)
    assert received.startswith(b"HTTP/1.1 413 ")
