"""Reports of a rank of a group, and the orders that a rank accepts."""

import enum


class RankReport:
    """State of a rank, some hundred milliseconds old when it is received.

    Parameters
    ----------
    group_name : str
        Name of the rank's group.
    epoch : int
        Increases each time the group re-forms, which resets the map to the first one
        and drops any change under way.
    rank : int
        Number of the rank.
    size : int
        Number of ranks of the group.
    is_open : bool
        Whether the group runs passes.
    pass_number : int
        Number of the pass that was started last.
    map_version : int
        Version of the map in force.
    prepared_version : int or None
        Version of the map whose experts the rank has copied; None without one.
    armed : ArmedMap or None
        The map that the rank will switch to; None without one.
    held_pass : int or None
        Number of the pass that the group must not start; None without a hold.
    running : int
        Number of requests that the rank runs.
    slowness : float
        Time of the rank for the same work, relative to a rank of normal speed.
    started_unix_ms : int or None
        Start time of the rank, Unix milliseconds; None if not reported.  Epochs and
        versions restart from their first values when all ranks have restarted.
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
    """A map that a rank switches to at the start of a pass.

    Parameters
    ----------
    version : int
        Version of the map.
    pass_number : int or None
        Number of the pass; None if the rank does not report it.
    """

    __slots__ = ("pass_number", "version")

    def __init__(self, version, pass_number):
        self.version = version
        self.pass_number = pass_number


class RankCounts:
    """How often a rank's requests have selected each expert since the rank started.

    Parameters
    ----------
    epoch : int
        Epoch of the group.
    pass_number : int
        Number of the pass at which the counts were taken.
    counts_by_set : list of list of int
        Counts, indexed by set and expert.
    started_unix_ms : int or None
        Start time of the rank, Unix milliseconds; None if not reported.
    """

    __slots__ = ("counts_by_set", "epoch", "pass_number", "started_unix_ms")

    def __init__(self, epoch, pass_number, counts_by_set, started_unix_ms=None):
        self.epoch = epoch
        self.pass_number = pass_number
        self.counts_by_set = counts_by_set
        self.started_unix_ms = started_unix_ms

    def continues(self, earlier):
        """Return whether these counts continue earlier counts of the same rank."""
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
        Experts that the rank holds, indexed by set.
    """

    __slots__ = ("epoch", "experts_by_set", "map_version")

    def __init__(self, epoch, map_version, experts_by_set):
        self.epoch = epoch
        self.map_version = map_version
        self.experts_by_set = experts_by_set


class Prepare:
    """Copy the experts that a map newly assigns to the rank.

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
    """Keep the group from starting a pass.

    Parameters
    ----------
    epoch, pass_number : int
        Epoch of the group, and number of the pass.
    """

    __slots__ = ("epoch", "pass_number")

    def __init__(self, epoch, pass_number):
        self.epoch = epoch
        self.pass_number = pass_number


class Arm:
    """Switch to a prepared map at the start of a pass.

    Parameters
    ----------
    epoch, version, pass_number : int
        Epoch of the group, version of the map, and number of the pass.
    """

    __slots__ = ("epoch", "pass_number", "version")

    def __init__(self, epoch, version, pass_number):
        self.epoch = epoch
        self.version = version
        self.pass_number = pass_number


class Disarm:
    """Cancel the switch to an armed map.

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
    """Let the group start a held pass.

    Parameters
    ----------
    epoch, pass_number : int
        Epoch of the group, and number of the pass.
    """

    __slots__ = ("epoch", "pass_number")

    def __init__(self, epoch, pass_number):
        self.epoch = epoch
        self.pass_number = pass_number


class OrderResult(enum.Enum):
    """Result of an order."""

    # The rank has carried out the order, or has started to.
    TAKEN = "taken"
    # The order does not fit the state of the rank, and nothing was done.
    REFUSED = "refused"
    # No response; the order may have been carried out, or may still be carried out
    # seconds later.
    UNKNOWN = "unknown"
