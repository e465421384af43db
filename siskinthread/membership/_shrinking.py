"""Judgement of a host list that became shorter."""

import collections

from siskinthread.timing import Deadline


class ShrinkJudge:
    """Tells a list that lost hosts from one that was cut short.

    Parameters
    ----------
    settings : MembershipSettings
        Limit and window.
    clock : siskinthread.timing.Clock
        Clock of the window.

    Notes
    -----
    Hosts that were leaving may vanish in any number.  Of the others, one always may,
    and up to ``shrink_limit_fraction`` of them within ``shrink_window_s``.  Removals
    are added up over the window, because a list that decays by a few hosts with each
    answer would otherwise be believed to the last host.
    """

    __slots__ = ("_clock", "_removals", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._removals = collections.deque()

    def plausible(self, known, listed):
        """Return whether an answer's missing hosts can be true.

        Parameters
        ----------
        known, listed : dict of str to HostEntry
            Hosts before the answer and in the answer.
        """
        staying = [host for host, entry in known.items() if not entry.leaving]
        missing_count = sum(1 for host in staying if host not in listed)
        recent_count = self._recent_removal_count()
        total_count = len(staying) + recent_count
        limit_count = max(1, self._settings.shrink_limit_fraction * total_count)
        return missing_count == 0 or missing_count + recent_count <= limit_count

    def note_removals(self, count):
        """Remember that hosts were removed just now."""
        if count:
            window = Deadline.after(self._clock, self._settings.shrink_window_s)
            self._removals.append((window, count))

    def _recent_removal_count(self):
        while self._removals and self._removals[0][0].passed():
            self._removals.popleft()
        return sum(count for _, count in self._removals)
