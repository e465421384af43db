"""Targets that are so slow that they delay the other ranks of their group."""

from siskinthread.timing import Deadline


class SlowTargets:
    """Slow targets, as this entry or a peer has learnt from the ranks of groups.

    Parameters
    ----------
    settings : GatewaySettings
        How long a statement about slow targets is valid.
    clock : siskinthread.timing.Clock
        Clock for deadlines.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Slow targets that other entries have learnt of.
    """

    __slots__ = ("_clock", "_own", "_settings", "peers")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        # Instance ids and their expiry, by group.
        self._own = {}
        self.peers = None

    def note(self, group, instance_ids):
        """Replace the slow targets of a group."""
        expiry = Deadline.after(self._clock, self._settings.slow_memory_s)
        self._own[group] = list(instance_ids), expiry

    def own_ids(self):
        """Return the slow targets that this entry itself has learnt of, sorted."""
        return sorted(
            instance_id
            for instance_ids, expiry in self._own.values()
            if not expiry.passed()
            for instance_id in instance_ids
        )

    def is_slow(self, instance_id):
        """Return whether a target is slow according to any entry."""
        return instance_id in self.ids()

    def ids(self):
        """Return the set of targets that are slow according to any entry."""
        by_peers = set() if self.peers is None else self.peers.slow_targets()
        return by_peers.union(self.own_ids())
