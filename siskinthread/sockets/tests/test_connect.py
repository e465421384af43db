"""Tests of connecting with a timeout."""

import socket
import time

import curio
import pytest

from siskinthread.sockets import connect

WAIT_S = 0.05
DELAY_S = 0.2


@pytest.fixture
def listener():
    """Return a listening socket on loopback with a backlog for one connection."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listening:
        yield listening


async def connected_s(address, wait_s):
    """Connect and return the time taken, seconds."""
    began_s = time.monotonic()
    async with curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        await connect(sock, address, wait_s)
        return time.monotonic() - began_s


def test_connection_made_while_this_process_was_delayed_counts(listener):
    """Guards against avoiding a target because the host itself was delayed."""

    class SlowToWake(curio.io.Socket):
        async def connect(self, address):
            """Connect and resume after the timeout."""
            await super().connect(address)
            time.sleep(DELAY_S)
            await curio.sleep(DELAY_S)

    async def main():
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        async with SlowToWake(raw) as sock:
            await connect(sock, listener.getsockname(), WAIT_S)
            return sock.getpeername()

    assert curio.run(main) == listener.getsockname()


def test_end_that_accepts_nothing_is_given_up_in_time(listener):
    """Guards against waiting for the retransmitted SYN, which is sent after 1 s."""

    async def main():
        address = listener.getsockname()
        held = []
        # Connect until the full backlog of the listener drops SYN packets.
        while True:
            sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            held.append(sock)
            began_s = time.monotonic()
            try:
                await connect(sock, address, WAIT_S)
            except curio.TaskTimeout:
                return time.monotonic() - began_s
            finally:
                if len(held) > 16:
                    raise AssertionError("the backlog never fills")

    assert curio.run(main) >= WAIT_S


def test_refused_connection_is_an_error():
    """A port without a listener fails at once."""
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = closed.getsockname()
    with pytest.raises(OSError):
        curio.run(connected_s, address, WAIT_S)
