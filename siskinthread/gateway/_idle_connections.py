"""Idle connections to targets: their number and their time-out."""


def idle_time_limit_s(settings, stated_s):
    """Return how long an idle connection may be kept for reuse, seconds.

    Parameters
    ----------
    settings : GatewaySettings
        Limits.
    stated_s : float or None
        Keep-alive time-out that the target states, seconds.
    """
    if stated_s is None:
        return settings.reuse_limit_s
    # The target's time-out starts on its side.  Half of it avoids sending a request
    # while the target closes the connection.
    return min(settings.connections.stated_reuse_limit_s, stated_s / 2)


class IdleConnections:
    """Idle connections by target, bounded in number.

    Parameters
    ----------
    settings : GatewaySettings
        Limits.

    Notes
    -----
    This class does not open or close connections: its methods return the connections
    that the calling code must close.  ``is_reusable()`` of a connection returns whether
    it may carry another request.
    """

    __slots__ = ("_by_target", "_settings", "_target_of")

    def __init__(self, settings):
        self._settings = settings
        self._by_target = {}
        # Instance id by connection, the longest idle connection first.
        self._target_of = {}

    def __len__(self):
        return len(self._target_of)

    def has_reusable(self, instance_id):
        """Return whether a reusable connection to a target exists."""
        idle = self._by_target.get(instance_id, ())
        return any(connection.is_reusable() for connection in reversed(idle))

    def has_room(self, instance_id):
        """Return whether one more connection to a target may be kept."""
        limit = self._settings.idle_connections_limit
        has_any = self._settings.connections.idle_total_limit > 0
        return has_any and len(self._by_target.get(instance_id, ())) < limit

    def add(self, instance_id, connection):
        """Keep a connection; return the oldest ones beyond the total limit."""
        self._by_target.setdefault(instance_id, []).append(connection)
        self._target_of[connection] = instance_id
        surplus = []
        while len(self) > self._settings.connections.idle_total_limit:
            oldest = next(iter(self._target_of))
            self._remove(oldest)
            surplus.append(oldest)
        return surplus

    def take(self, instance_id):
        """Remove and return the newest reusable connection to a target, or None.

        Other connections are left to `drop_unusable`, so that no request waits until
        they are closed.
        """
        for connection in reversed(self._by_target.get(instance_id, ())):
            if connection.is_reusable():
                self._remove(connection)
                return connection
        return None

    def drop_unusable(self, known_ids):
        """Remove and return connections that are unusable or lead to unknown targets.

        Parameters
        ----------
        known_ids : set of str
            Instance ids of the targets that may get requests.
        """
        dropped = [
            connection
            for connection, instance_id in self._target_of.items()
            if instance_id not in known_ids or not connection.is_reusable()
        ]
        for connection in dropped:
            self._remove(connection)
        return dropped

    def _remove(self, connection):
        instance_id = self._target_of.pop(connection)
        idle = self._by_target[instance_id]
        idle.remove(connection)
        if not idle:
            del self._by_target[instance_id]
