"""Discrete-event simulations of hosts that choose targets as gateways do."""

import heapq
import itertools
import random

from siskinthread.gateway import GatewaySettings, RequestFacts, RequestKind, Route
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway._request import GatewayRequest, LoadReport
from siskinthread.gateway._target_list import TargetEntry
from siskinthread.load_control import (
    add_speeds,
    LoadControlSettings,
    ReturnSettings,
    SpeedSettings,
)
from siskinthread.observability import Metrics
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.peer_news._message import add_counts
from siskinthread.timing import Deadline, ManualClock

SERVICE = "app"
WITHOUT = {"are_passes_used": False, "is_reserve_used": False, "are_shares_used": False}


class Kind:
    """Requests with the same properties.

    Parameters
    ----------
    name : str
        Name of their route.
    priority : int
        Rank, 0 first.
    objective_s : float or None
        Latency objective, seconds.
    account : Account or None
        Client account; None for a public route.
    request_kind : RequestKind
        Whether they may be repeated.
    facts : dict
        Further parameters of `RequestFacts`.
    """

    def __init__(
        self,
        name,
        priority,
        objective_s=None,
        account=None,
        request_kind=RequestKind.IDEMPOTENT,
        **facts,
    ):
        self.route = Route(
            name,
            "app.example",
            f"/{name}/",
            request_kind,
            [],
            attempt_limit=2,
            wait_limit_s=8.0,
            priority=priority,
            is_public=account is None,
            objective_s=objective_s,
        )
        self.account = account
        self.facts = facts


class Call:
    """A caller's request, including its retry."""

    def __init__(self, kind, at_s):
        self.kind = kind
        self.at_s = at_s
        self.answered_at_s = None
        # Longest pause between two events of a stream, seconds.
        self.longest_pause_s = 0.0
        self.causes = []

    @property
    def took_s(self):
        """Time from the first attempt to the response, seconds; infinite if none."""
        if self.answered_at_s is None:
            return float("inf")
        return self.answered_at_s - self.at_s


class Target:
    """A target with slots and a queue."""

    def __init__(self, instance_id, slots, queue, domain="a"):
        self.entry = TargetEntry(
            instance_id, SERVICE, "127.0.0.1", 1, domain, slots, False
        )
        self.queue_limit = queue
        self.running = 0
        self.queue = []


class SimulatedPeers:
    """The latest reports of the other hosts."""

    def __init__(self, hosts, own, interval_s):
        self._hosts = hosts
        self._own = own
        self._interval_s = interval_s

    def has_fresh_loads(self):
        """Return that the reports are current."""
        return True

    def is_crowded(self):
        """Return that all hosts report at the full rate."""
        return False

    def full_rate_peer_count(self):
        """Return the number of other hosts."""
        return len(self._hosts) - 1

    def send_interval_s(self):
        """Return the time between two reports of a host, seconds."""
        return self._interval_s

    def counts(self, instance_id):
        """Return the last reported number of requests at a target."""
        return sum(
            host.reported.get(instance_id, 0)
            for host in self._hosts
            if host is not self._own
        )

    def excess_tokens(self):
        """Return the last reported tokens beyond the typical size, by target."""
        sums = {}
        for host in self._hosts:
            if host is not self._own:
                add_counts(sums, host.reported_excess)
        return sums

    def speeds(self):
        """Return the last reported speeds of targets."""
        sums, now_s = {}, self._own.parts.clock.monotonic_s()
        for host in self._hosts:
            if host is not self._own:
                by_s = now_s - host.reported_at_s
                aged = {one: s.aged(by_s) for one, s in host.reported_speeds.items()}
                add_speeds(sums, aged)
        return sums

    def account_counts(self):
        """Return the last reported requests by account."""
        sums = {}
        for host in self._hosts:
            if host is not self._own:
                add_counts(sums, host.reported_accounts)
        return sums

    def newest_pass(self, group):
        """Return the newest reported pass of a group, or None."""
        reported = [
            (host.reported_at_s, host.reported_passes_s[group])
            for host in self._hosts
            if host is not self._own and group in host.reported_passes_s
        ]
        if not reported:
            return None
        reported_at_s, pass_s = max(reported)
        return pass_s, reported_at_s

    def stalled_groups(self):
        """Return that no group is stalled."""
        return set()

    def slow_targets(self):
        """Return that no target is slow."""
        return set()


class Host:
    """An entry host: the parts of a gateway, and its latest report to peers."""

    def __init__(self, settings, clock, seed, domain="a"):
        self.domain = domain
        self.parts = GatewayParts(
            settings, domain, None, clock, Metrics(), random.Random(seed)
        )
        self.reported = {}
        self.reported_accounts = {}
        self.reported_passes_s = {}
        self.reported_excess = {}
        self.reported_speeds = {}
        self.reported_at_s = 0.0


class Replay:
    """Hosts and targets on a simulated clock.

    Parameters
    ----------
    host_count, target_count : int
        Number of hosts and of targets.
    slots, queue : int
        Requests that a target runs, and that it queues.
    service_s : float
        Duration of a request at a target, seconds.
    interval_s : float
        Time between two reports of a host, seconds.
    seed : int
        Random seed.
    settings : dict
        Load control settings that differ from the defaults.
    speeds : dict
        Settings of the placement by speed that differ from the defaults.
    domains : tuple of str
        Failure domains, to which hosts and targets are assigned in turn.
    """

    def __init__(
        self,
        host_count=4,
        target_count=4,
        slots=4,
        queue=4,
        service_s=0.2,
        interval_s=0.1,
        seed=1,
        settings=(),
        speeds=(),
        domains=("a",),
    ):
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.service_s = service_s
        self.interval_s = interval_s
        self.calls = []
        # Requests that a target declined for lack of memory.
        self.declined_count = 0
        self._start_s = self.clock.monotonic_s()
        self._events = []
        self._order = itertools.count()
        control = LoadControlSettings(**dict(settings))
        # Only admission is compared, so refused callers get random retry times.
        returns = ReturnSettings(is_enabled=False)
        gateway = GatewaySettings(
            load_control=control,
            returns=returns,
            speeds=SpeedSettings(**dict(speeds)),
        )
        self.targets = {
            f"i-{number}": Target(
                f"i-{number}", slots, queue, domains[number % len(domains)]
            )
            for number in range(target_count)
        }
        self.hosts = [
            Host(gateway, self.clock, seed * 100 + one, domains[one % len(domains)])
            for one in range(host_count)
        ]
        for number, host in enumerate(self.hosts):
            host.parts.targets.replace([one.entry for one in self.targets.values()])
            peers = SimulatedPeers(self.hosts, host, interval_s)
            host.parts.loads.peers = peers
            host.parts.accounts.peers = peers
            host.parts.load_control.speeds.peers = peers
            self.at(number * interval_s / host_count, self._report, host)
            self.at(1.0, self._sample, host)

    def at(self, at_s, act, *arguments):
        """Schedule a function at a time since the start, seconds."""
        event = (self._start_s + at_s, next(self._order), act, arguments)
        heapq.heappush(self._events, event)

    def ask(self, kind, per_s, from_s, to_s, hosts=None):
        """Schedule random requests at a mean rate between two times, seconds."""
        at_s = from_s + self.random.expovariate(per_s)
        while at_s < to_s:
            self.at(at_s, self._first_try, kind, hosts or self.hosts)
            at_s += self.random.expovariate(per_s)

    def run(self, to_s):
        """Run until a time since the start, seconds."""
        while self._events and self._events[0][0] < self._start_s + to_s:
            at_s, _, act, arguments = heapq.heappop(self._events)
            self.clock.advance(at_s - self.clock.monotonic_s())
            act(*arguments)

    def now_s(self):
        """Return the time since the start, seconds."""
        return self.clock.monotonic_s() - self._start_s

    def calls_of(self, kind, from_s, to_s):
        """Return the calls of a kind with the first attempt between two times."""
        return [c for c in self.calls if c.kind is kind and from_s <= c.at_s < to_s]

    def share_within(self, kind, limit_s, from_s, to_s):
        """Return the fraction of these calls answered within a time limit, seconds."""
        calls = self.calls_of(kind, from_s, to_s)
        return sum(call.took_s <= limit_s for call in calls) / len(calls)

    def answered_per_s(self, from_s, to_s):
        """Return the responses per second between two times."""
        times_s = [one.answered_at_s for one in self.calls if one.answered_at_s]
        return sum(from_s <= one < to_s for one in times_s) / (to_s - from_s)

    def request(self, kind):
        """Return a request of a kind that arrives now."""
        return GatewayRequest(
            None,
            b"",
            RequestFacts("id", None, None, **kind.facts),
            kind.route,
            SERVICE,
            kind.account,
            1,
            Deadline.after(self.clock, 8.0),
        )

    def _report(self, host):
        host.reported = host.parts.loads.own_counts()
        host.reported_accounts = host.parts.accounts.own_counts()
        host.reported_excess = host.parts.load_control.excess_tokens()
        host.reported_speeds = host.parts.load_control.speeds.statements()
        host.reported_passes_s = host.parts.progress.passes_s()
        host.reported_at_s = self.clock.monotonic_s()
        self.at(self.now_s() + self.interval_s, self._report, host)

    def _sample(self, host):
        host.parts.accounts.sample()
        self.at(self.now_s() + 1.0, self._sample, host)

    def _first_try(self, kind, hosts):
        call = Call(kind, self.now_s())
        self.calls.append(call)
        self._try(call, hosts, is_first=True)

    def _try(self, call, hosts, is_first):
        self._try_at(self.random.choice(hosts), call, hosts, is_first)

    def _try_at(self, host, call, hosts, is_first):
        request = self.request(call.kind)
        host.parts.load_control.note_asked(request)
        refusal = self._attempt(host, request, call)
        if refusal is not None and is_first:
            wait_s = refusal.retry_after_s
            self.at(self.now_s() + wait_s, self._try, call, hosts, False)

    def _attempt(self, host, request, call):
        """Send a request to targets until one takes it; return the refusal, or None."""
        tried = set()
        while True:
            chosen = host.parts.choice.choose(request, tried)
            if isinstance(chosen, End):
                call.causes.append(chosen.cause)
                return chosen
            target = self.targets[chosen.instance_id]
            is_free = target.running < target.entry.slot_count
            if is_free and not self._has_memory(target, request):
                self.declined_count += 1
            elif is_free:
                self._start(host, request, call, target)
                return None
            elif len(target.queue) < target.queue_limit:
                running = self._note_sent(host, request, target)
                target.queue.append((host, running, call))
                return None
            load = LoadReport(target.running, len(target.queue), chosen.slot_count)
            host.parts.loads.report(chosen.instance_id, load)
            host.parts.load_control.note_declined(request, load)
            tried.add(chosen.instance_id)
            if len(tried) == request.route.attempt_limit:
                wait_s = host.parts.choice.retry_delay_s(request)
                return End(
                    Outcome.REFUSED_NOT_RUN,
                    Reason.TARGET_REFUSED,
                    retry_after_s=wait_s,
                )

    def _has_memory(self, target, request):
        """Return whether a target has free memory for a request."""
        return True

    def _note_sent(self, host, request, target):
        host.parts.loads.started(target.entry.instance_id)
        if request.account is not None:
            host.parts.accounts.started(request.account.name)
        return host.parts.load_control.started(request, target.entry)

    def _start(self, host, request, call, target):
        running = self._note_sent(host, request, target)
        self._run(host, running, call, target)

    def _run(self, host, running, call, target):
        target.running += 1
        at_s = self.now_s() + self.service_s
        self.at(at_s, self._end, host, running, call, target)

    def _end(self, host, running, call, target):
        target.running -= 1
        self._note_end(host, running, call, target)
        if target.queue:
            self._run(*target.queue.pop(0), target)

    def _note_end(self, host, running, call, target):
        call.answered_at_s = self.now_s()
        running.ended(True)
        host.parts.loads.ended(target.entry.instance_id)
        if call.kind.account is not None:
            host.parts.accounts.ended(call.kind.account.name)
