"""A retry budget that many hosts share without communication about single retries."""

from siskinthread.retry_budget._retry_budget import RetryBudget


class FleetShare:
    """The share of one host in the fleet's limits on retries.

    Provides the attributes that `RetryBudget` reads from its settings.

    Parameters
    ----------
    settings : Section
        Limits of all hosts together, and the fraction of them that is used.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Provides the number of hosts; None if this host is the only one.

    Notes
    -----
    The retry share needs no coordination: each host applies it to its own requests.
    The floor is divided by the largest number of hosts that were ever known at once, so
    that a host which loses contact to the others does not use their part.  A host that
    has just started knows no others, and has no floor until it must have heard of all
    hosts.  Neither has a host that starts during a cut: others don't count it, and it
    knows only the hosts on its side.

    With a fixed floor of 6 each, 15 hosts made 148 retries in 10 s where 110 were
    allowed, while a failure domain was cut off.
    """

    __slots__ = ("_settings", "peers")

    def __init__(self, settings):
        self._settings = settings
        self.peers = None

    @property
    def retry_window_s(self):
        """Window of the budget, seconds."""
        return self._settings.retry_window_s

    @property
    def retry_share(self):
        """Retries for each request of this host."""
        return self._settings.retry_share * self._settings.retry_margin

    @property
    def retry_floor_count(self):
        """Retries in addition to the share."""
        host_count = 1
        if self.peers is not None:
            host_count = self.peers.fleet_count()
            if host_count is None or not self.peers.is_roster_known():
                return 0.0
        floor_count = self._settings.retry_floor_count * self._settings.retry_margin
        return floor_count / host_count


class ServiceRetryBudgets:
    """A `RetryBudget` for each service.

    Parameters
    ----------
    limits : FleetShare
        Limits of each budget.
    clock : siskinthread.timing.Clock
        Clock of the windows.

    Notes
    -----
    Requests to one service must not allow retries at another one, which may be failing
    under its load.
    """

    __slots__ = ("_budgets", "_clock", "_limits")

    def __init__(self, limits, clock):
        self._limits = limits
        self._clock = clock
        self._budgets = {}

    def note_request(self, service_name):
        """Count a first attempt."""
        self._budget(service_name).note_request()

    def try_spend(self, service_name):
        """Count a retry if the service's budget allows it; return whether it does."""
        return self._budget(service_name).try_spend()

    def _budget(self, service_name):
        budget = self._budgets.get(service_name)
        if budget is None:
            self._drop_idle()
            budget = self._budgets[service_name] = RetryBudget(
                self._limits, self._clock
            )
        return budget

    def _drop_idle(self):
        """Forget services without recent requests; configurations rename them."""
        for name in [name for name, one in self._budgets.items() if one.is_idle()]:
            del self._budgets[name]
