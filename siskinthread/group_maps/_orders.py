"""What a rank of a group reports, and the orders it takes."""

import enum


class RankReport:
    """State of a rank, some hundred milliseconds old.

    Parameters
    ----------
    group_name : str
        Group that the rank belongs to.
    epoch : int
        Rises each time the group forms anew, with the first map and no change.
    rank : int
        Number of the rank.
    size : int
        Ranks of the group.
    is_open : bool
        Whether the group runs.
    pass_number : int
        The pass that was begun last.
    map_version : int
        Version of the map in force.
    prepared_version : int or None
        Version whose experts have been copied.
    armed : ArmedMap or None
        The change that is to come into force.
    held_pass : int or None
        The pass that the group must not begin.
    running : int
        Requests that the rank runs.
    slowness : float
        Time that the rank takes for the same work, relative to the usual.
    started_unix_ms : int or None
        When the rank started; None if it does not say.  Epochs and versions begin anew
        when all ranks have started anew.
    """

    __slots__ = (
        "armed",
        "epoch",
        "group_name",
        "held_pass",
        "is_open",
        "map_version",
        "pass_number",
        "prepared_version",
        "rank",
        "running",
        "size",
        "slowness",
        "started_unix_ms",
    )

    def __init__(
        self,
        group_name,
        epoch,
        rank,
        size,
        is_open,
        pass_number,
        map_version,
        prepared_version,
        armed,
        held_pass,
        running=0,
        slowness=1.0,
        started_unix_ms=None,
    ):
        self.group_name = group_name
        self.epoch = epoch
        self.rank = rank
        self.size = size
        self.is_open = is_open
        self.pass_number = pass_number
        self.map_version = map_version
        self.prepared_version = prepared_version
        self.armed = armed
        self.held_pass = held_pass
        self.running = running
        self.slowness = slowness
        self.started_unix_ms = started_unix_ms


class ArmedMap:
    """A change that comes into force with a pass.

    Parameters
    ----------
    version : int
        Version of the map.
    pass_number : int or None
        The pass; None if the rank does not tell.
    """

    __slots__ = ("pass_number", "version")

    def __init__(self, version, pass_number):
        self.version = version
        self.pass_number = pass_number


class RankCounts:
    """How often a rank's requests have chosen each expert since it started.

    Parameters
    ----------
    epoch : int
        Epoch of the group.
    pass_number : int
        The pass at which it was counted.
    counts_by_set : list of list of int
        Counts by set and expert.
    started_unix_ms : int or None
        When the rank started; None if it does not say.
    """

    __slots__ = ("counts_by_set", "epoch", "pass_number", "started_unix_ms")

    def __init__(self, epoch, pass_number, counts_by_set, started_unix_ms=None):
        self.epoch = epoch
        self.pass_number = pass_number
        self.counts_by_set = counts_by_set
        self.started_unix_ms = started_unix_ms

    def continues(self, earlier):
        """Return whether these counts go on from earlier ones of the same rank."""
        return (self.epoch, self.started_unix_ms) == (
            earlier.epoch,
            earlier.started_unix_ms,
        )


class HeldExperts:
    """The experts that a rank holds under the map in force.

    Parameters
    ----------
    epoch : int
        Epoch of the group.
    map_version : int
        Version of the map.
    experts_by_set : list of tuple of int
        Experts by set.
    """

    __slots__ = ("epoch", "experts_by_set", "map_version")

    def __init__(self, epoch, map_version, experts_by_set):
        self.epoch = epoch
        self.map_version = map_version
        self.experts_by_set = experts_by_set


class Prepare:
    """Copy the experts that a map newly gives to the rank.

    Parameters
    ----------
    epoch : int
        Epoch of the group.
    group_map : GroupMap
        The map.
    """

    __slots__ = ("epoch", "group_map")

    def __init__(self, epoch, group_map):
        self.epoch = epoch
        self.group_map = group_map


class Hold:
    """Don't let the group begin a pass.

    Parameters
    ----------
    epoch, pass_number : int
        Epoch of the group, and the pass.
    """

    __slots__ = ("epoch", "pass_number")

    def __init__(self, epoch, pass_number):
        self.epoch = epoch
        self.pass_number = pass_number


class Arm:
    """Switch to a prepared map as a pass begins.

    Parameters
    ----------
    epoch, version, pass_number : int
        Epoch of the group, version of the map, and the pass.
    """

    __slots__ = ("epoch", "pass_number", "version")

    def __init__(self, epoch, version, pass_number):
        self.epoch = epoch
        self.version = version
        self.pass_number = pass_number


class Disarm:
    """Don't switch to an armed map.

    Parameters
    ----------
    epoch, version : int
        Epoch of the group, and version of the map.
    """

    __slots__ = ("epoch", "version")

    def __init__(self, epoch, version):
        self.epoch = epoch
        self.version = version


class Release:
    """Let the group begin a held pass.

    Parameters
    ----------
    epoch, pass_number : int
        Epoch of the group, and the pass.
    """

    __slots__ = ("epoch", "pass_number")

    def __init__(self, epoch, pass_number):
        self.epoch = epoch
        self.pass_number = pass_number


class OrderResult(enum.Enum):
    """What became of an order."""

    # It is done, or has begun.
    TAKEN = "taken"
    # It does not fit the state of the rank, and nothing was done.
    REFUSED = "refused"
    # No answer; it may have been done, or be done seconds later.
    UNKNOWN = "unknown"
