"""Persistent connections to one target."""

import socket

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.targets._connection import TargetConnection

# Interval of the checks for silent connections, as a share of the silence limit.
WATCH_INTERVAL_SHARE = 0.25


class ConnectionPool:
    """Opens connections to one target and keeps some of them for reuse.

    Parameters
    ----------
    settings : TargetSettings
        Address and limits.
    clock : Clock
        Clock of the ages.
    """

    __slots__ = ("_clock", "_idle", "_in_use", "_settings", "_is_watching")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._idle = []
        self._in_use = set()
        self._is_watching = False

    async def acquire(self, idempotent):
        """Return a connection, preferably the idle one that was used last.

        Parameters
        ----------
        idempotent : bool
            Whether the request may be repeated; otherwise only a connection that was
            used recently is reused.

        Raises
        ------
        ConnectionLostError
            If the target can't be reached; nothing was sent.
        """
        connection = await self._acquire_idle(idempotent) or await self._open()
        self._in_use.add(connection)
        if not self._is_watching:
            self._is_watching = True
            await curio.spawn(self._watch, daemon=True)
        return connection

    async def _acquire_idle(self, idempotent):
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(idempotent):
                return connection
            await connection.close()
        return None

    async def _watch(self):
        """Shut down silent connections as long as any are in use."""
        while self._in_use:
            await curio.sleep(self._settings.silence_limit_s * WATCH_INTERVAL_SHARE)
            for connection in list(self._in_use):
                deadline = connection.silence_deadline
                if deadline is not None and deadline.passed():
                    await connection.shut_down()
        self._is_watching = False

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
        return TargetConnection(opened, self._settings, self._clock)

    async def release(self, connection):
        """Return a connection to the pool after an exchange, or close it."""
        self._in_use.discard(connection)
        has_room = len(self._idle) < self._settings.idle_connections_limit
        if has_room and connection.prepare_reuse():
            self._idle.append(connection)
        else:
            await connection.close()

    async def discard(self, connection):
        """Reset a connection whose exchange was not completed."""
        self._in_use.discard(connection)
        await connection.abort()

    async def close(self):
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()
