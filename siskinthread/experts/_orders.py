"""Messages between a group's controller and the gates of its ranks.

Every order carries an `OrderNumber`.  A gate refuses an order whose number is below the
highest number that it has received, so that delayed and repeated orders, and orders of
a superseded controller, have no effect.
"""

import functools


@functools.total_ordering
class OrderNumber:
    """Fencing number of a controller and sequence number of its order.

    Parameters
    ----------
    fencing : int
        Offset of the controller's claim in the log.
    sequence : int
        Increases by two with each broadcast of the controller.  The number between is
        reserved for the gate, which uses it to release an expired hold.
    """

    __slots__ = ("fencing", "sequence")

    def __init__(self, fencing, sequence):
        self.fencing = fencing
        self.sequence = sequence

    def successor(self):
        """Return the next number."""
        return OrderNumber(self.fencing, self.sequence + 1)

    def __eq__(self, other):
        return self._key() == other._key()

    def __lt__(self, other):
        return self._key() < other._key()

    def __hash__(self):
        return hash(self._key())

    def __repr__(self):
        return f"OrderNumber({self.fencing}, {self.sequence})"

    def _key(self):
        return self.fencing, self.sequence


class Order:
    """Base class of the orders.

    Parameters
    ----------
    number : OrderNumber
        Number of the order among all orders to the group.
    version : int or None
        Version of the map to which the order applies.
    """

    __slots__ = ("number", "version")

    def __init__(self, number, version=None):
        self.number = number
        self.version = version

    def __repr__(self):
        return f"{type(self).__name__}({self.number}, {self.version})"


class Promise(Order):
    """Promise to refuse all lower numbers from now on, and reply the rank's state."""

    __slots__ = ()


class Stage(Order):
    """Load the weights of a map in addition to those of the map in force."""

    __slots__ = ("expert_map",)

    def __init__(self, number, version, expert_map):
        super().__init__(number, version)
        self.expert_map = expert_map


class Hold(Order):
    """Stop at the next step boundary."""

    __slots__ = ()


class Switch(Order):
    """Put the staged map in force; refused unless the rank is held."""

    __slots__ = ()


class Release(Order):
    """Continue stepping; refused unless the map of `version` is in force."""

    __slots__ = ()


class RankState:
    """State of a rank as reported by its engine.

    Parameters
    ----------
    version : int or None
        Version of the map in force; None on a rank that was just started.
    staged_version : int or None
        Version of the staged map.
    held : bool
        Whether the rank is held at a step boundary.
    """

    __slots__ = ("held", "staged_version", "version")

    def __init__(self, version, staged_version, held):
        self.version = version
        self.staged_version = staged_version
        self.held = held


class Done:
    """Reply that the order took effect.

    Parameters
    ----------
    state : RankState
        State of the rank after the order.
    """

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state


class Refused:
    """Reply that the order had no effect and will have none.

    Parameters
    ----------
    highest : OrderNumber
        Highest number that the gate has received.
    """

    __slots__ = ("highest",)

    def __init__(self, highest):
        self.highest = highest
