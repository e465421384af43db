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
        Hosts, their failure domains, and which are leaving.
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
        membership.listen(self._forget_gone)

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
        """Return the name of the host that shall get a request, or None.

        Parameters
        ----------
        request : siskinthread.dispatch.CallerRequest
            The request.  One with an idempotency key goes to the key's home, whatever
            the state of that.
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
        """Note that an attempt is being sent to a host."""
        self._loads.note_start(host)
        self._service_health(request.service.name).note_start(host, request)
        self._affinity.note(request, host)

    def first_byte(self, host, request, first_byte_s):
        """Note the first byte of an answer as it comes.

        Parameters
        ----------
        host : str
            Where the attempt went.
        request : siskinthread.dispatch.CallerRequest
            The request.
        first_byte_s : float
            Seconds from the start to the first byte.
        """
        health = self._service_health(request.service.name)
        health.note_first_byte(host, request, first_byte_s)

    def ended(self, host, request, outcome, first_byte_s):
        """Note that an attempt has ended.

        Parameters
        ----------
        host : str
            Where it went.
        request : siskinthread.dispatch.CallerRequest
            The request.
        outcome : siskinthread.outcomes.Outcome
            What became of it.
        first_byte_s : float or None
            Seconds from the start to the first byte, None if there was none; ignored
            if `first_byte` has told it already.
        """
        self._loads.note_end(host)
        health = self._service_health(request.service.name)
        if first_byte_s is None:
            health.note_no_first_byte(host, request, outcome in FAILURES)
        else:
            health.note_first_byte(host, request, first_byte_s, at_once=False)

    def service_load(self, service_name):
        """Return the work of a service's targets over their capacity, or None."""
        return self._loads.service_load(service_name)

    def _forget_gone(self, membership):
        # Hosts are replaced under new names all the time; without this, the memory of
        # an entry host would grow until it is replaced itself.
        hosts = membership.agents()
        self._loads.forget_all_but(hosts)
        for health in self._health.values():
            health.forget_all_but(hosts)

    def _pick(self, request, pool, health, excluded):
        if request.priority == ALERT_PRIORITY:
            return "alert", self._least_waiting(pool, health, excluded)
        probed = health.due_probe(pool.hosts) if request.idempotent else None
        if probed is not None and self._usable(probed, excluded):
            health.note_probe(probed)
            return "probe", probed
        return self._pick_by_load(request, pool, health, excluded)

    def _pick_by_load(self, request, pool, health, excluded):
        own = self._best_of_some(pool, pool.own, health, excluded)
        other = self._best_of_some(pool, pool.other, health, excluded)
        rule, (load, host) = self._own_or_other(own, other)
        if host is None:
            return "last_resort", self._least_loaded(pool, excluded)
        preferred = self._affinity.host(request)
        limit = load + self._settings.affinity_bound
        if (
            preferred in pool.hosts
            and self._healthy(preferred, health, excluded)
            and self._loads.load(preferred, pool.mean_others_counts) <= limit
        ):
            return "prefix", preferred
        return rule, host

    def _own_or_other(self, own, other):
        if own[1] is None:
            return "other_domain", other
        if other[1] is None or own[0] <= self._own_load_limit(other[0]):
            return "own_domain", own
        return "spill", other

    def _own_load_limit(self, other_load):
        bounded = other_load + self._settings.spill_bound
        return max(other_load, min(bounded, self._settings.own_load_limit))

    def _best_of_some(self, pool, hosts, health, excluded):
        best = float("inf"), None
        for host in self._draw(hosts, health, excluded):
            load = self._loads.load(host, pool.mean_others_counts)
            if load < best[0]:
                best = load, host
        return best

    def _draw(self, hosts, health, excluded):
        count = self._settings.choice_count
        if len(hosts) > count:
            drawn = [hosts[self._index(hosts)] for _ in range(count)]
            drawn = [host for host in drawn if self._healthy(host, health, excluded)]
            if drawn:
                return drawn
        healthy = [host for host in hosts if self._healthy(host, health, excluded)]
        # The first of equally loaded hosts wins, so each has to come first at times.
        start = self._index(healthy) if healthy else 0
        return healthy[start:] + healthy[:start]

    def _index(self, hosts):
        return int(self._random.random() * len(hosts))

    def _least_waiting(self, pool, health, excluded):
        healthy = [host for host in pool.hosts if self._healthy(host, health, excluded)]
        if not healthy:
            return self._least_loaded(pool, excluded)
        means = pool.mean_others_counts

        def waiting_key(host):
            waiting_count = self._loads.waiting_count(host)
            return waiting_count, self._loads.load(host, means), self._random.random()

        return min(healthy, key=waiting_key)

    def _least_loaded(self, pool, excluded):
        usable = [host for host in pool.hosts if self._usable(host, excluded)]
        means = pool.mean_others_counts
        return min(usable, key=lambda host: self._loads.load(host, means), default=None)

    def _healthy(self, host, health, excluded):
        return not health.is_ejected(host) and self._usable(host, excluded)

    def _usable(self, host, excluded):
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
