"""Assignment of experts to the slots of the ranks."""

import numpy as np

from siskinthread.errors import InvariantError


class ExpertMap:
    """An immutable expert map of one layer.

    Parameters
    ----------
    slots : numpy.ndarray
        Shape (ranks, slots per rank); the expert in each slot.
    expert_count : int
        Number of experts; each must have a slot.
    version : int
        Version of the map, which increases with each change.

    Attributes
    ----------
    replica_counts : numpy.ndarray
        Shape (experts,); number of slots of each expert.

    Raises
    ------
    InvariantError
        If an expert has no slot, since tokens routed to it could not be processed, or
        if a slot holds an unknown expert.
    """

    __slots__ = ("expert_count", "replica_counts", "slots", "version")

    def __init__(self, slots, expert_count, version=0):
        self.slots = np.array(slots, dtype=np.int32)
        self.slots.flags.writeable = False
        self.expert_count = expert_count
        self.version = version
        self.replica_counts = np.bincount(self.slots.ravel(), minlength=expert_count)
        if len(self.replica_counts) > expert_count or not self.replica_counts.all():
            raise InvariantError("an expert map must hold every expert, and no other")

    @classmethod
    def round_robin(cls, rank_count, slots_per_rank, expert_count):
        """Return the map that assigns the experts to the slots round robin."""
        slots = np.arange(rank_count * slots_per_rank) % expert_count
        return cls(slots.reshape(rank_count, slots_per_rank), expert_count)

    @property
    def rank_count(self):
        """Number of ranks."""
        return self.slots.shape[0]

    def rank_loads(self, expert_loads):
        """Return the load of each rank if replicas share an expert's load evenly.

        Parameters
        ----------
        expert_loads : numpy.ndarray
            Shape (experts,); tokens of each expert in an interval.

        Returns
        -------
        numpy.ndarray
            Shape (ranks,); tokens of each rank.
        """
        return (expert_loads / self.replica_counts)[self.slots].sum(axis=1)

    def skew(self, expert_loads, slowness=1.0):
        """Return the step-time skew: slowest over mean rank.

        Parameters
        ----------
        expert_loads : numpy.ndarray
            Shape (experts,); tokens of each expert.
        slowness : numpy.ndarray or float
            Relative time of each rank per token.
        """
        times = self.rank_loads(expert_loads) * slowness
        return float(times.max() / times.mean())

    def moves_to(self, other):
        """Return the number of expert loads on ranks to reach another map."""
        moves = 0
        for own_rank, other_rank in zip(self.slots, other.slots, strict=True):
            moves += len(set(other_rank.tolist()) - set(own_rank.tolist()))
        return moves
