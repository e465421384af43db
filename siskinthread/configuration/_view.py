"""View of the configuration in force, shared with the rest of the process."""


class ConfigurationView:
    """Holds the newest state; its version never decreases.

    Attributes
    ----------
    state : State or None
        State in force; None until one is known.
    confirmed_at_ms : int or None
        Wall-clock time of this host at which the state was last known to be the newest
        in the log, in Unix milliseconds; None before.  It doesn't advance during an
        outage.
    """

    __slots__ = ("_listeners", "confirmed_at_ms", "state")

    def __init__(self):
        self.state = None
        self.confirmed_at_ms = None
        self._listeners = []

    def listen(self, callback):
        """Call `callback(state)` after each change."""
        self._listeners.append(callback)

    def confirm(self, at_ms):
        """Record a time at which the state was the newest in the log.

        Parameters
        ----------
        at_ms : int
            Unix milliseconds; ignored if earlier than `confirmed_at_ms`.
        """
        if self.confirmed_at_ms is None or at_ms > self.confirmed_at_ms:
            self.confirmed_at_ms = at_ms

    def advance(self, state):
        """Put a newer state in force; an older or equal one is ignored.

        Returns
        -------
        bool
            Whether the state was put in force.
        """
        if self.state is not None and state.version <= self.state.version:
            return False
        self.state = state
        for callback in self._listeners:
            callback(state)
        return True
