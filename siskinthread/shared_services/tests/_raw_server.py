"""A scripted server for invalid answers and failures."""

import curio
from curio.network import run_server

from siskinthread.settings import Address
from siskinthread.shared_services import PlatformSettings

HEAD_END = b"\r\n\r\n"


class RawServer:
    """Accepts connections and passes each one to a function.

    Parameters
    ----------
    serve_connection : callable
        ``async serve_connection(client, number)``; numbers start at 1.
    """

    def __init__(self, serve_connection):
        self._serve_connection = serve_connection
        self._listener = curio.tcp_server_socket("127.0.0.1", 0)
        self._task = None
        self.connections = 0
        self.address = Address(*self._listener.getsockname())

    async def __aenter__(self):
        self._task = await curio.spawn(run_server, self._listener, self._serve)
        return self

    async def __aexit__(self, *exception):
        await self._task.cancel()

    async def _serve(self, client, address):
        self.connections += 1
        await self._serve_connection(client, self.connections)


async def read_head(client):
    """Read one request without a body and return its bytes."""
    data = b""
    while HEAD_END not in data:
        received = await client.recv(4096)
        if not received:
            break
        data += received
    return data


def json_answer(body):
    """Return a complete HTTP response with a body."""
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


def settings_for(address, **values):
    """Return settings with one address for all services of the platform."""
    return PlatformSettings(log=address, host_list=address, **values)
