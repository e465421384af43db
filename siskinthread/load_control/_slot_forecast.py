"""Bounds the slots of requests that have already missed their objective.

When an outage of a few seconds or a burst ends, the refused callers retry. Their
answers are late in any case. If these requests fill the slots, newly arriving requests
find none and become late too; if they are refused, slots stay idle. A late request
therefore gets a slot only if requests in time are not expected to need the slot for as
long as the late request holds it.
"""

import math

# Fractions of the mean request duration ahead at which free slots are forecast.
HORIZON_FRACTIONS = (0.0, 0.25, 0.5, 0.75, 0.95)


class SlotForecast:
    """Forecasts free slots and bounds the slots of late requests.

    Parameters
    ----------
    settings : LoadControlSettings
        Margins and averaging times.
    clock : siskinthread.timing.Clock
        Clock of the rates.
    arrivals : ArrivalRates
        Rates of all requests at this host.
    peer_loads : PeerLoads
        Ratio of the requests of all hosts to those of this host.
    durations : ServiceDurations
        Mean request durations.

    Notes
    -----
    Right after an outage all slots are free, and requests in time fill them only after
    one request duration. The current load per slot does not show that.
    """

    __slots__ = (
        "_arrivals",
        "_clock",
        "_durations",
        "_late_starts_s",
        "_peer_loads",
        "_rates",
        "_settings",
        "_starts_s",
    )

    def __init__(self, settings, clock, arrivals, peer_loads, durations):
        self._settings = settings
        self._arrivals = arrivals
        self._clock = clock
        self._peer_loads = peer_loads
        self._durations = durations
        # Rate per second of requests in time, and its monotonic time, by service and
        # priority.
        self._rates = {}
        # Start times, monotonic seconds, of this host's running requests, by service.
        self._starts_s = {}
        # Start times of late requests not yet reported to other hosts, oldest first.
        self._late_starts_s = {}

    def note_in_time(self, request):
        """Count a request that can still meet its objective."""
        now_s = self._clock.monotonic_s()
        memory_s = self._memory_s(request.service_name)
        rates = self._rates.setdefault(request.service_name, {})
        rate_per_s = _decayed(rates.get(request.priority), now_s, memory_s)
        rates[request.priority] = (rate_per_s + 1 / memory_s, now_s)

    def started(self, request, at_s):
        """Count a request that was sent to a target at a monotonic time, seconds."""
        self._starts_s.setdefault(request.service_name, []).append(at_s)
        if request.is_late:
            self._late_starts_s.setdefault(request.service_name, []).append(at_s)
            self._unreported_count(request.service_name)

    def ended(self, request, at_s):
        """Remove a request that was sent at a monotonic time and has ended."""
        starts_s = self._starts_s[request.service_name]
        starts_s.remove(at_s)
        if not starts_s:
            del self._starts_s[request.service_name]

    def in_time_per_s(self, service_name, priority):
        """Return the rate of requests in time that are at least as urgent as one.

        Parameters
        ----------
        service_name : str
            Service of the requests.
        priority : int
            Rank of the request to compare with, 0 first.

        Returns
        -------
        float
            Requests per second.
        """
        now_s, memory_s = self._clock.monotonic_s(), self._memory_s(service_name)
        return sum(
            _decayed(rate, now_s, memory_s)
            for rank, rate in self._rates.get(service_name, {}).items()
            if rank <= priority
        )

    def has_free_slot(self, request, slot_count, free_count):
        """Return whether a further late request takes no slot from those in time.

        Parameters
        ----------
        request : GatewayRequest
            The late request.
        slot_count : int
            Slots of the candidate targets.
        free_count : float
            Free slots that hosts may still fill.
        """
        service_name = request.service_name
        mean_s = self._durations.mean_s(service_name) or 0.0
        factor = self._peer_loads.fleet_factor(service_name)
        per_s = self.in_time_per_s(service_name, request.priority) * factor
        expected_count = per_s * mean_s / max(1, slot_count)
        free_count -= self._unreported_count(service_name) * (factor - 1)
        # Margin for random arrivals above the mean, which do not last.
        margin_count = expected_count + self._settings.late_room_deviations * math.sqrt(
            expected_count
        )
        now_s = self._clock.monotonic_s()
        starts_s = self._starts_s.get(service_name, ())
        for share in HORIZON_FRACTIONS:
            ahead_s = share * mean_s
            begun_by_s = now_s + ahead_s - mean_s
            ending_count = sum(at_s <= begun_by_s for at_s in starts_s) if share else 0
            arriving_count = per_s * ahead_s
            if free_count + ending_count * factor - arriving_count - margin_count < 1:
                return False
        return True

    def _unreported_count(self, service_name):
        """Return the estimated number of unreported late requests per other host.

        All hosts see the same free slots until the next load reports, so each other
        host is assumed to have started as many late requests as this one since its last
        report.
        """
        starts_s = self._late_starts_s.get(service_name, [])
        reported_by_s = self._clock.monotonic_s() - self._peer_loads.interval_s()
        starts_s[:] = [at_s for at_s in starts_s if at_s > reported_by_s]
        return len(starts_s)

    def _memory_s(self, service_name):
        settings = self._settings
        mean_s = self._durations.mean_s(service_name) or 0.0
        least_s = max(settings.late_room_memory_s, mean_s)
        # A rate from fewer requests fluctuates.
        per_s = self._arrivals.all_per_s(service_name)
        wanted_s = settings.late_room_count / per_s if per_s else 0.0
        return max(least_s, min(settings.rate_memory_s, wanted_s))


def _decayed(rate, now_s, memory_s):
    if rate is None:
        return 0.0
    rate_per_s, at_s = rate
    return rate_per_s * math.exp((at_s - now_s) / memory_s)
