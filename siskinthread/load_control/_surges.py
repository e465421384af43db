"""Detects requests that belong to the traffic surge of a client account."""

import math

from siskinthread.load_control._arrival_rates import ArrivalRates
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("load_control")


class Surges:
    """Detects accounts that exceed their allowance while targets are nearly full.

    Parameters
    ----------
    settings : LoadControlSettings
        Averaging times of the rates.
    clock : siskinthread.timing.Clock
        Clock of the rates.
    accounts : AccountShares
        Current and usual load of the accounts.
    peer_loads : PeerLoads
        Ratio of the requests of all hosts to those of this host.
    durations : ServiceDurations
        Mean request durations.

    Notes
    -----
    The requests of an account in flight show a surge only until its requests are
    refused. By them alone, the account would be admitted and refused in turn, and each
    time fill all slots before load reports show it. The requested rate shows the surge
    throughout.
    """

    __slots__ = (
        "_account_arrivals",
        "_accounts",
        "_arrivals",
        "_clock",
        "_durations",
        "_peer_loads",
        "_settings",
        "_surge_expiries",
    )

    def __init__(self, settings, clock, accounts, peer_loads, durations):
        self._settings = settings
        self._clock = clock
        # End of the period in which a service counts as receiving a surge.
        self._surge_expiries = {}
        self._accounts = accounts
        memory_s = settings.surge_memory_s
        self._arrivals = ArrivalRates(settings, memory_s, clock)
        self._account_arrivals = ArrivalRates(settings, memory_s, clock)
        self._peer_loads = peer_loads
        self._durations = durations

    def note(self, request):
        """Count an incoming request."""
        self._arrivals.note(request.service_name, request.priority)
        if request.account is not None:
            self._account_arrivals.note(request.account.name, request.priority)

    def is_surging(self, request):
        """Return whether other accounts have precedence over that of a request."""
        if request.account is None:
            return False
        is_surging = self._accounts.is_surging(request.account.name)
        if not is_surging and self._settings.are_shares_used:
            is_surging = self._exceeds_requested_limit(request)
        if is_surging:
            expiry = self._surge_expiries.get(request.service_name)
            if expiry is None or expiry.passed():
                _logger.event("account surges", surging_account=request.account.name)
            wait_s = self._settings.rate_memory_s
            self._surge_expiries[request.service_name] = Deadline.after(
                self._clock, wait_s
            )
        return is_surging

    def has_recent_surge(self, service_name):
        """Return whether a service has recently received a surge."""
        if not self._settings.is_reserve_used:
            return False
        expiry = self._surge_expiries.get(service_name)
        return expiry is not None and not expiry.passed()

    def _exceeds_requested_limit(self, request):
        """Return whether the requested rate of an account is a surge.

        The limit of an account grows with the rate requested by other accounts.
        """
        name = request.account.name
        requested_count = self._min_requested_count(request)
        limit = self._accounts.surge_limit(name)
        usual_of_others = self._accounts.usual_of_others(name)
        if requested_count <= limit or not usual_of_others:
            return False
        others_per_s = self._arrivals.all_per_s(
            request.service_name
        ) - self._account_arrivals.all_per_s(name)
        ratio = self._concurrent_count(request, others_per_s) / usual_of_others
        return requested_count > limit * max(1.0, ratio)

    def _min_requested_count(self, request):
        """Return a lower bound of the concurrent requests of an account.

        The bound covers the requested load at all hosts. Less urgent requests of the
        account do not count towards a surge of its more urgent ones.
        """
        memory_s = self._settings.surge_memory_s
        requested_per_s = self._account_arrivals.more_urgent_per_s(
            request.account.name, request.priority + 1
        )
        count = requested_per_s * memory_s
        # A random number of requests exceeds its mean by two standard deviations, the
        # root of the mean each, once in 40 times.
        least_per_s = max(0.0, count - 2 * math.sqrt(count)) / memory_s
        return self._concurrent_count(request, least_per_s)

    def _concurrent_count(self, request, own_per_s):
        """Return the concurrent requests at all hosts for a rate at this host."""
        mean_s = self._durations.mean_s(request.service_name) or 0.0
        factor = self._peer_loads.fleet_factor(request.service_name)
        return own_per_s * factor * mean_s
