"""Targets that are so slow that they hold others back."""

from siskinthread.timing import Deadline


class SlowTargets:
    """Slow targets, as this entry or a peer has learnt from the ranks of groups.

    Parameters
    ----------
    settings : GatewaySettings
        How long a word of them counts.
    clock : siskinthread.timing.Clock
        Clock of the ages.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerNews or None
        Tells what other entries have learnt.
    """

    __slots__ = ("_clock", "_own", "_settings", "peers")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        # Ids and their expiry, by group.
        self._own = {}
        self.peers = None

    def note(self, group, instance_ids):
        """Note the slow targets of a group; those of before are not slow any more."""
        expiry = Deadline.after(self._clock, self._settings.slow_memory_s)
        self._own[group] = list(instance_ids), expiry

    def own_ids(self):
        """Return the targets that this entry has learnt of itself."""
        return sorted(
            instance_id
            for instance_ids, expiry in self._own.values()
            if not expiry.passed()
            for instance_id in instance_ids
        )

    def is_slow(self, instance_id):
        """Return whether a target is slow as any entry has learnt."""
        return instance_id in self.ids()

    def ids(self):
        """Return the targets that any entry has learnt of, as a set."""
        told = set() if self.peers is None else self.peers.slow_targets()
        return told.union(self.own_ids())
