"""Assumed state of one group, and rules by which evidence changes it."""

import math


class GroupState:
    """Whether one group is broken, and the evidence for it.

    Parameters
    ----------
    memory_s : float
        Longest delay of a message that was sent before a change of the state, seconds.

    Attributes
    ----------
    is_broken : bool
        Whether the group is considered broken.
    epoch : int or None
        Last known epoch; for a broken group, only an epoch that a report of this outage
        has stated.
    began_at_s : float or None
        When the outage began, monotonic seconds.
    seen_at_s : float
        When the newest evidence of the state was observed at a rank, monotonic seconds.
    learnt_at_s : float
        When this host learnt of the last change of the state, monotonic seconds.
    reported_at_s : float
        When a report last stated that the group is broken, monotonic seconds.
    is_own : bool
        Whether this host has observed the state itself.
    is_suspected : bool
        Whether the only evidence is a stall together with a failed rank.

    Notes
    -----
    A group opens in a higher epoch than the one in which it broke, so that messages
    that arrive out of order are ordered by their epochs.  Times decide only within one
    epoch, or if an epoch is unknown.
    """

    __slots__ = (
        "_epoch_at_s",
        "_memory_s",
        "began_at_s",
        "epoch",
        "is_broken",
        "is_own",
        "is_suspected",
        "learnt_at_s",
        "reported_at_s",
        "seen_at_s",
    )

    def __init__(self, memory_s):
        self._memory_s = memory_s
        # When this host learnt of the epoch of the open group, monotonic seconds.
        self._epoch_at_s = -math.inf
        self.is_broken = False
        self.epoch = None
        self.began_at_s = None
        self.seen_at_s = -math.inf
        self.learnt_at_s = -math.inf
        self.reported_at_s = -math.inf
        self.is_own = False
        self.is_suspected = False

    def note_broken(self, epoch, began_at_s, now_s):
        """Note that the group is broken."""
        if not self.is_broken:
            self.began_at_s = began_at_s
            self.learnt_at_s = now_s
            self.reported_at_s = -math.inf
        self.is_broken = True
        self.is_suspected = False
        self.epoch = epoch

    def note_open(self, epoch, seen_at_s, now_s):
        """Note that the group is open; return whether it was considered broken."""
        was_broken, self.is_broken = self.is_broken, False
        self.is_suspected = False
        self.seen_at_s = max(self.seen_at_s, seen_at_s)
        if epoch is not None:
            self.epoch = epoch
        if was_broken:
            self.learnt_at_s = now_s
        return was_broken

    def note_epoch(self, epoch, now_s):
        """Note the epoch of an open group, None if it was not stated."""
        if epoch is None or epoch == self.epoch:
            return
        # Epochs restart at their first value after a restart of all ranks.
        if self._may_be_late(now_s) and epoch < (self.epoch or 0):
            return
        self.epoch = epoch
        self._epoch_at_s = now_s

    def is_ended_by_report(self, epoch, seen_at_s):
        """Return whether a rank's report that the group is open ends its outage."""
        if self.epoch is not None and epoch > self.epoch:
            return True
        # Reports of a stalled group state that it is open until it breaks.
        return seen_at_s > self.seen_at_s and not self.is_suspected

    def is_ended_by_peer(self, epoch, seen_at_s):
        """Return whether a peer's statement that the group is open ends its outage."""
        if epoch is None or self.epoch in (None, epoch):
            return seen_at_s > self.seen_at_s
        return epoch > self.epoch

    def is_begun_by_report(self, epoch, seen_at_s):
        """Return whether a rank's report that the group is broken begins an outage."""
        if self.is_suspected:
            return True
        is_earlier = self.epoch is not None and epoch < self.epoch
        # A lower epoch is valid only after a restart of all ranks, so the report must
        # be newer than the last change that was learnt.
        return seen_at_s > (self.learnt_at_s if is_earlier else self.seen_at_s)

    def is_begun_by_peer(self, epoch, seen_at_s, now_s):
        """Return whether a peer's statement that the group is broken begins one."""
        is_ordered = epoch is not None and self.epoch not in (None, epoch)
        if is_ordered and self._may_be_late(now_s):
            return epoch > self.epoch
        return seen_at_s > self.seen_at_s

    def _may_be_late(self, now_s):
        """Return whether messages from before the last change may still arrive."""
        return now_s - max(self.learnt_at_s, self._epoch_at_s) < self._memory_s
