"""The hosts that may get one account's requests to one service."""

from siskinthread.timing import Deadline


class Pool:
    """Eligible hosts, by own and other failure domains.

    Attributes
    ----------
    hosts, own, other : list of str
        All hosts, those of the own failure domain, and the rest.
    mean_others_counts : dict of str to float
        Mean work of the other entry hosts by failure domain.
    """

    __slots__ = ("hosts", "mean_others_counts", "other", "own")

    def __init__(
        self, hosts, own_failure_domain, failure_domain_of, mean_others_counts
    ):
        self.hosts = hosts
        self.mean_others_counts = mean_others_counts
        self.own = []
        self.other = []
        for host in hosts:
            is_own = failure_domain_of(host) == own_failure_domain
            (self.own if is_own else self.other).append(host)


class PoolCache:
    """Pools by account and service, rebuilt after a short time.

    Parameters
    ----------
    settings : RoutingSettings
        Provides ``pool_refresh_s``.
    own_failure_domain : str
        Failure domain of this entry host.
    membership : siskinthread.membership.MembershipView
        Leaving hosts and failure domains.
    links : siskinthread.links.AgentLinks
        Hosts with a live link.
    loads : siskinthread.routing._loads.TargetLoads
        Work of the targets.
    clock : siskinthread.timing.Clock
        Clock of the deadline.

    Notes
    -----
    A host in a pool may have lost its link or be leaving since the pool was built, so
    the caller checks each host that it chooses.
    """

    __slots__ = (
        "_clock",
        "_links",
        "_loads",
        "_membership",
        "_own_failure_domain",
        "_pools",
        "_next_refresh",
        "_settings",
        "_state",
    )

    def __init__(self, settings, own_failure_domain, membership, links, loads, clock):
        self._settings = settings
        self._own_failure_domain = own_failure_domain
        self._membership = membership
        self._links = links
        self._loads = loads
        self._clock = clock
        self._pools = {}
        self._state = None
        self._next_refresh = Deadline.after(clock, 0.0)
        membership.listen(self._clear)

    def pool(self, state, account_name, service_name):
        """Return the `Pool` of an account and a service."""
        if state is not self._state or self._next_refresh.passed():
            self._clear(None)
            self._state = state
            self._next_refresh = Deadline.after(
                self._clock, self._settings.pool_refresh_s
            )
        key = account_name, service_name
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = self._build_pool(
                state, account_name, service_name
            )
        return pool

    def _clear(self, _):
        self._pools.clear()

    def _build_pool(self, state, account_name, service_name):
        allowed = state.allowed_hosts(account_name, service_name)
        hosts = [
            host
            for host in sorted(self._links.connected_hosts())
            if host in allowed
            and not self._membership.is_leaving(host)
            and service_name in self._links.status(host).services
        ]
        return Pool(
            hosts,
            self._own_failure_domain,
            self._membership.failure_domain,
            self._loads.mean_others_counts(hosts),
        )
