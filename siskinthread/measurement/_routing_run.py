"""Run of the routing model: entry hosts, their links and the traffic."""

import math
import random

from siskinthread.configuration import Account, ConfigurationView, Service
from siskinthread.dispatch import CallerRequest
from siskinthread.measurement._routing_model import (
    EventQueue,
    ModelRequest,
    ModelTarget,
)
from siskinthread.measurement._routing_parts import (
    ModelLinks,
    ModelMembership,
    ModelState,
    SERVICE_NAME,
)
from siskinthread.observability import Metrics
from siskinthread.outcomes import Outcome
from siskinthread.routing import Router, RoutingSettings
from siskinthread.timing import Deadline
from siskinthread.wire import LoadReport

DRAFT_PRIORITY = 2
SAMPLE_INTERVAL_S = 0.05


class RunResult:
    """Results of one run.

    Attributes
    ----------
    first_token_s : list of float
        Time from the choice of a target to the first token of each request, seconds.
    domain_excess : float
        Highest load of a failure domain in excess of its capacity, relative to the
        capacity, while another domain had free capacity.
    target_shares : dict of str to float
        Share of the measured requests by target.
    unanswered_count : int
        Number of requests without a first token at the end.
    """

    __slots__ = ("domain_excess", "first_token_s", "target_shares", "unanswered_count")

    def __init__(self):
        self.first_token_s = []
        self.domain_excess = 0.0
        self.target_shares = {}
        self.unanswered_count = 0


class Run:
    """Run of one policy with one scenario and seed.

    Parameters
    ----------
    scenario : siskinthread.measurement._routing_scenario.Scenario
        Sizes and loads.
    make_policy : callable
        Called with this run and the links, failure domain and random generator of an
        entry host; returns its policy.
    seed : int
        Seed of traffic and policies; the traffic is the same for every policy.
    """

    def __init__(self, scenario, make_policy, seed):
        self.scenario = scenario
        self.events = EventQueue()
        self.hosts = scenario.hosts()
        self.targets = {
            host: ModelTarget(self.events, host, domain, scenario)
            for host, domain in self.hosts.items()
        }
        self._traffic = random.Random(seed)
        self._entries = []
        for domain, count in scenario.entry_counts.items():
            for _ in range(count):
                links = ModelLinks(self.hosts)
                generator = random.Random(f"{seed}/{len(self._entries)}")
                policy = make_policy(self, links, domain, generator)
                self._entries.append((policy, links, domain))
        self._issued = []
        self._sent_counts = dict.fromkeys(self.hosts, 0)
        self.result = RunResult()
        self._service = Service(SERVICE_NAME, {}, "engine")
        self._account = Account("inspectorate", {}, [])

    def measure(self):
        """Run the model to its end and return the `RunResult`."""
        for _, links, _ in self._entries:
            self._schedule_reports(links)
        self._schedule_arrival()
        self.events.call_after(self.scenario.measured_from_s, self._sample_domains)
        self.events.run_until(self.scenario.end_s)
        self._collect()
        return self.result

    def _schedule_reports(self, links):
        for host in self.hosts:
            offset_s = self._traffic.random() * self.scenario.report_interval_s
            self.events.call_after(offset_s, self._read_load, links.status(host), host)

    def _read_load(self, status, host):
        target = self.targets[host]
        scenario = self.scenario
        age_ms = round(scenario.report_age_s * 1000)
        report = LoadReport(
            target.running_count,
            target.waiting_count,
            scenario.capacity_count,
            age_ms,
            False,
            False,
        )
        self.events.call_after(scenario.report_age_s, self._deliver, status, report)
        wait_s = scenario.report_interval_s
        self.events.call_after(wait_s, self._read_load, status, host)

    def _deliver(self, status, report):
        status.load = report
        status.load_received_at_s = self.events.now_s()

    def _schedule_arrival(self):
        wait_s = self._traffic.expovariate(self.scenario.request_rate_per_s())
        self.events.call_after(wait_s, self._arrive)

    def _arrive(self):
        shares = self.scenario.demand_shares
        (domain,) = self._traffic.choices(list(shares), list(shares.values()))
        entries = [entry for entry in self._entries if entry[2] == domain]
        policy, _, _ = self._traffic.choice(entries)
        token_count = 1 + int(
            self._traffic.expovariate(1.0 / self.scenario.token_count_mean)
        )
        model_request = self._new_request(token_count)
        self._send(model_request, policy, domain)
        self._schedule_arrival()

    def _new_request(self, token_count):
        now_s = self.events.now_s()
        request = CallerRequest(
            f"request-{len(self._issued)}",
            self._account,
            self._service,
            "POST",
            "/v1/chat/completions",
            [],
            b"",
            True,
            Deadline.after(self.events.clock, 60.0),
            DRAFT_PRIORITY,
        )
        model_request = ModelRequest(request, token_count, now_s)
        self._issued.append(model_request)
        return model_request

    def _send(self, model_request, policy, domain):
        request = model_request.request
        host = policy.choose(request)
        policy.started(host, request)
        if self.events.now_s() >= self.scenario.measured_from_s:
            self._sent_counts[host] += 1
        target = self.targets[host]
        delay_s = self.scenario.one_way_s(domain, target.failure_domain)
        sent_at_s = self.events.now_s()

        def on_first_token(model_request):
            self.events.call_after(delay_s, note_first_token, model_request)

        def on_end(model_request):
            self.events.call_after(delay_s, note_end, model_request)

        def note_first_token(model_request):
            model_request.first_token_s = self.events.now_s() - sent_at_s
            policy.first_byte(host, request, model_request.first_token_s)

        def note_end(model_request):
            first_byte_s = model_request.first_token_s
            policy.ended(host, request, Outcome.ANSWERED, first_byte_s)

        self.events.call_after(
            delay_s, target.submit, model_request, on_first_token, on_end
        )

    def _sample_domains(self):
        loads = self._domain_loads()
        for domain, load in loads.items():
            others = [other for name, other in loads.items() if name != domain]
            if min(others, default=math.inf) < 1.0:
                excess = load - 1.0
                self.result.domain_excess = max(self.result.domain_excess, excess)
        self.events.call_after(SAMPLE_INTERVAL_S, self._sample_domains)

    def _domain_loads(self):
        work = dict.fromkeys(self.scenario.target_counts, 0)
        for target in self.targets.values():
            work[target.failure_domain] += target.running_count + target.waiting_count
        return {
            domain: work[domain] / (count * self.scenario.capacity_count)
            for domain, count in self.scenario.target_counts.items()
        }

    def _collect(self):
        result = self.result
        total_count = max(1, sum(self._sent_counts.values()))
        result.target_shares = {
            host: count / total_count for host, count in self._sent_counts.items()
        }
        for model_request in self._issued:
            if model_request.issued_at_s < self.scenario.measured_from_s:
                continue
            if model_request.first_token_s is None:
                result.unanswered_count += 1
                waited_s = self.events.now_s() - model_request.issued_at_s
                result.first_token_s.append(waited_s)
            else:
                result.first_token_s.append(model_request.first_token_s)


def make_router(run, links, own_failure_domain, generator, settings=None):
    """Return a real `Router` for one entry host of a run."""
    settings = settings or RoutingSettings()
    view = ConfigurationView()
    view.state = ModelState(run.hosts)
    entry_count = sum(run.scenario.entry_counts.values())
    return Router(
        settings,
        own_failure_domain,
        view,
        ModelMembership(run.hosts, entry_count),
        links,
        run.events.clock,
        Metrics(),
        generator,
    )


def make_baseline(policy_class):
    """Return a function that makes a baseline for one entry host of a run."""

    def make(run, links, own_failure_domain, generator):
        return policy_class(run.hosts, own_failure_domain, generator)

    return make
