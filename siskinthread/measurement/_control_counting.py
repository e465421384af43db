"""Counts of the bytes that a process sends and receives, by remote service."""

import collections

from curio.io import Socket

PEERS = "peers"


class ByteCounts:
    """Counts of the bytes over all sockets of the process, by remote service.

    Parameters
    ----------
    services : dict of int to str
        Name of each service by its TCP port; any other port belongs to a peer.

    Attributes
    ----------
    sent_bytes, received_bytes : collections.Counter
        Payload bytes by service.

    Notes
    -----
    `install` replaces two methods of the socket class of curio for the whole process,
    so it is for processes that only measure.
    """

    def __init__(self, services):
        self._services = services
        self.sent_bytes = collections.Counter()
        self.received_bytes = collections.Counter()

    def install(self):
        """Start to count."""
        receive, send_all = Socket.recv, Socket.sendall

        async def counted_receive(socket, *arguments):
            data = await receive(socket, *arguments)
            self.received_bytes[self._service(socket)] += len(data)
            return data

        async def counted_send_all(socket, data, *arguments):
            self.sent_bytes[self._service(socket)] += len(data)
            return await send_all(socket, data, *arguments)

        Socket.recv = counted_receive
        Socket.sendall = counted_send_all

    def total(self):
        """Return a dict of the sum of bytes in both directions, by service."""
        return dict(self.sent_bytes + self.received_bytes)

    def _service(self, socket):
        service = getattr(socket, "service_name", None)
        if service is None:
            try:
                port = socket.getpeername()[1]
            except OSError:
                return PEERS
            service = socket.service_name = self._services.get(port, PEERS)
        return service
