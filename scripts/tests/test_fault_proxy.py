"""Data that a relay passes on when it reads late."""

import socket

import curio

from scripts._fault_proxy import Relay, RESET_ON_CLOSE

LOOPBACK = "127.0.0.1"


async def received_of(send, reset):
    """Return the data that a target gets if the caller acts before the relay runs."""
    listening = curio.tcp_server_socket(LOOPBACK, 0)
    relay = Relay(*listening.getsockname())
    running = await curio.spawn(relay.run, daemon=True)
    with socket.create_connection(relay.address) as caller:
        caller.sendall(send)
        if reset:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    async with listening:
        target, _ = await listening.accept()
        async with target:
            received = await target.recv(100)
    await running.cancel()
    return received


def test_request_that_was_given_up_is_not_passed_on_late():
    """Guards against a request that reaches its target after the caller gave up.

    A relay that did not run for 4 s passed it on 1.04 s after the caller got 504.
    """
    assert curio.run(received_of, b"request", True) == b""


def test_request_that_was_not_given_up_is_passed_on():
    """Guards against a relay that drops a request whose caller did not reset."""
    assert curio.run(received_of, b"request", False) == b"request"
