"""Selection of the target for an attempt."""

import itertools

from siskinthread.gateway._choice_refusals import ChoiceRefusals
from siskinthread.gateway._connection_preference import ConnectionPreference
from siskinthread.load_control import BindingCause
from siskinthread.outcomes import End


class TargetChoice:
    """Selects one of the least loaded targets.

    Parameters
    ----------
    parts : GatewayParts
        Settings, target list, loads, limits and health.
    failure_domain : str
        Failure domain of this host.

    Attributes
    ----------
    group_of : callable
        Called with an instance id; returns the name of the target's group, or None.
        The ranks of a group run in lock-step, so the load of one rank slows all of
        them.
    may_try_unhealthy : callable
        Called with the name of a service that has no healthy target; returns whether
        a request that has not been sent to any target may be sent to an unhealthy one.

    Notes
    -----
    Requests that peers have started since their last update are not visible here.  With
    39 hosts these are an estimated 25 requests.  If every host picked the least loaded
    target, all of them would send to the few targets that looked idle at the last
    update: 27 of 100 streams were late or abandoned by their callers although an
    estimated two fifths of the slots were free.  Therefore loads that differ by less
    than the number of invisible requests count as equal, and the target is drawn at
    random from as many targets as there are invisible requests.
    """

    __slots__ = (
        "_avoided",
        "_backoffs",
        "_cold",
        "_connections",
        "_failure_domain",
        "_health",
        "_limits",
        "_load_control",
        "_loads",
        "_outages",
        "_measures",
        "_progress",
        "_random",
        "_reachability",
        "_refusals",
        "_settings",
        "_slow_targets",
        "_targets",
        "group_of",
        "may_try_unhealthy",
    )

    def __init__(self, parts, failure_domain):
        self._failure_domain = failure_domain
        self._settings = parts.settings
        self._targets = parts.targets
        self._load_control = parts.load_control
        self._loads = parts.loads
        self._health = parts.health
        self._outages = parts.outages
        self._progress = parts.progress
        self._slow_targets = parts.slow_targets
        self._limits = parts.limits
        self._backoffs = parts.backoffs
        self._avoided = parts.avoided
        self._cold = parts.cold
        self._connections = ConnectionPreference(
            parts.settings.connections, parts.pool.idle.has_reusable
        )
        self._measures = parts.measures
        self._random = parts.random
        self._reachability = parts.reachability
        self._refusals = ChoiceRefusals(parts, self.retry_delay_s)
        self.group_of = _no_group
        self.may_try_unhealthy = _always

    @property
    def return_times(self):
        """`ReturnTimes` that decides when refused callers retry, or None."""
        return self._refusals.return_times

    @return_times.setter
    def return_times(self, return_times):
        self._refusals.return_times = return_times

    def choose(self, request, tried_ids):
        """Return the target for a request, or a refusal if there is none.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        tried_ids : set of str
            Instance ids of targets that have failed or declined the request.

        Returns
        -------
        TargetEntry or siskinthread.outcomes.End
        """
        serving = self._targets.serving(request.service_name)
        fresh = [entry for entry in serving if entry.instance_id not in tried_ids]
        if not fresh:
            return self._refusals.for_no_target(request)
        may_try = request.route.attempt_limit > len(tried_ids) + 1
        not_backed_off = self._backoffs.admitted(fresh, may_try)
        if not not_backed_off:
            return self._refusals.for_backoff(request, fresh)
        admitted = self._within_rates(not_backed_off, request)
        if isinstance(admitted, End):
            return admitted
        healthy = self._healthy_targets(admitted)
        tried_groups = {self.group_of(one) for one in tried_ids} - {None}
        # A request that failed at one rank of a group fails at all of its ranks.
        in_other_groups = [
            entry
            for entry in healthy
            if self.group_of(entry.instance_id) not in tried_groups
        ]
        candidates = self._without_slow(in_other_groups or healthy)
        is_outage = not candidates and not self._healthy_targets(serving)
        if not candidates and self._may_try_any(request, tried_ids, is_outage):
            # With no healthy target, an unhealthy one still gets the first attempt: it
            # may have recovered, and a target that declines does so within
            # milliseconds.  A second attempt would have no better chance; such attempts
            # used 148 retries where the budget allowed 110.
            candidates = [entry for entry in admitted if self._may_try(entry)]
        if not candidates:
            message = f"All {len(serving)} targets fail or decline requests."
            cause = BindingCause.OUTAGE if is_outage else BindingCause.NO_TARGET
            return self._refusals.for_cause(cause, request, message)
        preferred = self._avoided.exclude_avoided(candidates)
        if not preferred:
            return self._choose_by_load(request, candidates, serving)
        chosen = self._choose_by_load(request, preferred, serving)
        if isinstance(chosen, End) and len(preferred) < len(candidates):
            return self._choose_by_load(request, candidates, serving)
        return chosen

    def _within_rates(self, entries, request):
        """Return the targets whose rate limits admit the request, or its refusal.

        Parameters
        ----------
        entries : list of TargetEntry
            Targets to check, at least one.
        request : GatewayRequest
            The request.

        Returns
        -------
        list of TargetEntry or TargetRefusal
        """
        service_name = request.service_name
        limited = self._limits.admitted(entries, service_name, request.priority)
        if not limited:
            return self._refusals.for_limits(request, entries)
        is_urgent = self._limits.is_most_urgent(service_name, request.priority)
        admitted = self._cold.admitted(limited, service_name, is_urgent)
        if len(admitted) < len(limited):
            self._measures.cold_turned_away(service_name)
        return admitted or self._refusals.for_cold(request, limited)

    def _choose_by_load(self, request, candidates, serving):
        """Return one of the candidates by load, or a refusal if all are overloaded.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        candidates : list of TargetEntry
            Targets that may get the request.
        serving : list of TargetEntry
            All targets of the service.

        Returns
        -------
        TargetEntry or TargetRefusal
        """
        with self._loads.cached_totals():
            return self._choose_at_held_loads(request, candidates, serving)

    def _choose_at_held_loads(self, request, candidates, serving):
        """Implement `_choose_by_load` while the loads are held constant."""
        control = self._load_control
        admission = control.evaluate(request, candidates, self.group_of)
        entries = self._preferred(admission, serving)
        # Without groups, always reusing connections would leave equally loaded targets
        # without any request.
        is_grouped = self.group_of(entries[0].instance_id) is not None
        may_reuse = request.kind.is_repeatable and is_grouped
        if self._loads.are_peers_crowded():
            chosen = self._choose_across_domains(entries, may_reuse)
        else:
            group_loads = self._group_loads(serving)
            chosen = self._choose_among_equals(entries, group_loads, may_reuse)
        load = self._mean_load(
            [one for one in admission.usable if self._has_same_delay(one, chosen)]
        )
        cause = control.refusal_cause(admission, chosen, load)
        if cause is None:
            return chosen
        message = control.explain(cause, admission, chosen, load)
        return self._refusals.for_cause(cause, request, message)

    def retry_delay_s(self, request, cause=BindingCause.FULL):
        """Return how long a refused caller should wait before it retries, seconds.

        Parameters
        ----------
        request : GatewayRequest
            The refused request.
        cause : siskinthread.load_control.BindingCause
            Why no target can take the request.
        """
        is_outage = not self._healthy_targets(
            self._targets.serving(request.service_name)
        )
        if is_outage:
            cause = BindingCause.OUTAGE
        return self._refusals.retry_delay_s(request, cause, is_outage)

    def _may_try_any(self, request, tried_ids, is_outage):
        """Return whether a request may be sent to an unhealthy target."""
        if is_outage and not self.may_try_unhealthy(request.service_name):
            return False
        return not tried_ids

    def _healthy_targets(self, entries):
        """Return the reachable targets that do not fail and have no failing group."""
        groups = {self.group_of(entry.instance_id) for entry in entries}
        failing = {group for group in groups if self._is_group_failing(group)}
        return [
            entry
            for entry in self._reachability.reachable(entries)
            if self.group_of(entry.instance_id) not in failing
            and not self._health.is_ejected(entry.instance_id)
        ]

    def _is_group_failing(self, group):
        if self._outages.is_broken(group):
            return not self._outages.is_test_due(group)
        return self._progress.is_stalled(group)

    def _may_try(self, entry):
        """Return whether an unhealthy target may get a request.

        A broken group declines every request; reports from its ranks show when it
        accepts requests again.
        """
        return self._outages.may_test(self.group_of(entry.instance_id))

    def _without_slow(self, entries):
        """Return the targets that are not slow, or all targets if all are slow.

        When the other targets are full, requests are refused rather than sent to slow
        ranks: a request at a slow rank makes all streams of its group late.
        """
        slow_ids = self._slow_targets.ids()
        if not slow_ids:
            return entries
        return [one for one in entries if one.instance_id not in slow_ids] or entries

    def _preferred(self, admission, serving):
        """Return the targets of an admission that are expected to answer first.

        Returns all of them if their speeds do not differ measurably.
        """
        entries, speeds = admission.admitting, self._load_control.speeds
        request = admission.request
        if self.group_of(entries[0].instance_id) is None:
            return speeds.prefer(request, serving, entries, admission.max_load)
        slow = speeds.slow_groups(
            request.service_name, lambda: self._group_means(serving)
        )
        if not slow:
            return entries
        fast = [one for one in entries if self.group_of(one.instance_id) not in slow]
        # A full fast group already delays its streams while it is still faster than a
        # slow group.
        free = [one for one in fast if self._load(one) < 1]
        return free or entries

    def _group_loads(self, serving):
        """Return the mean load of each group, as `dict` of group to load.

        A mean that exceeds the lowest mean by less than the requests of peers that are
        not visible yet is set to the lowest mean.
        """
        loads = {}
        slots = {}
        for entry in serving:
            group = self.group_of(entry.instance_id)
            if group is not None:
                loads.setdefault(group, []).append(self._load(entry))
                slots[group] = slots.get(group, 0) + entry.slot_count
        means = {group: sum(one) / len(one) for group, one in loads.items()}
        least = min(means.values(), default=0.0)
        unseen_count = self._loads.unseen_count()
        return {
            group: least
            if mean <= least + unseen_count / max(1, slots[group])
            else mean
            for group, mean in means.items()
        }

    def _group_means(self, serving):
        """Return the mean load of each group, as `dict` of group to load."""
        loads = {}
        for entry in serving:
            group = self.group_of(entry.instance_id)
            if group is not None:
                loads.setdefault(group, []).append(self._load(entry))
        return {group: sum(one) / len(one) for group, one in loads.items()}

    def _choose_among_equals(self, entries, group_loads, may_reuse):
        """Return one of the targets that are indistinguishable from the best one."""
        sort_keys = {entry: self._sort_key(entry, group_loads) for entry in entries}
        ordered = sorted(entries, key=sort_keys.get)
        best = sort_keys[ordered[0]]
        indistinguishable = [
            entry
            for entry in ordered[: 1 + round(self._loads.unseen_count())]
            # Excludes full targets and targets of busier groups.
            if sort_keys[entry][:2] == best[:2]
        ]
        # Targets that differ from the best one only in the random tie-breaker.
        equal = itertools.takewhile(lambda one: sort_keys[one][:4] == best[:4], ordered)
        equal_to_best = max(indistinguishable, list(equal), key=len)
        busier = self._busier_ranks(ordered, len(equal_to_best), sort_keys)
        decision = self._connections.decide(equal_to_best, may_reuse, busier)
        self._measures.connection_preferred(decision.basis)
        return self._random.choice(decision.entries or indistinguishable)

    def _busier_ranks(self, ordered, start_index, sort_keys):
        """Yield ranks with a free slot in the group of the best target, by load.

        Parameters
        ----------
        ordered : list of TargetEntry
            Targets, the best one first.
        start_index : int
            Index in `ordered` of the first target to consider.
        sort_keys : dict of TargetEntry to tuple
            Sort keys of the targets.

        Yields
        ------
        extra_count : int
            How many requests more than the best target the rank has.
        entry : TargetEntry
            The rank.
        """
        best = ordered[0]
        group = self.group_of(best.instance_id)
        is_full, *_ = sort_keys[best]
        if group is None or is_full:
            return
        least_count = self._loads.total(best.instance_id)
        for entry in ordered[start_index:]:
            if sort_keys[entry][:2] != sort_keys[best][:2]:
                return
            leaves_domain = self._is_local(best) and not self._is_local(entry)
            if self.group_of(entry.instance_id) == group and not leaves_domain:
                yield self._loads.total(entry.instance_id) - least_count, entry

    def _choose_across_domains(self, entries, may_reuse):
        """Return a target when only hosts of the own failure domain report loads often.

        Notes
        -----
        Loads reported by other failure domains are a second old.  A target there that
        looks idle looks idle to all hosts, and all of them send to it: with two thirds
        of all requests sent to other domains, a third of these met a target without a
        free slot.  Therefore requests leave the own domain only if the mean load of the
        other domains, which changes slowly, is clearly lower; the target there is drawn
        at random.
        """
        local = [entry for entry in entries if self._is_local(entry)]
        remote = [entry for entry in entries if not self._is_local(entry)]
        if not remote or (local and not self._is_remote_less_loaded(local, remote)):
            return self._choose_among_equals(local, {}, may_reuse)
        free = [entry for entry in remote if self._load(entry) < 1]
        if not free:
            return self._choose_among_equals(remote, {}, may_reuse)
        drawn = self._draw_by_free_share(free)
        # A kept connection counts only at a target that is no busier than the drawn
        # one.
        no_busier = [entry for entry in free if self._load(entry) <= self._load(drawn)]
        decision = self._connections.decide(no_busier, may_reuse)
        self._measures.connection_preferred(decision.basis)
        return self._draw_by_free_share(decision.entries) if decision.entries else drawn

    def _draw_by_free_share(self, entries):
        """Return a random target, weighted by its share of free slots."""
        weights = [1 - self._load(entry) for entry in entries]
        return self._random.choices(entries, weights)[0]

    def _is_remote_less_loaded(self, local, remote):
        """Return whether other failure domains are clearly less loaded than the own."""
        local_load, remote_load = self._mean_load(local), self._mean_load(remote)
        if local_load >= self._settings.full_load:
            return remote_load < local_load
        return local_load - remote_load > self._settings.away_load

    def _has_same_delay(self, entry, chosen):
        """Return whether the loads of two targets are reported with the same delay."""
        if not self._loads.are_peers_crowded():
            return True
        return self._is_local(entry) == self._is_local(chosen)

    def _mean_load(self, entries):
        return sum(self._load(entry) for entry in entries) / len(entries)

    def _is_local(self, entry):
        return entry.failure_domain == self._failure_domain

    def _sort_key(self, entry, group_loads):
        load = self._load(entry)
        group_load = group_loads.get(self.group_of(entry.instance_id), 0.0)
        is_remote = not self._is_local(entry)
        return load >= 1, group_load, load, is_remote, self._random.random()

    def _load(self, entry):
        """Return the number of requests per slot of a target."""
        return self._loads.total(entry.instance_id) / max(1, entry.slot_count)


def _no_group(instance_id):
    return None


def _always(service_name):
    return True
