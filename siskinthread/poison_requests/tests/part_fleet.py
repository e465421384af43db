"""Hosts with shared targets, scripted requests, late and lost reports, and a clock."""

import heapq
import itertools

from siskinthread.poison_requests import PartGuard, PoisonRegister, PoisonSettings
from siskinthread.timing import ManualClock

# The crashing part, and a part of every request.
CRASHING = "p-crashing"
FIRST = "p-first"
SERVICE = "llm"
TARGET_DOWN_S = 5.0
REPEAT_INTERVAL_S = 1.0
# Interval of the check for something new to report.
ROUND_S = 0.02


class PartHost:
    """State of one host, and its position among the others.

    Parameters
    ----------
    clock : siskinthread.timing.ManualClock
        The fleet's clock.
    position : int
        Its position in each order.
    count : int
        Number of hosts in the fleet.
    """

    def __init__(self, clock, position=0, count=1, settings=None):
        settings = PoisonSettings() if settings is None else settings
        self.clock = clock
        self.register = PoisonRegister(settings, clock)
        self.guard = PartGuard(settings, clock, self.register)
        self.guard.peers = self
        self._position = position
        self._count = count
        self.reported = {}
        self._reported_at_s = 0.0
        self.is_report_due = False
        self.is_repeat_due = False

    def has_peers(self):
        """Return whether there are other hosts."""
        return self._count > 1

    def rendezvous_position(self, name):
        """Return its position, which differs by name."""
        return (self._position + len(name) + ord(name[-1])) % self._count

    def pending_statements(self):
        """Return the statements to report, and whether any of them is new."""
        suspects = self.register.suspected_parts()
        changed_at_s = max((one.changed_at_s for one in suspects), default=0.0)
        if changed_at_s <= self._reported_at_s:
            return [], False
        self._reported_at_s = changed_at_s
        statements = self.register.statements()
        reported = {one.fingerprint: one.key() for one in statements}
        is_new = any(self.reported.get(name) != key for name, key in reported.items())
        self.reported = reported
        return statements, is_new


class PartFleet:
    """Simulates requests and crashes of targets, and records the results.

    Parameters
    ----------
    random : random.Random
        Draws hosts, targets, times and lost reports.
    host_count, target_count : int
        Size of the fleet.
    report_delay_s : tuple of float, float
        Range of the delay of a report, seconds.
    lost_share : float
        Share of reports that are lost.

    Attributes
    ----------
    crash_times_s : list of float
        When targets crashed because of the crashing part.
    reached_at_s : list of float
        When requests with the crashing part reached targets.
    refused, answered : list of float
        When harmless requests were refused by the guard, and answered.
    """

    def __init__(
        self,
        random,
        host_count,
        target_count,
        report_delay_s=(0.005, 0.02),
        lost_share=0,
    ):
        self.clock = ManualClock()
        self._start_s = self.clock.monotonic_s()
        self._random = random
        self._report_delay_s = report_delay_s
        self._lost_share = lost_share
        self.hosts = [
            PartHost(self.clock, position, host_count) for position in range(host_count)
        ]
        self._targets = [_Target(number) for number in range(target_count)]
        self._events = []
        self._order = itertools.count()
        self.crash_times_s = []
        self.reached_at_s = []
        self.refused = []
        self.answered = []

    def at(self, time_s, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self._events, (time_s, next(self._order), action, arguments))

    def request_each(self, interval_s, from_s, until_s, parts_of):
        """Schedule requests at random hosts; ``parts_of(random)`` gives their parts."""
        time_s = from_s
        while time_s < until_s:
            self.at(time_s, self._ask, parts_of(self._random))
            time_s += interval_s

    async def run(self, until_s):
        """Run what is scheduled, and its consequences, up to a time."""
        while self._events and self._events[0][0] < until_s:
            time_s, _, action, arguments = heapq.heappop(self._events)
            passed_s = self._start_s + time_s - self.clock.monotonic_s()
            self.clock.advance(max(0.0, passed_s))
            await action(time_s, *arguments)

    async def crash_target(self, now_s, number):
        """Crash a target for an unrelated reason."""
        await self._terminate(now_s, self._targets[number])

    async def _ask(self, now_s, parts):
        host = self._random.choice(self.hosts)
        host.guard.note_asked(SERVICE, parts)
        admission = host.guard.admit(SERVICE, parts)
        if admission.blocked_until is not None:
            if CRASHING not in parts:
                self.refused.append(now_s)
            return
        up = [one for one in self._targets if one.back_at_s <= now_s]
        if not up:
            if admission.trial is not None:
                host.guard.release(admission.trial)
            return
        target = self._random.choice(up)
        request = (host, parts, admission.trial)
        target.requests.append(request)
        if CRASHING in parts:
            self.reached_at_s.append(now_s)
            takes_s = self._random.uniform(0.05, 0.3)
            self.at(now_s + takes_s, self._crash, target, target.name, request)
        else:
            takes_s = self._random.uniform(0.3, 1.2)
            self.at(now_s + takes_s, self._answer, target, target.name, request)

    async def _answer(self, now_s, target, name, request):
        if target.name != name:
            return
        target.requests.remove(request)
        host, parts, trial = request
        self.answered.append(now_s)
        await host.guard.answered(parts)
        if trial is not None:
            host.guard.release(trial)
        self._schedule_report(now_s, host)

    async def _crash(self, now_s, target, name, request):
        if target.name != name:
            return
        self.crash_times_s.append(now_s)
        await self._terminate(now_s, target)

    async def _terminate(self, now_s, target):
        name = target.name
        lost = target.crash(now_s + TARGET_DOWN_S)
        for host, parts, trial in lost:
            await host.guard.target_crashed(parts, name, trial)
            if trial is not None:
                host.guard.release(trial)
            self._schedule_report(now_s, host)

    def _schedule_report(self, now_s, host):
        """Schedule a report of a host, which is sent if it has something new."""
        if not host.is_report_due:
            host.is_report_due = True
            self.at(now_s + ROUND_S, self._report, host)

    async def _report(self, now_s, host):
        host.is_report_due = False
        statements, is_new = host.pending_statements()
        if is_new:
            self._send(now_s, host, statements)
            if not host.is_repeat_due:
                host.is_repeat_due = True
                self.at(now_s + REPEAT_INTERVAL_S, self._repeat_report, host)

    async def _repeat_report(self, now_s, host):
        """Repeat a report, which may have been lost, as long as there is one."""
        statements = host.register.statements()
        host.is_repeat_due = bool(statements)
        if statements:
            self._send(now_s, host, statements)
            self.at(now_s + REPEAT_INTERVAL_S, self._repeat_report, host)

    def _send(self, now_s, host, statements):
        for other in self.hosts:
            if other is host or self._random.random() < self._lost_share:
                continue
            delay_s = self._random.uniform(*self._report_delay_s)
            self.at(now_s + delay_s, self._receive, other, statements)

    async def _receive(self, now_s, host, statements):
        await host.register.hear(statements, "peer")
        own = [host.register.find(one.fingerprint) for one in statements]
        now_s = self.clock.monotonic_s()
        pairs = zip(statements, own, strict=True)
        if any(
            one is not None and not statement.covers(one.statement(now_s))
            for statement, one in pairs
        ):
            self._schedule_report(now_s - self._start_s, host)


class _Target:
    """A target with requests."""

    def __init__(self, number):
        self._number = number
        self._start = 0
        self.back_at_s = 0.0
        self.requests = []

    @property
    def name(self):
        """Its instance id."""
        return f"i-{self._number}-{self._start}"

    def crash(self, back_at_s):
        """Crash; return the requests that are lost."""
        lost, self.requests = self.requests, []
        self._start += 1
        self.back_at_s = back_at_s
        return lost
