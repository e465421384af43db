"""How many requests each target has, as far as this entry knows."""

import contextlib
from collections import deque

from siskinthread.timing import Deadline

# Span over which this entry's own rate of requests is taken. Some three requests a
# second come to each entry; a rate from fewer than six would jump.
RATE_SPAN_S = 2.0


class _Reported:
    """Load that a target stated, and until when it counts."""

    __slots__ = ("expiry", "others")

    def __init__(self, others, expiry):
        self.others = others
        self.expiry = expiry


class TargetLoads:
    """Requests at each target: this entry's exactly, others' as last heard.

    Parameters
    ----------
    settings : GatewaySettings
        How long a report counts.
    clock : siskinthread.timing.Clock
        Clock of the ages.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerNews or None
        Tells other entries' requests.  Without news of any, the targets' own reports
        count.

    Notes
    -----
    Each answer states the load of its target.  What exceeds this entry's own requests
    belongs to other entries.
    """

    __slots__ = (
        "_clock",
        "_cached_totals",
        "_cached_peers_report",
        "_own",
        "_reported",
        "_settings",
        "_starts_s",
        "peers",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._cached_totals = None
        self._cached_peers_report = False
        self._own = {}
        self._reported = {}
        # When own requests began, monotonic seconds, oldest first.
        self._starts_s = deque()
        self.peers = None

    def started(self, instance_id):
        """Count a request as sent to a target."""
        self._own[instance_id] = self._own.get(instance_id, 0) + 1
        self._starts_s.append(self._clock.monotonic_s())
        self._drop_old_starts()

    def ended(self, instance_id):
        """Count a request as over."""
        left = self._own[instance_id] - 1
        if left:
            self._own[instance_id] = left
        else:
            del self._own[instance_id]

    def report(self, instance_id, load):
        """Take the `LoadReport` that came with an answer."""
        others = max(0, load.running + load.waiting - self.own(instance_id))
        expiry = Deadline.after(self._clock, self._settings.load_report_limit_s)
        self._reported[instance_id] = _Reported(others, expiry)

    def own(self, instance_id):
        """Return the number of this entry's requests at a target."""
        return self._own.get(instance_id, 0)

    def own_counts(self):
        """Return this entry's requests by target."""
        return dict(self._own)

    @contextlib.contextmanager
    def held(self):
        """Keep each total for the length of a block in which no time passes.

        A choice asks for the total of each of some hundred targets several times.
        """
        self._cached_totals = {}
        self._cached_peers_report = self._peers_report_loads()
        try:
            yield
        finally:
            self._cached_totals = None

    def total(self, instance_id):
        """Return the number of requests that a target is believed to have."""
        if self._cached_totals is None:
            return self._total(instance_id, self._peers_report_loads())
        total = self._cached_totals.get(instance_id)
        if total is None:
            total = self._total(instance_id, self._cached_peers_report)
            self._cached_totals[instance_id] = total
        return total

    def _peers_report_loads(self):
        return self.peers is not None and self.peers.has_fresh_loads()

    def _total(self, instance_id, peers_report):
        own = self.own(instance_id)
        if peers_report:
            return own + self.peers.counts(instance_id)
        reported = self._reported.get(instance_id)
        if reported is None or reported.expiry.passed():
            return own
        return own + reported.others

    def unseen_count(self):
        """Return how many requests peers have begun that this entry can't know of yet.

        Reckoned from its own rate, as callers are spread over all entries, and from
        the mean age of what peers have told.
        """
        if self.peers is None or not self.peers.has_fresh_loads():
            return 0.0
        mean_age_s = self.peers.told_interval_s() / 2
        return self._own_per_s() * self.peers.sharing_count() * mean_age_s

    def fleet_per_s(self):
        """Return the requests a second of this entry and its peers, from its own."""
        host_count = 1
        if self._peers_report_loads():
            host_count += self.peers.sharing_count()
        return self._own_per_s() * host_count

    def are_peers_crowded(self):
        """Return whether only near peers tell of their requests soon."""
        return self.peers is not None and self.peers.is_crowded()

    def source(self):
        """Return what others' requests are known by, for the log."""
        if self._peers_report_loads():
            return "peers"
        return "the targets' own reports"

    def _own_per_s(self):
        self._drop_old_starts()
        return len(self._starts_s) / RATE_SPAN_S

    def _drop_old_starts(self):
        oldest_s = self._clock.monotonic_s() - RATE_SPAN_S
        while self._starts_s and self._starts_s[0] < oldest_s:
            self._starts_s.popleft()

    def forget(self, instance_id):
        """Drop what is known of a target that is gone."""
        self._reported.pop(instance_id, None)
