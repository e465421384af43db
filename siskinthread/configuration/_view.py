"""What the rest of a process sees of the configuration."""


class ConfigurationView:
    """Holds the newest state; its version only rises.

    Attributes
    ----------
    state : State or None
        The state in force; None until one is known.
    """

    __slots__ = ("_listeners", "state")

    def __init__(self):
        self.state = None
        self._listeners = []

    def listen(self, callback):
        """Call `callback(state)` after each change."""
        self._listeners.append(callback)

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
