"""State that all requests of one gateway share."""

import math

from siskinthread.gateway._account_shares import AccountShares
from siskinthread.gateway._answer_forecast import AnswerForecast
from siskinthread.gateway._avoided_targets import AvoidedTargets
from siskinthread.gateway._domain_reachability import DomainReachability
from siskinthread.gateway._evacuations import Evacuations
from siskinthread.gateway._group_outages import GroupOutages
from siskinthread.gateway._group_progress import GroupProgress
from siskinthread.gateway._host_share import HostShare
from siskinthread.gateway._reachability_checks import ReachabilityChecks
from siskinthread.gateway._refusals import Refusals
from siskinthread.gateway._return_times import ReturnTimes
from siskinthread.gateway._slow_sends import SlowSends
from siskinthread.gateway._slow_targets import SlowTargets
from siskinthread.gateway._target_choice import TargetChoice
from siskinthread.gateway._target_health import TargetHealth
from siskinthread.gateway._target_list import TargetList
from siskinthread.gateway._target_loads import TargetLoads
from siskinthread.gateway._target_pool import TargetPool
from siskinthread.gateway._waiting_room import WaitingRoom
from siskinthread.http_server import BodyBudget
from siskinthread.load_control import LoadControl
from siskinthread.poison_requests import PartGuard, PoisonRegister
from siskinthread.retry_budget import FleetShare, ServiceRetryBudgets
from siskinthread.target_limits import ColdTargets, TargetBackoffs, TargetLimits


class Measures:
    """Metrics of requests and attempts.

    Parameters
    ----------
    metrics : siskinthread.observability.Metrics
        The registry.
    """

    __slots__ = (
        "_attempts",
        "_backoffs",
        "_cold",
        "_connections",
        "_parts",
        "_placed",
        "_preferences",
        "_requests",
        "_seconds",
        "_withheld",
    )

    def __init__(self, metrics):
        self._requests = metrics.counter(
            "gateway_requests",
            "Requests by route, status and outcome.",
            ("route", "status", "outcome"),
        )
        self._attempts = metrics.counter(
            "gateway_attempts", "Attempts at targets by result.", ("result",)
        )
        self._backoffs = metrics.counter(
            "gateway_backoffs_requested",
            "Answers that requested back-off, by service.",
            ("service",),
        )
        self._cold = metrics.counter(
            "gateway_cold_turned_away",
            "Choices in which the quota of a cold target was used up, by service.",
            ("service",),
        )
        self._connections = metrics.counter(
            "gateway_target_connections",
            "Connections that attempts were sent on, new or kept.",
            ("kind",),
        )
        self._parts = metrics.counter(
            "gateway_suspected_parts",
            "Requests with a suspected part of a prompt, tried or refused.",
            ("result",),
        )
        self._preferences = metrics.counter(
            "gateway_connection_preferences",
            "Choices of a target, by whether a kept connection decided.",
            ("basis",),
        )
        self._placed = metrics.counter(
            "gateway_placed_by_speed",
            "Choices in which the speed of targets counted, by what came of it.",
            ("result",),
        )
        self._withheld = metrics.counter(
            "gateway_evacuation_withheld",
            "Requests that an evacuation has kept off targets, by stage.",
            ("stage",),
        )
        self._seconds = metrics.histogram(
            "gateway_request_seconds",
            "Time from the head of a request to the end of its answer, by route.",
            ("route",),
        )

    def attempt_ended(self, result):
        """Count an attempt by its `AttemptResult`."""
        self._attempts.labels(result.value).inc()

    def backoff_requested(self, service_name):
        """Count an answer that requested back-off."""
        self._backoffs.labels(service_name).inc()

    def cold_turned_away(self, service_name):
        """Count a choice in which the quota of a cold target was used up."""
        self._cold.labels(service_name).inc()

    def part_suspected(self, result):
        """Count a request with a suspected part of a prompt, `tried` or `refused`."""
        self._parts.labels(result).inc()

    def connection_taken(self, kind):
        """Count a connection that an attempt uses, `new` or `kept`."""
        self._connections.labels(kind).inc()

    def connection_preferred(self, basis):
        """Count a target selection by its `PreferenceBasis`."""
        self._preferences.labels(basis.value).inc()

    def placed_by_speed(self, result):
        """Count a target selection that excluded slow targets, or that tried one."""
        self._placed.labels(result).inc()

    def withheld_at_write(self):
        """Count a request whose target was evacuated after it was chosen."""
        self._withheld.labels("write").inc()

    def withheld_at_choice(self):
        """Count a request for a service whose targets are all evacuated."""
        self._withheld.labels("choice").inc()

    def request_ended(self, route_name, status, outcome, took_s):
        """Count an ended request and its duration."""
        self._requests.labels(route_name, str(status), outcome.label).inc()
        self._seconds.labels(route_name).observe(took_s)


class GatewayParts:
    """Components that requests use.

    Parameters
    ----------
    settings : GatewaySettings
        Limits and times.
    failure_domain : str
        Failure domain of this host.
    wire : object
        Reads and writes the headers exchanged with callers and targets, see `Gateway`.
    clock : siskinthread.timing.Clock
        Clocks.
    metrics : siskinthread.observability.Metrics
        The registry.
    random : random.Random
        Random generator for tie-breaking and jitter.
    """

    __slots__ = (
        "accounts",
        "answers",
        "avoided",
        "budgets",
        "choice",
        "clock",
        "cold",
        "evacuations",
        "forecast",
        "health",
        "host_share",
        "limits",
        "load_control",
        "loads",
        "measures",
        "outages",
        "part_guard",
        "poison",
        "pool",
        "progress",
        "random",
        "reachability",
        "reachability_checks",
        "backoffs",
        "refusals",
        "retry_part",
        "sends",
        "returns",
        "settings",
        "slow_targets",
        "targets",
        "waiting_room",
        "wire",
    )

    def __init__(self, settings, failure_domain, wire, clock, metrics, random):
        self.settings = settings
        self.wire = wire
        self.clock = clock
        self.random = random
        self.measures = Measures(metrics)
        self.retry_part = FleetShare(settings)
        self.budgets = ServiceRetryBudgets(self.retry_part, clock)
        self.answers = BodyBudget(settings.answers_limit_bytes or math.inf)
        self.sends = SlowSends(clock)
        self.evacuations = Evacuations(settings, clock)
        self.targets = TargetList(settings, clock)
        self.targets.evacuated_domains = self.evacuations.domains
        self.loads = TargetLoads(settings, clock)
        self.health = TargetHealth(settings, clock)
        self.pool = TargetPool(settings, clock, self.measures)
        self.progress = GroupProgress(settings, clock)
        self.outages = GroupOutages(
            settings, clock, self.targets, self.health, self.progress, metrics
        )
        # Looked up on each call, as `choice.group_of` is replaced once groups are
        # known.
        self.outages.group_of = lambda instance_id: self.choice.group_of(instance_id)
        self.accounts = AccountShares(settings, clock)
        self.slow_targets = SlowTargets(settings, clock)
        self.poison = PoisonRegister(settings.poison, clock)
        self.part_guard = PartGuard(settings.poison, clock, self.poison)
        self.limits = TargetLimits(settings.limits, clock, random)
        self.backoffs = TargetBackoffs(settings.backoff, clock, random)
        self.avoided = AvoidedTargets(settings, clock)
        self.reachability = DomainReachability(settings, clock)
        self.reachability_checks = ReachabilityChecks(self)
        self.cold = ColdTargets(settings.cold, clock, random)
        self.cold.evacuations = self.evacuations
        self.targets.listen_to_entries(self.cold.note_entry)
        self.load_control = LoadControl(self)
        # Looked up on each call, as `choice.group_of` is replaced once groups are
        # known.
        self.load_control.speeds.group_of = lambda one: self.choice.group_of(one)
        self.targets.listen(self._forget)
        self.choice = TargetChoice(self, failure_domain)
        self.waiting_room = WaitingRoom(self, metrics)
        self.waiting_room.outages = self.outages
        self.forecast = AnswerForecast(clock)
        self.host_share = HostShare(settings, self.targets, self.loads)
        self.returns = ReturnTimes(self, self.host_share, metrics)
        self.refusals = Refusals(self, metrics)

    def note_demands(self, entry, facts):
        """Record the demands of a target in any answer, except for rate limits.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        facts : AnswerFacts
            Headers of its answer.
        """
        if facts.stated_backoff.wait_s > 0:
            self.measures.backoff_requested(entry.service_name)
        if facts.is_leaving:
            self.targets.note_leaving_answer(entry.instance_id)

    def note_internal_answer(self, entry, sent_at_s, facts):
        """Record what a target states in an answer to an internal call.

        Such answers may lack headers that answers to requests have, so a missing header
        does not revoke an earlier statement.
        """
        if facts.stated_limit.rate_per_s is not None:
            self.limits.note_answer(entry, sent_at_s, facts.stated_limit)
        if facts.stated_backoff.wait_s > 0:
            self.backoffs.note_answer(entry, sent_at_s, facts.stated_backoff)
        self.cold.note_answer(entry, facts.cold_left_s)
        self.note_demands(entry, facts)

    def _forget(self, entry):
        """Drop the state of a target that gets no more requests."""
        self.health.forget(entry.instance_id)
        self.loads.forget(entry.instance_id)
        self.limits.forget(entry.instance_id)
        self.avoided.forget(entry.instance_id)
        self.load_control.speeds.forget(entry.instance_id)
        self.cold.forget(entry.instance_id)
