"""Connections to targets that are kept for further requests."""

from siskinthread.gateway._target_connection import TargetConnection


class TargetPool:
    """Opens connections to targets and keeps some of them.

    Parameters
    ----------
    settings : GatewaySettings
        Limits.
    clock : siskinthread.timing.Clock
        Clock of the rests.
    """

    __slots__ = ("_clock", "_idle", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._idle = {}

    async def take(self, entry, may_reuse, deadline):
        """Return a connection to a target.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        may_reuse : bool
            Whether a kept connection will do.  A target may close one at the very
            moment at which a request is written to it; nobody knows then whether it
            ran, so a request that must not run twice gets a new connection.
        deadline : siskinthread.timing.Deadline
            When to give up.

        Raises
        ------
        ConnectionLostError
            If the target can't be reached; nothing was sent.
        """
        idle = self._idle.get(entry.instance_id, []) if may_reuse else []
        while idle:
            connection = idle.pop()
            if connection.is_fresh():
                connection.end_rest()
                return connection
            await connection.close()
        connection = TargetConnection(self._settings, self._clock)
        await connection.open(entry.host, entry.port, deadline)
        return connection

    async def give_back(self, entry, connection, rest_limit_s):
        """Keep a connection after a whole answer, or close it.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        connection : TargetConnection
            The connection.
        rest_limit_s : float or None
            How long the target keeps it, seconds.
        """
        idle = self._idle.setdefault(entry.instance_id, [])
        has_room = len(idle) < self._settings.idle_connections_limit
        if has_room and not entry.is_leaving and await connection.rest(rest_limit_s):
            idle.append(connection)
        else:
            await connection.close()

    async def forget(self, instance_id):
        """Close the kept connections to a target."""
        for connection in self._idle.pop(instance_id, []):
            await connection.close()

    async def sweep(self, known_ids):
        """Close what has rested too long, and all to targets that are not known."""
        for instance_id in list(self._idle):
            if instance_id not in known_ids:
                await self.forget(instance_id)
                continue
            idle = self._idle[instance_id]
            stale = [connection for connection in idle if not connection.is_fresh()]
            for connection in stale:
                idle.remove(connection)
                await connection.close()
