"""Number of requests at each target, as far as this entry knows."""

import contextlib
from collections import deque

from siskinthread.timing import Deadline

# Window over which this entry's own rate of requests is determined. Each entry gets
# about three requests per second; a rate from fewer than six requests would fluctuate.
RATE_SPAN_S = 2.0


class _Reported:
    """Requests of other entries according to a target's report, and its expiry."""

    __slots__ = ("expiry", "others")

    def __init__(self, others, expiry):
        self.others = others
        self.expiry = expiry


class TargetLoads:
    """Requests at each target: exact for this entry, as last reported for others.

    Parameters
    ----------
    settings : GatewaySettings
        How long a load report is valid.
    clock : siskinthread.timing.Clock
        Clock for ages and deadlines.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Requests of other entries.  Without recent messages of peers, the load reports
        of the targets are used.

    Notes
    -----
    Each answer states the load of its target.  The excess over this entry's own
    requests is attributed to other entries.
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
        # Start times of own requests, monotonic seconds, oldest first.
        self._starts_s = deque()
        self.peers = None

    def started(self, instance_id):
        """Note that a request was sent to a target."""
        self._own[instance_id] = self._own.get(instance_id, 0) + 1
        self._starts_s.append(self._clock.monotonic_s())
        self._drop_old_starts()

    def ended(self, instance_id):
        """Note that a request to a target has ended."""
        left = self._own[instance_id] - 1
        if left:
            self._own[instance_id] = left
        else:
            del self._own[instance_id]

    def report(self, instance_id, load):
        """Process the `LoadReport` in an answer of a target."""
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
    def cached_totals(self):
        """Cache the totals in a block that does not await.

        The choice of a target needs the totals of some hundred targets several times.
        """
        self._cached_totals = {}
        self._cached_peers_report = self._peers_report_loads()
        try:
            yield
        finally:
            self._cached_totals = None

    def total(self, instance_id):
        """Return the estimated number of requests at a target."""
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
        """Return the estimated number of peers' requests that are not yet reported.

        Calculated from this entry's own rate, as callers are spread over all entries,
        and the mean age of the messages of peers.
        """
        if self.peers is None or not self.peers.has_fresh_loads():
            return 0.0
        mean_age_s = self.peers.send_interval_s() / 2
        return self._own_per_s() * self.peers.full_rate_peer_count() * mean_age_s

    def fleet_per_s(self):
        """Return the rate of requests of all entries, per second.

        Extrapolated from the rate of this entry.
        """
        host_count = 1
        if self._peers_report_loads():
            host_count += self.peers.full_rate_peer_count()
        return self._own_per_s() * host_count

    def are_peers_crowded(self):
        """Return whether only peers of the same failure domain report promptly."""
        return self.peers is not None and self.peers.is_crowded()

    def source(self):
        """Return the source of the requests of other entries, for the log."""
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
        """Forget the load report of a target that is gone."""
        self._reported.pop(instance_id, None)
