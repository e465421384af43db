"""Tests of resets as seen by the other side."""

import curio
import pytest

from siskinthread.sockets import reset


async def connected():
    """Return both ends of a connection."""
    listening = curio.tcp_server_socket("127.0.0.1", 0)
    async with listening:
        client = await curio.open_connection(*listening.getsockname())
        server, _ = await listening.accept()
    return client, server


def test_other_side_sees_a_reset_instead_of_an_end():
    """After an ordinary close, the kernel would still deliver buffered data."""

    async def main():
        client, server = await connected()
        await reset(client)
        with pytest.raises(ConnectionResetError):
            await server.recv(1)
        await server.close()

    curio.run(main)


def test_connection_that_the_other_side_has_reset_can_be_reset():
    """A connection that both sides reset at the same time raises no error."""

    async def main():
        client, server = await connected()
        await reset(server)
        await reset(client)

    curio.run(main)
