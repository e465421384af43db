"""Plausibility check for a host list that became shorter."""

import collections

from siskinthread.timing import Deadline


class ShrinkCheck:
    """Distinguish a host list that lost hosts from a truncated one.

    Parameters
    ----------
    settings : MembershipSettings
        ``shrink_limit_fraction`` and ``shrink_window_s``.
    clock : siskinthread.timing.Clock
        Clock for the window.

    Notes
    -----
    Any number of hosts that were listed as leaving may vanish.  Of the others, a single
    host may always vanish, and up to ``shrink_limit_fraction`` of them within
    ``shrink_window_s``.  Removals are summed over the window, because otherwise a list
    that loses a few hosts with each answer would be accepted until it was empty.
    """

    __slots__ = ("_clock", "_removals", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._removals = collections.deque()

    def is_plausible(self, known, listed):
        """Return whether few enough hosts are missing from an answer.

        Parameters
        ----------
        known, listed : dict of str to HostEntry
            Hosts known before the answer, and hosts in the answer.
        """
        staying = [host for host, entry in known.items() if not entry.leaving]
        missing_count = sum(1 for host in staying if host not in listed)
        recent_count = self._recent_removal_count()
        total_count = len(staying) + recent_count
        limit_count = max(1, self._settings.shrink_limit_fraction * total_count)
        return missing_count == 0 or missing_count + recent_count <= limit_count

    def note_removals(self, count):
        """Record the number of hosts that were removed now."""
        if count:
            window = Deadline.after(self._clock, self._settings.shrink_window_s)
            self._removals.append((window, count))

    def _recent_removal_count(self):
        while self._removals and self._removals[0][0].passed():
            self._removals.popleft()
        return sum(count for _, count in self._removals)
