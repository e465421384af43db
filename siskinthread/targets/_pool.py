"""Kept-alive connections to one target."""

import socket

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.targets._connection import TargetConnection


class ConnectionPool:
    """Opens connections to one target and keeps some of them for reuse.

    Parameters
    ----------
    settings : TargetSettings
        Address and limits.
    clock : Clock
        Clock of the ages.
    """

    __slots__ = ("_clock", "_idle", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._idle = []

    async def take(self, idempotent):
        """Return a connection, the one used last if it is still good.

        Parameters
        ----------
        idempotent : bool
            Whether the request may be repeated; else only a fresh one is reused.

        Raises
        ------
        ConnectionLostError
            If the target can't be reached; nothing was sent.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(idempotent):
                return connection
            await connection.close()
        return await self._open()

    async def _open(self):
        address = self._settings.address
        try:
            opened = await curio.timeout_after(
                self._settings.connect_wait_s,
                curio.open_connection,
                address.host,
                address.port,
            )
        except (OSError, curio.TaskTimeout) as error:
            raise ConnectionLostError(f"can't reach {address}: {error!r}") from error
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return TargetConnection(opened, self._settings)

    async def give_back(self, connection):
        """Take a connection back after an exchange, or close it."""
        room = len(self._idle) < self._settings.idle_connections_limit
        if room and connection.make_idle(self._clock):
            self._idle.append(connection)
        else:
            await connection.close()

    async def close(self):
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()
