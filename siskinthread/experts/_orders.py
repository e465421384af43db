"""Messages between a group's controller and the gates of its ranks.

Every order carries an `OrderNumber`.  A gate refuses an order whose number is below the
highest that it has seen, so that late and repeated orders, and those of a superseded
controller, change nothing.
"""

import functools


@functools.total_ordering
class OrderNumber:
    """Fencing number of a controller, and the count of its orders.

    Parameters
    ----------
    fencing : int
        Offset of the controller's claim in the log.
    sequence : int
        Rises by two with each broadcast of that controller; the number between is the
        gate's own, for the release of a hold that lapsed.
    """

    __slots__ = ("fencing", "sequence")

    def __init__(self, fencing, sequence):
        self.fencing = fencing
        self.sequence = sequence

    def following(self):
        """Return the next number."""
        return OrderNumber(self.fencing, self.sequence + 1)

    def __eq__(self, other):
        return self._pair() == other._pair()

    def __lt__(self, other):
        return self._pair() < other._pair()

    def __hash__(self):
        return hash(self._pair())

    def __repr__(self):
        return f"OrderNumber({self.fencing}, {self.sequence})"

    def _pair(self):
        return self.fencing, self.sequence


class Order:
    """Base of the orders.

    Parameters
    ----------
    number : OrderNumber
        Place among all orders to the group.
    version : int or None
        Map version that the order is about.
    """

    __slots__ = ("number", "version")

    def __init__(self, number, version=None):
        self.number = number
        self.version = version

    def __repr__(self):
        return f"{type(self).__name__}({self.number}, {self.version})"


class Promise(Order):
    """Refuse every lower number from now on, and say the rank's state."""

    __slots__ = ()


class Stage(Order):
    """Load the weights of a map beside the one in force."""

    __slots__ = ("expert_map",)

    def __init__(self, number, version, expert_map):
        super().__init__(number, version)
        self.expert_map = expert_map


class Hold(Order):
    """Stop at the next step boundary."""

    __slots__ = ()


class Switch(Order):
    """Put the staged map in force; only while held."""

    __slots__ = ()


class Release(Order):
    """Go on stepping, with the map of `version` in force."""

    __slots__ = ()


class RankState:
    """What a rank's engine says of itself.

    Parameters
    ----------
    version : int or None
        Map in force; None on a rank that has just been started.
    staged_version : int or None
        Map loaded beside it.
    held : bool
        Whether the rank waits at a step boundary.
    """

    __slots__ = ("held", "staged_version", "version")

    def __init__(self, version, staged_version, held):
        self.version = version
        self.staged_version = staged_version
        self.held = held


class Done:
    """Reply: the order took effect.

    Parameters
    ----------
    state : RankState
        The rank after the order.
    """

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state


class Refused:
    """Reply: the order took no effect and won't.

    Parameters
    ----------
    highest : OrderNumber
        Highest number that the gate has seen.
    """

    __slots__ = ("highest",)

    def __init__(self, highest):
        self.highest = highest
