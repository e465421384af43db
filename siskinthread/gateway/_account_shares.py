"""Detection of client accounts that surge while targets are nearly full.

Guards against one account that sends many times its usual load: without a bound it
fills every slot that comes free, and the requests of all other accounts are refused.
While most slots are in use, requests of an account are refused first if its load
exceeds its usual load by more than a set ratio, scaled by the typical increase of all
accounts.  While enough slots are free, no request is refused for this reason.
"""

import math
import statistics

from siskinthread.timing import Deadline


class AccountShares:
    """Current and usual number of requests in flight of each account, over all hosts.

    Parameters
    ----------
    settings : GatewaySettings
        Ratio, margin and sampling interval.
    clock : siskinthread.timing.Clock
        Clock of the sampling.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Provides the requests of accounts at other hosts.

    Notes
    -----
    The callers of an account are spread over hosts, so a single host sees only a few of
    its requests.  Sums over all hosts, about half a second old, are large enough to
    tell a surge from random variation.  In a replay of a surge with 40 accounts, 0.88
    to 0.99 of the other accounts' requests are served instead of 0.61.
    """

    __slots__ = ("_clock", "_next_sample", "_own", "_settings", "_usual", "peers")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._own = {}
        self._usual = {}
        self._next_sample = Deadline.after(clock, 0.0)
        self.peers = None

    def started(self, account_name):
        """Count a request of an account as in flight."""
        self._own[account_name] = self._own.get(account_name, 0) + 1

    def ended(self, account_name):
        """Count a request of an account as ended."""
        left = self._own[account_name] - 1
        if left:
            self._own[account_name] = left
        else:
            del self._own[account_name]

    def own_counts(self):
        """Return the requests in flight at this host, as `dict` of account to count."""
        return dict(self._own)

    def is_surging(self, account_name):
        """Return whether the load of an account exceeds its surge limit.

        Returns
        -------
        bool
            False for an account whose usual load is not known yet.
        """
        return self._total(account_name) > self.surge_limit(account_name)

    def surge_limit(self, account_name):
        """Return the number of requests in flight beyond which an account surges.

        Returns
        -------
        float
            Infinite for an account whose usual load is not known yet.
        """
        self.sample()
        usual = self._usual.get(account_name)
        if usual is None or not usual.is_settled(self._settings):
            return math.inf
        limit = self._settings.surge_ratio * usual.mean * self._typical_ratio()
        # A count of n varies randomly by about sqrt(n); allow two deviations.
        return limit + self._settings.surge_margin_count + 2 * math.sqrt(limit)

    def usual_of_others(self, account_name):
        """Return the usual number of requests in flight of all accounts but one."""
        return sum(
            usual.mean for name, usual in self._usual.items() if name != account_name
        )

    def sample(self):
        """Update the usual load of all accounts if the sampling interval has passed."""
        if not self._next_sample.passed():
            return
        interval_s = self._settings.account_sample_interval_s
        self._next_sample = Deadline.after(self._clock, interval_s)
        totals = self._totals()
        for name in self._usual.keys() | totals.keys():
            usual = self._usual.setdefault(name, _UsualLoad())
            usual.note(totals.get(name, 0), self._settings)
            if usual.mean < self._settings.forgotten_account_mean:
                del self._usual[name]

    def _typical_ratio(self):
        """Return the median ratio of current to usual load of accounts, at least 1."""
        totals = self._totals()
        ratios = [
            totals.get(name, 0) / usual.mean
            for name, usual in self._usual.items()
            if usual.mean >= 1
        ]
        return max(1.0, statistics.median(ratios)) if ratios else 1.0

    def _total(self, account_name):
        return self._totals().get(account_name, 0)

    def _totals(self):
        totals = {} if self.peers is None else dict(self.peers.account_counts())
        for name, count in self._own.items():
            totals[name] = totals.get(name, 0) + count
        return totals


class _UsualLoad:
    """Exponentially weighted mean of the requests in flight of an account."""

    __slots__ = ("mean", "sample_count")

    def __init__(self):
        self.mean = 0.0
        self.sample_count = 0

    def note(self, count, settings):
        """Add a sample; the first samples get equal weights."""
        self.sample_count += 1
        weight = max(1 / self.sample_count, settings.account_sample_weight)
        self.mean += weight * (count - self.mean)

    def is_settled(self, settings):
        """Return whether there are enough samples to detect a surge."""
        return self.sample_count >= settings.account_least_samples
