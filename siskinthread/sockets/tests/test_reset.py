"""What the other side sees of a connection that was given up."""

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
    """An ordinary end would let the kernel deliver what it still holds."""

    async def main():
        client, server = await connected()
        await reset(client)
        with pytest.raises(ConnectionResetError):
            await server.recv(1)
        await server.close()

    curio.run(main)


def test_connection_that_the_other_side_has_reset_can_be_reset():
    """What both sides give up at once raises nothing."""

    async def main():
        client, server = await connected()
        await reset(server)
        await reset(client)

    curio.run(main)
