"""What the rest of a process sees of the ownership."""

from siskinthread.configuration._reading import Condition


class OwnershipView:
    """Owners of the groups as of the last read.

    Attributes
    ----------
    condition : Condition or None
        Whether the stream could be followed at the last answer; None before the first.

    Notes
    -----
    In an outage the last owners stay.  What is read here may have passed: orders carry
    the fencing number, and the gates refuse old ones.
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
        """Return the fencing number in force of a group, or None without owner."""
        owner = self._owners.get(group)
        return None if owner is None else owner.fencing

    def followed(self):
        """Return whether the last answer of the log could be followed."""
        return self.condition is Condition.GOOD

    def listen(self, callback):
        """Call `callback(group, owner)` after each change; `owner` may be None."""
        self._listeners.append(callback)

    def replace(self, owners):
        """Take in the owners of the fold, a dict of group to `Owner`."""
        before, self._owners = self._owners, dict(owners)
        for group in sorted(before.keys() | self._owners.keys()):
            owner = self._owners.get(group)
            if owner != before.get(group):
                for callback in self._listeners:
                    callback(group, owner)
