"""Reserves slots for more urgent requests (trunk reservation).

A burst of less urgent requests would fill each slot as it becomes free, and urgent
requests would be refused like the others. Less urgent requests are therefore refused
while a few slots are still free. Urgent requests may use these slots and, where their
objective leaves time for it, the queue of a target.
"""

import math


class Reserve:
    """Computes the fraction of the slots that each priority may fill.

    Parameters
    ----------
    settings : LoadControlSettings
        Limits.
    arrivals : ArrivalRates
        Rates of requests at this host.
    peer_loads : PeerLoads
        Number of hosts, and age of their load reports.
    durations : ServiceDurations
        Mean request durations.
    queue_support : QueueSupport
        Whether targets queue requests.

    Notes
    -----
    The reserve covers the urgent requests that are expected until another slot becomes
    free and all hosts have learned of it. The rate of all hosts is scaled from the rate
    at this host.
    """

    __slots__ = (
        "_arrivals",
        "_durations",
        "_peer_loads",
        "_queue_support",
        "_settings",
    )

    def __init__(self, settings, arrivals, peer_loads, durations, queue_support):
        self._settings = settings
        self._arrivals = arrivals
        self._peer_loads = peer_loads
        self._durations = durations
        self._queue_support = queue_support

    def share(self, request, slot_count):
        """Return the fraction of the slots that is reserved for more urgent requests.

        Parameters
        ----------
        request : GatewayRequest
            The request that may not use the reserved slots.
        slot_count : int
            Number of slots.
        """
        if not self._settings.is_reserve_used or not slot_count:
            return 0.0
        service_name = request.service_name
        own_per_s = self._arrivals.more_urgent_per_s(service_name, request.priority)
        if not own_per_s:
            return 0.0
        mean_s = self._durations.mean_s(service_name) or 0.0
        until_free_s = mean_s / slot_count
        unreported_s = self._peer_loads.mean_age_s() + until_free_s
        expected = (
            own_per_s * self._peer_loads.fleet_factor(service_name) * unreported_s
        )
        # The number of arrivals varies by the root of its mean; arrivals beyond the
        # mean may queue.
        deviations = self._settings.reserve_deviations
        if not self._queue_support.is_available(service_name):
            deviations = self._settings.reserve_deviations_unqueued
        reserved = expected + deviations * math.sqrt(expected)
        return min(reserved / slot_count, self._settings.reserve_limit_share)

    def queue_share(self, request):
        """Return how far a request with precedence may fill a target beyond its slots.

        The queue is for requests that have precedence over those in the slots.

        Returns
        -------
        float
            Fraction of the slots; 0 unless the objective leaves time to queue.
        """
        return min(self.wait_allowance(request), self._settings.queue_limit_share)

    def wait_allowance(self, request):
        """Return how long a request may wait for a slot, in mean request durations.

        Returns
        -------
        float
            0 without queues, or without an objective that leaves time to wait.
        """
        mean_s = self._durations.mean_s(request.service_name)
        objective_s = request.route.objective_s
        if not mean_s or objective_s is None:
            return 0.0
        if not self._queue_support.is_available(request.service_name):
            return 0.0
        spare_s = (objective_s - mean_s) * self._settings.queue_share
        return max(0.0, spare_s / mean_s)

    def has_precedence(self, request):
        """Return whether a request is more urgent than others requested recently."""
        return self._settings.is_reserve_used and self._arrivals.has_less_urgent(
            request.service_name, request.priority
        )
