"""Times of the passes of one group, from the events of own streams.

The ranks of a group run in lock-step, and each pass gives every stream one event.  So
the events of this entry's streams tell of each pass as it ends, for nothing, where the
ranks' own reports are paid for and some hundred milliseconds old.
"""

# Events of one pass come a few milliseconds apart, over hosts at different distances.
# Those within this part of a usual pass belong to the same one.
SAME_PASS_SHARE = 0.4
# Events that come closer are of the same pass, whatever is usual; half of the least
# pass of an engine that serves a single request.
SAME_PASS_S = 0.01
# Weight of the newest pass in the usual time: a change shows within some five passes,
# and a single long prompt does not pass for one.
NEWEST_WEIGHT = 0.2


class PassClock:
    """Counts and times passes.

    Attributes
    ----------
    count : int
        Passes seen.
    latest_s : float or None
        Time of the last whole pass, seconds.
    usual_s : float or None
        Smoothed time of a pass, seconds.
    """

    __slots__ = ("_began_s", "count", "latest_s", "usual_s")

    def __init__(self):
        self._began_s = None
        self.count = 0
        self.latest_s = None
        self.usual_s = None

    def stop(self):
        """Note that no stream is left to tell of passes."""
        self._began_s = None

    def event_came(self, now_s):
        """Note that some stream got an event."""
        if self._began_s is None:
            self._began_s = now_s
            return
        pass_s = now_s - self._began_s
        if pass_s < SAME_PASS_S:
            return
        if self.usual_s is None:
            self.usual_s = pass_s
        if pass_s < self.usual_s * SAME_PASS_SHARE:
            return
        self._began_s = now_s
        self.count += 1
        self.latest_s = pass_s
        self.usual_s += NEWEST_WEIGHT * (pass_s - self.usual_s)

    def current_s(self, now_s):
        """Return the time of the last pass, or of the one under way if it is longer.

        Returns
        -------
        float or None
            None while no stream tells.
        """
        if self._began_s is None or self.latest_s is None:
            return None
        return max(self.latest_s, now_s - self._began_s)
