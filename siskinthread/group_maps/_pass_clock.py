"""Times of the passes of one group, from the events of this entry's streams.

The ranks of a group run in lock-step, and each pass produces one event for every
stream.  So the events of this entry's streams show the end of each pass without cost,
while reports of the ranks are charged for and some hundred milliseconds old.
"""

# Events of one pass arrive a few milliseconds apart, from hosts at different distances.
# Events within this fraction of a usual pass time belong to the same pass.
SAME_PASS_SHARE = 0.4
# Events closer than this belong to the same pass, whatever the usual pass time; half of
# the shortest pass of an engine that serves a single request.
SAME_PASS_S = 0.01
# Weight of the newest pass in the smoothed time. A change shows within about five
# passes, and a single long prompt has little effect.
NEWEST_WEIGHT = 0.2


class PassClock:
    """Counts and times passes.

    Attributes
    ----------
    count : int
        Number of passes seen.
    latest_s : float or None
        Time of the last complete pass, seconds.
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
        """Record that no stream is left to show passes."""
        self._began_s = None

    def event_came(self, now_s):
        """Record that some stream got an event."""
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
        """Whether any stream shows passes."""
        return self._began_s is not None and self.latest_s is not None

    def current_s(self, now_s):
        """Return the time of the last pass, or of the current pass if it is longer.

        Returns
        -------
        float or None
            Seconds; None while no stream shows passes.
        """
        if not self.is_running:
            return None
        return max(self.latest_s, now_s - self._began_s)


class ReportedPass:
    """Time of a pass as reported by a peer.

    Parameters
    ----------
    pass_s : float
        Time of the pass, seconds.
    received_at_s : float
        When the report was received, monotonic seconds.
    """

    __slots__ = ("received_at_s", "pass_s")

    def __init__(self, pass_s, received_at_s):
        self.pass_s = pass_s
        self.received_at_s = received_at_s


class PassView:
    """Pass times of one group from this entry's streams, or else from peers.

    Parameters
    ----------
    own : PassClock
        Pass times from this entry's streams.
    newest_reported : callable
        Returns the newest `ReportedPass` of the group, or None.

    Notes
    -----
    With many entries, most of them have no stream in a given group at most moments.  A
    controller among them would notice a shift of the demand only with its next routine
    sample, up to 3 s late.  In a calm run with 32 entries 627 of 3,603 streams were
    late, and 9 with the reports of peers.
    """

    __slots__ = ("_received_at_s", "_newest_reported", "_own", "_reported_usual_s")

    def __init__(self, own, newest_reported):
        self._own = own
        self._newest_reported = newest_reported
        self._reported_usual_s = None
        self._received_at_s = None

    @property
    def usual_s(self):
        """Smoothed time of a pass, seconds; None if unknown."""
        if self._own.is_running or self._reported_usual_s is None:
            return self._own.usual_s
        return self._reported_usual_s

    def current_s(self, now_s):
        """Return the time of the last pass, seconds; None without any source."""
        reported = self._newest_reported()
        if reported is not None and reported.received_at_s != self._received_at_s:
            self._received_at_s = reported.received_at_s
            usual_s = (
                reported.pass_s
                if self._reported_usual_s is None
                else self._reported_usual_s
            )
            self._reported_usual_s = usual_s + NEWEST_WEIGHT * (
                reported.pass_s - usual_s
            )
        own_s = self._own.current_s(now_s)
        if own_s is not None or reported is None:
            return own_s
        return reported.pass_s
