"""Tests of the pages for operators' tools."""

import curio
import pytest

from siskinthread.execution import StatusServer
from siskinthread.execution._status import CONNECTIONS_LIMIT, REQUEST_WAIT_S
from siskinthread.observability import Metrics

TEST_LIMIT_S = 8.0


@pytest.mark.parametrize(
    ("path", "reason", "status", "body"),
    [
        ("/healthz", "leaving", b"200", b"alive\n"),
        ("/readyz", None, b"200", b"ready\n"),
        ("/readyz", "leaving", b"503", b"not ready: leaving\n"),
        ("/metrics", None, b"200", b"siskinthread_probe_total 0.0\n"),
        ("/other", None, b"404", b"no such page\n"),
    ],
)
def test_pages(path, reason, status, body):
    """Each page has its status and body; a malformed request doesn't end the server."""

    async def main():
        metrics = Metrics()
        metrics.counter("probe", "A probe.")
        socket = curio.network.tcp_server_socket("127.0.0.1", 0)
        address = socket.getsockname()
        server = await curio.spawn(StatusServer(metrics, lambda: reason).run, socket)
        await exchange(address, b"\x00 nonsense\r\n\r\n")
        request = f"GET {path} HTTP/1.1\r\nhost: agent-1\r\n\r\n"
        answer = await exchange(address, request.encode())
        assert answer.split(b" ")[1] == status
        assert body in answer
        await server.cancel()

    async def bounded():
        await curio.timeout_after(TEST_LIMIT_S, main)

    curio.run(bounded)


async def exchange(address, data):
    """Send bytes and return all bytes that are received in reply."""
    client = await curio.open_connection(*address)
    await client.sendall(data)
    answer = b""
    while received := await client.recv(65536):
        answer += received
    await client.close()
    return answer


def test_idle_connections_give_way_to_new_ones():
    """Guards against idle connections that use up the descriptors of an agent."""

    async def main():
        socket = curio.network.tcp_server_socket("127.0.0.1", 0)
        address = socket.getsockname()
        server = await curio.spawn(StatusServer(Metrics(), lambda: None).run, socket)
        idle = [
            await curio.open_connection(*address) for _ in range(CONNECTIONS_LIMIT + 10)
        ]
        answer = await exchange(address, b"GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n")
        assert b"ready\n" in answer
        assert await idle[0].recv(1) == b""
        await server.cancel()

    async def bounded():
        await curio.timeout_after(REQUEST_WAIT_S / 2, main)

    curio.run(bounded)
