"""Loads of the targets, for comparison with each other."""

from siskinthread.routing._work import TargetWork
from siskinthread.timing import Deadline


class TargetLoads:
    """Known or estimated work of all targets.

    Parameters
    ----------
    settings : RoutingSettings
        Smoothing, weights and limits.
    membership : siskinthread.membership.MembershipView
        Failure domains and the number of entry hosts.
    links : siskinthread.links.AgentLinks
        Links with the load reports.
    clock : siskinthread.timing.Clock
        Clock of the reports' ages.

    Notes
    -----
    All entry hosts react to the same reports.  If each of N corrected the whole
    difference that a report shows between two targets, together they would correct it
    N times, and back again after the next report.  So, of the others' work, the
    difference to the mean of the failure domain counts with ``others_weight`` only, and
    the difference of that mean to the mean of all targets with ``domain_weight``.
    """

    __slots__ = (
        "_clock",
        "_links",
        "_membership",
        "_service_loads",
        "_settings",
        "_works",
    )

    def __init__(self, settings, membership, links, clock):
        self._settings = settings
        self._membership = membership
        self._links = links
        self._clock = clock
        self._works = {}
        self._service_loads = {}

    def note_start(self, host):
        """Count a request that is being sent to a host."""
        self._work(host).note_start(self._clock.monotonic_s())

    def note_end(self, host):
        """Count the end of a request to a host."""
        self._work(host).note_end(self._clock.monotonic_s())

    def forget_all_but(self, hosts):
        """Drop the work of hosts not in `hosts`, except with requests in flight."""
        for host in self._works.keys() - set(hosts):
            if self._works[host].own_count == 0:
                del self._works[host]

    def mean_others_counts(self, hosts):
        """Return the others' mean work by failure domain, shrunk to the overall mean.

        Parameters
        ----------
        hosts : list of str
            Hosts with links.

        Returns
        -------
        dict of str to float
            Requests.
        """
        counts = {}
        for host in hosts:
            domain = self._membership.failure_domain(host)
            counts.setdefault(domain, []).append(self._others_count(host))
        overall_count = sum(map(sum, counts.values())) / max(1, len(hosts))
        weight = self._settings.domain_weight
        return {
            domain: overall_count + weight * (sum(values) / len(values) - overall_count)
            for domain, values in counts.items()
        }

    def work_count(self, host, mean_others_counts):
        """Return the estimated number of requests at a host, running or waiting."""
        others_count = self._others_count(host)
        mean_count = mean_others_counts[self._membership.failure_domain(host)]
        difference = self._settings.others_weight * (others_count - mean_count)
        return self._work(host).own_count + mean_count + difference

    def load(self, host, mean_others_counts):
        """Return the load with one more request, as a share of the capacity."""
        work_count = self.work_count(host, mean_others_counts)
        return (work_count + 1) / self._work(host).capacity_count

    def waiting_count(self, host):
        """Return the estimated number of requests that wait at a host."""
        work = self._work(host)
        work_count = work.own_count + self._others_count(host)
        return max(0.0, work_count - work.capacity_count)

    def load_without(self, hosts, ejected):
        """Return the load of `hosts` if the hosts in `ejected` had no capacity."""
        work_count = sum(
            self._work(host).own_count + self._others_count(host) for host in hosts
        )
        capacity_count = sum(
            self._work(host).capacity_count for host in hosts if host not in ejected
        )
        return work_count / capacity_count if capacity_count else float("inf")

    def service_load(self, service_name):
        """Return the work of a service's targets divided by their capacity.

        Returns
        -------
        float or None
            None if no target of the service has a usable load report.
        """
        cached = self._service_loads.get(service_name)
        if cached is not None and not cached[0].passed():
            return cached[1]
        hosts = [
            host
            for host in self._links.connected_hosts()
            if service_name in self._links.status(host).services
            and self._has_report(host)
        ]
        load = self.load_without(hosts, ()) if hosts else None
        refresh = Deadline.after(self._clock, self._settings.pool_refresh_s)
        self._service_loads[service_name] = refresh, load
        return load

    def _has_report(self, host):
        # Without a report the capacity is unknown; its default of one request would
        # make a service that has just started look overloaded.
        return self._updated_work(host).others_count is not None

    def _others_count(self, host):
        work = self._updated_work(host)
        if work.others_count is not None:
            return work.others_count
        other_entry_count = max(0, len(self._membership.entries()) - 1)
        return work.own_count * other_entry_count

    def _updated_work(self, host):
        work = self._work(host)
        status = self._links.status(host)
        if status is not None:
            work.update_from_report(status, self._clock.monotonic_s())
        return work

    def _work(self, host):
        work = self._works.get(host)
        if work is None:
            work = self._works[host] = TargetWork(self._settings)
        return work
