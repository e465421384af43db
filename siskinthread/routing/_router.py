"""The router: a few random choices compared by load, own failure domain first."""

from siskinthread.outcomes import Outcome
from siskinthread.routing._affinity import PrefixAffinity
from siskinthread.routing._health import ServiceHealth
from siskinthread.routing._loads import TargetLoads
from siskinthread.routing._pools import PoolCache
from siskinthread.routing._rendezvous import home_of

ALERT_PRIORITY = 0
FAILURES = frozenset({Outcome.FAILED_RAN, Outcome.REFUSED_NOT_RUN})


class Router:
    """Chooses targets for one entry host.

    Parameters
    ----------
    settings : RoutingSettings
        Bounds and intervals.
    own_failure_domain : str
        Failure domain of this entry host.
    view : siskinthread.configuration.ConfigurationView
        The configuration in force.
    membership : siskinthread.membership.MembershipView
        Hosts, their failure domains, and which hosts are leaving.
    links : siskinthread.links.AgentLinks
        Links with the load reports.
    clock : siskinthread.timing.Clock
        Clock of deadlines and ages.
    metrics : siskinthread.observability.Metrics
        Registry.
    random : random.Random
        Source of the samples.
    """

    __slots__ = (
        "_affinity",
        "_choices",
        "_clock",
        "_health",
        "_links",
        "_loads",
        "_membership",
        "_pools",
        "_random",
        "_settings",
        "_view",
    )

    def __init__(
        self,
        settings,
        own_failure_domain,
        view,
        membership,
        links,
        clock,
        metrics,
        random,
    ):
        self._settings = settings
        self._view = view
        self._membership = membership
        self._links = links
        self._clock = clock
        self._random = random
        self._loads = TargetLoads(settings, membership, links, clock)
        self._pools = PoolCache(
            settings, own_failure_domain, membership, links, self._loads, clock
        )
        self._affinity = PrefixAffinity(settings)
        self._health = {}
        self._choices = metrics.counter(
            "routing_choices",
            "Choices of a target by the rule that made them.",
            ["rule"],
        )
        membership.listen(self._forget_departed)

    def home(self, service_name, idempotency_key, issued_at_ms):
        """Return the declared home of a key, None if the service has no hosts.

        Parameters
        ----------
        service_name : str
            Name of the service.
        idempotency_key : str
            The key.
        issued_at_ms : int
            Wall clock of the key's first issue, Unix milliseconds.
        """
        state = self._view.state
        if state is None:
            return None
        _, hosts = state.homes_at(service_name, issued_at_ms)
        return home_of(hosts, idempotency_key)

    def choose(self, request, excluded=()):
        """Return the name of the host for a request, or None.

        Parameters
        ----------
        request : siskinthread.dispatch.CallerRequest
            The request.  With an idempotency key, it goes to the key's home, whatever
            the state of this host.
        excluded : collection of str
            Hosts that have refused the request already.
        """
        if request.idempotency_key is not None:
            return self.home(
                request.service.name, request.idempotency_key, request.issued_at_ms
            )
        state = self._view.state
        if state is None:
            return None
        pool = self._pools.pool(state, request.account.name, request.service.name)
        health = self._service_health(request.service.name)
        health.review(pool.hosts)
        rule, host = self._pick(request, pool, health, excluded)
        if host is not None:
            self._choices.labels(rule).inc()
        return host

    def started(self, host, request):
        """Record that an attempt is being sent to a host."""
        self._loads.note_start(host)
        self._service_health(request.service.name).note_start(host, request)
        self._affinity.note(request, host)

    def first_byte(self, host, request, first_byte_s):
        """Record the first byte of an answer when it arrives.

        Parameters
        ----------
        host : str
            Host of the attempt.
        request : siskinthread.dispatch.CallerRequest
            The request.
        first_byte_s : float
            Seconds from the start to the first byte.
        """
        health = self._service_health(request.service.name)
        health.note_first_byte(host, request, first_byte_s)

    def ended(self, host, request, outcome, first_byte_s):
        """Record the end of an attempt.

        Parameters
        ----------
        host : str
            Host of the attempt.
        request : siskinthread.dispatch.CallerRequest
            The request.
        outcome : siskinthread.outcomes.Outcome
            Outcome of the attempt.
        first_byte_s : float or None
            Seconds from the start to the first byte, None if there was none; ignored
            after a call of `first_byte`.
        """
        self._loads.note_end(host)
        health = self._service_health(request.service.name)
        if first_byte_s is None:
            health.note_no_first_byte(host, request, outcome in FAILURES)
        else:
            health.note_first_byte(host, request, first_byte_s, is_live=False)

    def service_load(self, service_name):
        """Return the work of a service's targets divided by their capacity, or None."""
        return self._loads.service_load(service_name)

    def _forget_departed(self, membership):
        # Hosts are constantly replaced under new names; without this, the memory of an
        # entry host would grow until it is replaced itself.
        hosts = membership.agents()
        self._loads.forget_all_but(hosts)
        for health in self._health.values():
            health.forget_all_but(hosts)

    def _pick(self, request, pool, health, excluded):
        if request.priority == ALERT_PRIORITY:
            return "alert", self._least_waiting(pool, health, excluded)
        probed = health.due_probe(pool.hosts) if request.idempotent else None
        if probed is not None and self._is_usable(probed, excluded):
            health.note_probe(probed)
            return "probe", probed
        return self._pick_by_load(request, pool, health, excluded)

    def _pick_by_load(self, request, pool, health, excluded):
        own = self._best_of_sample(pool, pool.own, health, excluded)
        other = self._best_of_sample(pool, pool.other, health, excluded)
        rule, (load, host) = self._choose_domain(own, other)
        if host is None:
            return "last_resort", self._least_loaded(pool, excluded)
        preferred = self._affinity.host(request)
        limit = load + self._settings.affinity_bound
        if (
            preferred in pool.hosts
            and self._is_healthy(preferred, health, excluded)
            and self._loads.load(preferred, pool.mean_others_counts) <= limit
        ):
            return "prefix", preferred
        return rule, host

    def _choose_domain(self, own, other):
        if own[1] is None:
            return "other_domain", other
        if other[1] is None or own[0] <= self._own_load_limit(other[0]):
            return "own_domain", own
        return "spill", other

    def _own_load_limit(self, other_load):
        bounded = other_load + self._settings.spill_bound
        return max(other_load, min(bounded, self._settings.own_load_limit))

    def _best_of_sample(self, pool, hosts, health, excluded):
        best = float("inf"), None
        for host in self._sample(hosts, health, excluded):
            load = self._loads.load(host, pool.mean_others_counts)
            if load < best[0]:
                best = load, host
        return best

    def _sample(self, hosts, health, excluded):
        count = self._settings.choice_count
        if len(hosts) > count:
            sampled = [hosts[self._index(hosts)] for _ in range(count)]
            sampled = [
                host for host in sampled if self._is_healthy(host, health, excluded)
            ]
            if sampled:
                return sampled
        healthy = [host for host in hosts if self._is_healthy(host, health, excluded)]
        # The first of equally loaded hosts wins, so the order is rotated at random.
        start = self._index(healthy) if healthy else 0
        return healthy[start:] + healthy[:start]

    def _index(self, hosts):
        return int(self._random.random() * len(hosts))

    def _least_waiting(self, pool, health, excluded):
        healthy = [
            host for host in pool.hosts if self._is_healthy(host, health, excluded)
        ]
        if not healthy:
            return self._least_loaded(pool, excluded)
        means = pool.mean_others_counts

        def waiting_key(host):
            waiting_count = self._loads.waiting_count(host)
            return waiting_count, self._loads.load(host, means), self._random.random()

        return min(healthy, key=waiting_key)

    def _least_loaded(self, pool, excluded):
        usable = [host for host in pool.hosts if self._is_usable(host, excluded)]
        means = pool.mean_others_counts
        return min(usable, key=lambda host: self._loads.load(host, means), default=None)

    def _is_healthy(self, host, health, excluded):
        return not health.is_ejected(host) and self._is_usable(host, excluded)

    def _is_usable(self, host, excluded):
        if host in excluded or self._membership.is_leaving(host):
            return False
        status = self._links.status(host)
        if status is None or not status.connected or status.leaving:
            return False
        report = status.load
        return report is None or not (report.leaving or report.stalled)

    def _service_health(self, service_name):
        health = self._health.get(service_name)
        if health is None:
            health = ServiceHealth(self._settings, self._loads, self._clock)
            self._health[service_name] = health
        return health
