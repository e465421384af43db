"""View of the owners for the other parts of a process."""

from siskinthread.configuration._reading import Condition


class OwnershipView:
    """Owners of the groups at the last read.

    Attributes
    ----------
    condition : Condition or None
        Condition of the stream at the last answer of the log; None before the first.

    Notes
    -----
    During an outage of the log the last owners stay.  The view may be stale; therefore
    orders carry the fencing number, and the gates of the ranks refuse outdated ones.
    """

    __slots__ = ("_listeners", "_owners", "condition")

    def __init__(self):
        self._owners = {}
        self._listeners = []
        self.condition = None

    def owner(self, group):
        """Return the `Owner` of a group or None."""
        return self._owners.get(group)

    def fencing(self, group):
        """Return the fencing number of a group's owner, or None without owner."""
        owner = self._owners.get(group)
        return None if owner is None else owner.fencing

    def is_following(self):
        """Return whether the stream could be followed at the log's last answer."""
        return self.condition is Condition.GOOD

    def listen(self, callback):
        """Call `callback(group, owner)` after each change; `owner` may be None."""
        self._listeners.append(callback)

    def replace(self, owners):
        """Replace the owners by a dict of group to `Owner`; call the listeners."""
        before, self._owners = self._owners, dict(owners)
        for group in sorted(before.keys() | self._owners.keys()):
            owner = self._owners.get(group)
            if owner != before.get(group):
                for callback in self._listeners:
                    callback(group, owner)
