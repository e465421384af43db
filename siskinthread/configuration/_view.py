"""What the rest of a process sees of the configuration."""


class ConfigurationView:
    """Holds the newest state; its version only rises.

    Attributes
    ----------
    state : State or None
        The state in force; None until one is known.
    confirmed_at_ms : int or None
        This host's wall clock when the log was last known to hold nothing newer, Unix
        milliseconds; None before.  It stands still in an outage.
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
        """Note that at a time nothing newer than the state existed."""
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
