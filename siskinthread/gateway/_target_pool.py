"""Pool of connections to targets that are kept for reuse."""

from siskinthread.gateway._idle_connections import IdleConnections
from siskinthread.gateway._target_connection import TargetConnection


class TargetPool:
    """Opens connections to targets, and keeps idle ones for reuse.

    Parameters
    ----------
    settings : GatewaySettings
        Limits.
    clock : siskinthread.timing.Clock
        Clock of idle times and send rates.
    measures : Measures
        Counts connections that are opened and reused.

    Attributes
    ----------
    idle : IdleConnections
        The idle connections.
    """

    __slots__ = ("_clock", "_measures", "_settings", "idle")

    def __init__(self, settings, clock, measures):
        self._settings = settings
        self._clock = clock
        self._measures = measures
        self.idle = IdleConnections(settings)

    async def take(self, entry, may_reuse, deadline):
        """Return a connection to a target.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        may_reuse : bool
            Whether a kept connection may be used.  A target may close it while a
            request is written, and then it is unknown whether the request ran; so a
            request that must not run twice needs a new connection.
        deadline : siskinthread.timing.Deadline
            When to give up.

        Raises
        ------
        ConnectionLostError
            If the target can't be reached; nothing was sent.
        """
        if may_reuse:
            connection = self.idle.take(entry.instance_id)
            if connection is not None:
                connection.end_idle()
                self._measures.connection_taken("kept")
                return connection
        connection = TargetConnection(self._settings, self._clock)
        await connection.open(entry.host, entry.port, deadline)
        self._measures.connection_taken("new")
        return connection

    async def give_back(self, entry, connection, keep_alive_s):
        """Keep a connection after a complete answer, or close it.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        connection : TargetConnection
            The connection.
        keep_alive_s : float or None
            Keep-alive time-out that the target states, seconds.
        """
        has_room = self.idle.has_room(entry.instance_id) and not entry.is_leaving
        if has_room and await connection.make_idle(keep_alive_s):
            await self._close(self.idle.add(entry.instance_id, connection))
        else:
            await connection.close()

    async def sweep(self, known_ids):
        """Close connections that can't be reused or lead to unknown targets.

        Parameters
        ----------
        known_ids : set of str
            Instance ids of the targets that may get requests.
        """
        await self._close(self.idle.drop_unusable(known_ids))

    async def _close(self, connections):
        for connection in connections:
            await connection.close()
