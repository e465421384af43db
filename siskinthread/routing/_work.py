"""Amount of work at a target, from own counts and delayed reports."""

import collections


class TargetWork:
    """Own requests at one target, and an estimate of other entry hosts' requests.

    Attributes
    ----------
    own_count : int
        Requests of this entry host in flight at the target; exact.
    others_count : float or None
        Estimate of the other entry hosts' requests; None without a usable report.
    capacity_count : int
        Requests that the target runs at once.

    Notes
    -----
    A load report describes the past.  Between two reports every entry host sees the
    same least loaded target; if all relied on the report alone, they would flood this
    target until the next report, and queues would move from target to target at the
    rate of the reports.  So this entry host's own requests are counted exactly, and the
    report only provides the others' requests: its total minus the own requests in
    flight when it arrived.  This number is smoothed over reports, since a single
    delayed report is mostly outdated.  The stated age of a report applies to the split
    into running and waiting requests; their sum is counted by the agent when it writes
    the frame.
    """

    __slots__ = (
        "_ended_at_s",
        "_report_received_at_s",
        "_settings",
        "_started_at_s",
        "capacity_count",
        "others_count",
        "own_count",
    )

    def __init__(self, settings):
        self._settings = settings
        self._report_received_at_s = None
        self._started_at_s = collections.deque()
        self._ended_at_s = collections.deque()
        self.own_count = 0
        self.others_count = None
        self.capacity_count = 1

    def note_start(self, now_s):
        """Count a request that is being sent."""
        self.own_count += 1
        self._started_at_s.append(now_s)

    def note_end(self, now_s):
        """Count the end of a request."""
        self.own_count -= 1
        self._ended_at_s.append(now_s)

    def update_from_report(self, status, now_s):
        """Apply the last load report of a link, unless it is known or too old.

        Parameters
        ----------
        status : siskinthread.links.LinkStatus
            Holds the report.
        now_s : float
            Monotonic clock, seconds.
        """
        received_at_s = status.load_received_at_s
        oldest_s = now_s - self._settings.report_limit_s
        if status.load is None or received_at_s < oldest_s:
            self.others_count = None
            self._forget_before(oldest_s)
        elif received_at_s != self._report_received_at_s:
            self._report_received_at_s = received_at_s
            self._forget_before(received_at_s)
            self._apply_report(status.load)

    def _apply_report(self, report):
        change_count = len(self._started_at_s) - len(self._ended_at_s)
        own_then_count = self.own_count - change_count
        total_count = (report.running or 0) + (report.waiting or 0)
        others_count = max(0, total_count - own_then_count)
        self.capacity_count = max(1, report.capacity or 1)
        if self.others_count is None:
            self.others_count = float(others_count)
        smoothing = self._settings.report_smoothing
        self.others_count += smoothing * (others_count - self.others_count)

    def _forget_before(self, time_s):
        _drop_before(self._started_at_s, time_s)
        _drop_before(self._ended_at_s, time_s)


def _drop_before(times_s, limit_s):
    while times_s and times_s[0] <= limit_s:
        times_s.popleft()
