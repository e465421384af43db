"""Memory that a host holds for callers and targets that read slowly."""

import curio
import pytest
from curio import socket

from siskinthread.platform.tests.system import (
    body_of,
    is_whole,
    ONCE_PATH,
    published,
    read_response,
    run_system,
    SAFE_PATH,
    status_of,
    STREAM_PATH,
    until,
)
from standins.platform_behaviours import answer_bytes, sealed, stream

ANSWER = b"x" * 250_000
SEND_BUFFER_BYTES = 4096
# Room for the unsent parts of two such answers.
HELD_LIMIT_BYTES = 520_000
BODY = b"y" * 6_000_000
BODIES_LIMIT_BYTES = 10_000_000


async def answer_long(server, request, client):
    """Answer with more than the kernel's buffers accept."""
    data = answer_bytes(request.request_id, body=ANSWER, headers=sealed())
    await client.sendall(data)


async def send_unread(system):
    """Send a request whose answer is not read; return the connection."""
    client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SEND_BUFFER_BYTES)
    await client.connect(system.address)
    await client.sendall(system.request_bytes(SAFE_PATH))
    return client


def held_bytes(system):
    """Return the bytes that are held for each caller that reads slowly."""
    callers = [one.caller for one in system.gateway._callers._connections]
    return [one.held_bytes() for one in callers if one.held_bytes()]


def test_slowest_readers_are_ended_first_beyond_the_bound():
    """Guards against memory that many callers occupy which read nothing for 5 s."""

    async def test(system):
        system.servers[0].set_default_behaviour(answer_long)
        clients = []
        for number in range(6):
            clients.append(await send_unread(system))
            await until(lambda count=number: len(system.seen()) > count)
            # Longer than the interval of the watchdog.
            await curio.sleep(0.1)
        held = held_bytes(system)
        quick = await system.request(SAFE_PATH)
        whole = [is_whole(await read_response(client)) for client in clients]
        return held, whole, body_of(quick)

    held, whole, quick = run_system(
        test,
        server_count=1,
        slow_readers_limit_bytes=HELD_LIMIT_BYTES,
        send_buffer_bytes=SEND_BUFFER_BYTES,
    )
    assert 0 < sum(held) <= HELD_LIMIT_BYTES
    assert whole == sorted(whole)
    assert whole.count(True) == len(held)
    assert quick == ANSWER


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_aborted_answer_never_looks_complete(version):
    """Guards against a broken answer that looks complete to a caller without chunks.

    To such a caller a closed connection is the end of the answer.
    """

    async def test(system):
        system.servers[0].set_default_behaviour(stream(1, 5, cut_within=3))
        data = system.request_bytes(STREAM_PATH)
        client = await system.connect()
        await client.sendall(data.replace(b"HTTP/1.1", f"HTTP/{version}".encode(), 1))
        received = b""
        try:
            while more := await client.recv(65_536):
                received += more
        except ConnectionResetError:
            return "reset"
        return "whole" if received.endswith(b"0\r\n\r\n") else "closed"

    expected = {"1.0": "reset", "1.1": "closed"}[version]
    assert run_system(test, server_count=1) == expected


def test_caller_without_chunks_gets_a_whole_answer():
    """Its connection is closed, not reset, after the last event."""

    async def test(system):
        system.servers[0].set_default_behaviour(stream(1, 5))
        data = system.request_bytes(STREAM_PATH)
        client = await system.connect()
        await client.sendall(data.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        received = b""
        while more := await client.recv(65_536):
            received += more
        return received.count(b"data:")

    assert run_system(test, server_count=1) == 5


def test_answers_are_forwarded_unbuffered_once_memory_is_full():
    """Guards against buffered answers that are limited by their number only."""

    async def test(system):
        system.servers[0].set_default_behaviour(answer_long)
        response = await system.request(SAFE_PATH)
        held = system.gateway.parts.answers.held_bytes
        return is_whole(response), body_of(response) == ANSWER, held

    result = run_system(test, server_count=1, answers_limit_bytes=100_000)
    assert result == (True, True, 0)


def test_event_without_an_end_is_not_buffered_without_limit():
    """Guards against a target that fills the memory with an endless event."""

    async def endless(server, request, client):
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request.request_id}",
            "Content-Type: text/event-stream",
            "Content-Length: 4000000",
            *sealed(),
        ]
        await client.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        for _ in range(40):
            await client.sendall(b"z" * 100_000)
            held.append(held_now())

    held = []
    held_now = None

    async def test(system):
        nonlocal held_now
        answers = system.gateway.parts.answers
        held_now = lambda: answers.held_bytes  # noqa: E731
        system.servers[0].set_default_behaviour(endless)
        response = await system.request(STREAM_PATH)
        return status_of(response), max(held), answers.held_bytes

    status, most_bytes, left_bytes = run_system(
        test, server_count=1, answers_limit_bytes=300_000
    )
    assert status == 502
    assert most_bytes <= 300_000
    assert left_bytes == 0


def test_body_that_a_target_takes_most_slowly_makes_room_for_others():
    """Guards against slow targets that fill the memory for bodies until deadlines."""
    limits = published()["limits"] | {"max_body_bytes": 8_000_000}

    async def test(system):
        async def take_little(client, address):
            # A connection that accepts nothing would be ended by the kernel.
            while await client.recv(SEND_BUFFER_BYTES):
                await curio.sleep(0.02)

        server = system.servers[0]
        await server.end()
        listener = curio.tcp_server_socket(server.host, server.port)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SEND_BUFFER_BYTES)
        taking = await curio.spawn(curio.network.run_server, listener, take_little)
        stuck = await curio.spawn(system.request, ONCE_PATH, "POST", BODY)
        await curio.sleep(1.2)
        refused = await system.request(ONCE_PATH, "POST", BODY)
        lost = await curio.timeout_after(1.0, stuck.join)
        held = system.gateway._context.bodies.held_bytes
        await taking.cancel()
        return status_of(refused), status_of(lost), held

    result = run_system(
        test,
        server_count=1,
        document=published(limits=limits),
        bodies_limit_bytes=BODIES_LIMIT_BYTES,
    )
    assert result == (503, 502, 0)
