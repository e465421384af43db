"""Counts the bytes that a process moves over its sockets, by the service beyond."""

import collections

from curio.io import Socket

PEERS = "peers"


class ByteCounts:
    """Bytes in both directions over all sockets of the process.

    Parameters
    ----------
    services : dict of int to str
        Name of a service by its TCP port; every other port is a peer's.

    Attributes
    ----------
    sent_bytes, received_bytes : collections.Counter
        Payload bytes by service.

    Notes
    -----
    It replaces two methods of curio's sockets for the whole process, so it belongs in a
    process that only measures.
    """

    def __init__(self, services):
        self._services = services
        self.sent_bytes = collections.Counter()
        self.received_bytes = collections.Counter()

    def install(self):
        """Count from now on."""
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
        """Return the dict of bytes in both directions by service."""
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
