"""Entries that share targets, scripted requests, late and lost news, and a clock."""

import heapq
import itertools

from siskinthread.poison_requests import PartGuard, PoisonRegister, PoisonSettings
from siskinthread.timing import ManualClock

# The part under which targets end, and one that every request has.
CRASHING = "p-crashing"
FIRST = "p-first"
SERVICE = "llm"
TARGET_DOWN_S = 5.0
TELL_AGAIN_S = 1.0
# Between two looks for something new to tell.
ROUND_S = 0.02


class PartEntry:
    """What one entry knows, and the place that it has among the others.

    Parameters
    ----------
    clock : siskinthread.timing.ManualClock
        The fleet's clock.
    place : int
        Its place in each order.
    count : int
        Entries of the fleet.
    """

    def __init__(self, clock, place=0, count=1, settings=None):
        settings = PoisonSettings() if settings is None else settings
        self.clock = clock
        self.register = PoisonRegister(settings, clock)
        self.guard = PartGuard(settings, clock, self.register)
        self.guard.peers = self
        self._place = place
        self._count = count
        self.told = {}
        self._told_at_s = 0.0
        self.is_round_due = False
        self.is_again_due = False

    def hears_others(self):
        """Return whether there are any."""
        return self._count > 1

    def turn_of(self, name):
        """Return its place, another one for each name."""
        return (self._place + len(name) + ord(name[-1])) % self._count

    def news(self):
        """Return what it has to tell, and whether anything of it is new."""
        suspects = self.register.suspected_parts()
        changed_at_s = max((one.changed_at_s for one in suspects), default=0.0)
        if changed_at_s <= self._told_at_s:
            return [], False
        self._told_at_s = changed_at_s
        statements = self.register.statements()
        told = {one.fingerprint: one.key() for one in statements}
        is_new = any(self.told.get(name) != key for name, key in told.items())
        self.told = told
        return statements, is_new


class PartFleet:
    """Plays requests and ends of targets, and counts what matters.

    Parameters
    ----------
    random : random.Random
        Draws hosts, targets, times and what is lost.
    host_count, target_count : int
        Size of the fleet.
    news_delay_s : tuple of float, float
        Least and most time until news are heard, seconds.
    lost_share : float
        Share of news that are lost.

    Attributes
    ----------
    ends_at_s : list of float
        When targets ended under the crashing part.
    reached_at_s : list of float
        When requests with it reached targets.
    refused, answered : list of float
        When sound requests were refused by the guard, and answered.
    """

    def __init__(
        self, random, host_count, target_count, news_delay_s=(0.005, 0.02), lost_share=0
    ):
        self.clock = ManualClock()
        self._start_s = self.clock.monotonic_s()
        self._random = random
        self._news_delay_s = news_delay_s
        self._lost_share = lost_share
        self.entries = [
            PartEntry(self.clock, place, host_count) for place in range(host_count)
        ]
        self._targets = [_Target(number) for number in range(target_count)]
        self._events = []
        self._order = itertools.count()
        self.ends_at_s = []
        self.reached_at_s = []
        self.refused = []
        self.answered = []

    def at(self, time_s, action, *arguments):
        """Let something happen at a time."""
        heapq.heappush(self._events, (time_s, next(self._order), action, arguments))

    def request_each(self, interval_s, from_s, until_s, parts_of):
        """Script requests at random entries; ``parts_of(random)`` gives their parts."""
        time_s = from_s
        while time_s < until_s:
            self.at(time_s, self._ask, parts_of(self._random))
            time_s += interval_s

    async def run(self, until_s):
        """Play what was scripted and what follows from it, up to a time."""
        while self._events and self._events[0][0] < until_s:
            time_s, _, action, arguments = heapq.heappop(self._events)
            passed_s = self._start_s + time_s - self.clock.monotonic_s()
            self.clock.advance(max(0.0, passed_s))
            await action(time_s, *arguments)

    async def end_target(self, now_s, number):
        """End a target for a reason of its own."""
        await self._end(now_s, self._targets[number])

    async def _ask(self, now_s, parts):
        entry = self._random.choice(self.entries)
        entry.guard.note_asked(SERVICE, parts)
        admission = entry.guard.admit(SERVICE, parts)
        if admission.kept_off_until is not None:
            if CRASHING not in parts:
                self.refused.append(now_s)
            return
        up = [one for one in self._targets if one.back_at_s <= now_s]
        if not up:
            if admission.trial is not None:
                entry.guard.release(admission.trial)
            return
        target = self._random.choice(up)
        request = (entry, parts, admission.trial)
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
        entry, parts, trial = request
        self.answered.append(now_s)
        await entry.guard.answered(parts)
        if trial is not None:
            entry.guard.release(trial)
        self._tell(now_s, entry)

    async def _crash(self, now_s, target, name, request):
        if target.name != name:
            return
        self.ends_at_s.append(now_s)
        await self._end(now_s, target)

    async def _end(self, now_s, target):
        name = target.name
        lost = target.end(now_s + TARGET_DOWN_S)
        for entry, parts, trial in lost:
            await entry.guard.target_ended(parts, name, trial)
            if trial is not None:
                entry.guard.release(trial)
            self._tell(now_s, entry)

    def _tell(self, now_s, entry):
        """Let an entry tell others in its next round, if it has something new."""
        if not entry.is_round_due:
            entry.is_round_due = True
            self.at(now_s + ROUND_S, self._tell_round, entry)

    async def _tell_round(self, now_s, entry):
        entry.is_round_due = False
        statements, is_new = entry.news()
        if is_new:
            self._send(now_s, entry, statements)
            if not entry.is_again_due:
                entry.is_again_due = True
                self.at(now_s + TELL_AGAIN_S, self._tell_again, entry)

    async def _tell_again(self, now_s, entry):
        """Tell what may have been lost, as long as there is something to tell."""
        statements = entry.register.statements()
        entry.is_again_due = bool(statements)
        if statements:
            self._send(now_s, entry, statements)
            self.at(now_s + TELL_AGAIN_S, self._tell_again, entry)

    def _send(self, now_s, entry, statements):
        for other in self.entries:
            if other is entry or self._random.random() < self._lost_share:
                continue
            delay_s = self._random.uniform(*self._news_delay_s)
            self.at(now_s + delay_s, self._hear, other, statements)

    async def _hear(self, now_s, entry, statements):
        await entry.register.hear(statements, "peer")
        own = [entry.register.find(one.fingerprint) for one in statements]
        now_s = self.clock.monotonic_s()
        pairs = zip(statements, own, strict=True)
        if any(
            one is not None and not said.tells_all_of(one.statement(now_s))
            for said, one in pairs
        ):
            self._tell(now_s - self._start_s, entry)


class _Target:
    """A target with requests at it."""

    def __init__(self, number):
        self._number = number
        self._start = 0
        self.back_at_s = 0.0
        self.requests = []

    @property
    def name(self):
        """Its instance id."""
        return f"i-{self._number}-{self._start}"

    def end(self, back_at_s):
        """End; return the requests that were at it."""
        lost, self.requests = self.requests, []
        self._start += 1
        self.back_at_s = back_at_s
        return lost
