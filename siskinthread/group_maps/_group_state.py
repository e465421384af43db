"""State of a group that outlives its controller."""

from siskinthread.group_maps._demand import Demand


class GroupState:
    """State that a controller of a group passes on to the next one in this process.

    A controller ends when a rank is replaced or a share moves.  Without this state, the
    next controller had to sample the demand first, and chose map versions below
    versions that some ranks had already received, which they refuse.  This cost 0.6 s
    after a crash.

    Parameters
    ----------
    settings : GroupMapSettings
        Smoothing of the demand estimate.

    Attributes
    ----------
    demand : Demand
        Estimate of the demand.
    version_floor : int
        Highest version that must not be used for a map any more.
    epoch : int or None
        Last known epoch of the group.
    """

    __slots__ = ("demand", "epoch", "version_floor")

    def __init__(self, settings):
        self.demand = Demand(settings)
        self.version_floor = 0
        self.epoch = None

    def note_epoch(self, epoch):
        """Record the epoch of the group; return whether it has re-formed since."""
        has_reformed = self.epoch not in (None, epoch)
        self.epoch = epoch
        return has_reformed
