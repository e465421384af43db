"""Limits what this host adds to targets until the next load reports.

Where requests are shorter than the interval between load reports, a slot that becomes
free is reported to all hosts, and each of them fills it. Meanwhile other slots are
idle, as no host knows yet that they are free. Until the next reports, each host
therefore adds to a target at most its share of the free slots there. A slot whose own
request has ended can be reused at once, as no other host knows that it is free.
"""


class _Period:
    """Loads at the start of a period, and random numbers that round shares.

    Parameters
    ----------
    end_s : float
        End of the period, monotonic seconds.
    """

    __slots__ = ("draws", "end_s", "own", "totals", "weight")

    def __init__(self, end_s):
        self.end_s = end_s
        self.own = {}
        self.totals = {}
        self.draws = {}
        self.weight = 1.0


class HostShares:
    """Shares of this host in the free slots of each target.

    Parameters
    ----------
    settings : LoadControlSettings
        When shares apply, and for how long.
    clock : siskinthread.timing.Clock
        Clock of the periods.
    loads : TargetLoads
        Requests at each target.
    arrivals : ArrivalRates
        Rates of requests at this host.
    peer_loads : PeerLoads
        Number of hosts, and age of their load reports.
    durations : ServiceDurations
        Mean request durations.
    random : random.Random
        Rounds fractional shares.

    Notes
    -----
    Shares are proportional to the requests that hosts have in flight, since callers may
    use only some of the hosts. One request is added for each host, so that a host
    without requests gets a share too.

    A host that holds less than an equal part of a target's slots may fill the target up
    to that part whatever its share is. With proportional shares alone, hosts with few
    requests in flight are starved, because the others refill their own slots: with
    three hosts, six slots and 1.2 times the capacity, one host served 0.22 of its
    requests, the others 0.6 of theirs.
    """

    __slots__ = (
        "_arrivals",
        "_clock",
        "_durations",
        "_loads",
        "_peer_loads",
        "_periods",
        "_random",
        "_settings",
    )

    def __init__(self, settings, clock, loads, arrivals, peer_loads, durations, random):
        self._arrivals = arrivals
        self._settings = settings
        self._clock = clock
        self._loads = loads
        self._peer_loads = peer_loads
        self._durations = durations
        self._random = random
        self._periods = {}

    def are_loads_stale(self, service_name):
        """Return whether requests to a service are short relative to load reports."""
        if not self._settings.are_shares_used or not self._peer_loads.has_peer_loads():
            return False
        mean_s = self._durations.mean_s(service_name)
        if mean_s is None:
            return False
        return mean_s < self._settings.stale_ratio * self._peer_loads.interval_s()

    def is_overloaded(self, service_name, slot_count):
        """Return whether the requested load clearly exceeds the slots.

        At lower load, slots left unused by one host cost more than slots that two hosts
        fill.
        """
        own_per_s = self._arrivals.all_per_s(service_name)
        mean_s = self._durations.mean_s(service_name)
        fleet_per_s = own_per_s * self._peer_loads.fleet_factor(service_name)
        concurrent_count = fleet_per_s * mean_s
        return concurrent_count > self._settings.overload_ratio * slot_count

    def idle_share(self, service_name):
        """Return the fraction of its shares that this host leaves idle.

        A slot whose request has ended stays idle until the next request comes to this
        host, since no other host knows of it.
        """
        mean_s = self._durations.mean_s(service_name)
        own_per_s = self._arrivals.all_per_s(service_name)
        if not mean_s or not own_per_s:
            return 0.0
        return min(1 / (own_per_s * mean_s), self._settings.idle_limit_share)

    def admitting(self, service_name, entries, usable_share):
        """Return the targets to which this host may add a request.

        Parameters
        ----------
        service_name : str
            Service of the targets.
        entries : list of TargetEntry
            The targets.
        usable_share : float
            Fraction of their slots that the request may use.
        """
        period = self._period(service_name, entries)
        return [
            entry
            for entry in entries
            if self._has_free_share(period, entry, usable_share)
        ]

    def _has_free_share(self, period, entry, usable_share):
        instance_id = entry.instance_id
        equal_count = int(
            entry.slot_count * usable_share / self._peer_loads.host_count()
        )
        if self._loads.own(instance_id) < equal_count:
            return True
        own, total = period.own[instance_id], period.totals[instance_id]
        share = entry.slot_count * usable_share - total
        if share > 0:
            share *= period.weight
        elif total:
            # Each host releases its part of the excess.
            share *= own / total
        allowed = int(max(0.0, own + share + period.draws[instance_id]))
        return self._loads.own(instance_id) < allowed

    def _period(self, service_name, entries):
        now_s = self._clock.monotonic_s()
        period = self._periods.get(service_name)
        if period is None or now_s >= period.end_s:
            end_s = now_s + self._length_s()
            period = self._periods[service_name] = _Period(end_s)
        missing = [entry for entry in entries if entry.instance_id not in period.own]
        if missing:
            self._take_loads(period, missing)
        return period

    def _length_s(self):
        return self._settings.share_news_count * self._peer_loads.interval_s()

    def _take_loads(self, period, entries):
        for entry in entries:
            instance_id = entry.instance_id
            period.own[instance_id] = self._loads.own(instance_id)
            period.totals[instance_id] = self._loads.total(instance_id)
            period.draws[instance_id] = self._random.random()
        own, total = sum(period.own.values()), sum(period.totals.values())
        period.weight = (own + 1) / (total + self._peer_loads.host_count())
