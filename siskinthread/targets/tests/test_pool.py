"""What a target receives from connections that are given up."""

import curio
import pytest

from siskinthread.settings import Address
from siskinthread.targets import TargetSettings
from siskinthread.targets._pool import ConnectionPool
from siskinthread.timing import SYSTEM_CLOCK


def test_connection_of_an_incomplete_exchange_is_reset():
    """A target runs a request long after its agent has given it up.

    The agent closes the connection while the request is delayed in transit, and the
    kernel continues to send it.  A reset discards what has not arrived.
    """

    async def main():
        listening = curio.tcp_server_socket("127.0.0.1", 0)
        async with listening:
            address = Address(*listening.getsockname())
            settings = TargetSettings(kind="plain", address=address)
            pool = ConnectionPool(settings, SYSTEM_CLOCK)
            connection = await pool.acquire(idempotent=True)
            target, _ = await listening.accept()
            await pool.discard(connection)
            with pytest.raises(ConnectionResetError):
                await target.recv(1)
            await target.close()

    curio.run(main)
