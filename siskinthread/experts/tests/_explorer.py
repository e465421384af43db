"""Enumerates faults of a map change, running the real gates and controller code.

One run follows a list of choices; choice 0 is always the faultless one.  The explorer
repeats runs until every list with at most `fault_limit` other choices was tried.
"""

from siskinthread.errors import TargetError
from siskinthread.experts import (
    ChangeResult,
    MapChange,
    RankGate,
    RankState,
)
from siskinthread.timing import ManualClock

OLD_VERSION, NEW_VERSION, LAST_VERSION = 1, 2, 3
BROADCASTS_UNTIL_HELD = 2
HOLD_LIMIT_S = 1.0
DELIVERED, REQUEST_LOST, ANSWER_LOST, REQUEST_LATE, ENGINE_LATE, AGENT_REPLACED = range(
    6
)
FATES = 6


class Choices:
    """Choices of one run: the given ones, then all 0."""

    def __init__(self, given):
        self.given = given
        self.made = []

    def pick(self, count):
        """Return the next choice out of `count`."""
        index = len(self.made)
        choice = self.given[index] if index < len(self.given) else 0
        self.made.append((choice, count))
        return choice


def explore(run, fault_limit):
    """Call `run(choices)` for every list of choices within the fault limit.

    Returns
    -------
    int
        Number of runs.
    """
    waiting = [[]]
    runs = 0
    while waiting:
        given = waiting.pop()
        choices = Choices(given)
        run(choices)
        runs += 1
        faults = sum(choice != 0 for choice in given)
        if faults == fault_limit:
            continue
        for index in range(len(given), len(choices.made)):
            prefix = [choice for choice, _ in choices.made[:index]]
            _, count = choices.made[index]
            waiting += [[*prefix, choice] for choice in range(1, count)]
    return runs


class FakeEngine:
    """A rank's engine; orders may take effect long after they were sent."""

    def __init__(self, checks_fencing):
        self.version, self.staged, self.held = OLD_VERSION, None, False
        self.checks_fencing = checks_fencing
        self.highest = None
        self.late = []
        self.loses_next = False

    async def state(self, number):
        """Return the state; a checking engine notes the number."""
        self._check(number)
        return RankState(self.version, self.staged, self.held)

    async def stage(self, number, version, expert_map):
        """Load weights."""
        return self._send(number, lambda: setattr(self, "staged", version))

    async def hold(self, number):
        """Stop at the step boundary."""
        return self._send(number, lambda: setattr(self, "held", True))

    async def switch(self, number, version):
        """Put a version in force."""
        return self._send(number, lambda: setattr(self, "version", version))

    async def release(self, number):
        """Go on."""
        return self._send(number, lambda: setattr(self, "held", False))

    async def settle(self):
        """Account for every order under way, unless numbers do that."""
        if self.checks_fencing:
            return
        self.run_late()

    def run_late(self):
        """Let every order under way take effect."""
        late, self.late = self.late, []
        for number, effect in late:
            if self._check(number):
                effect()

    def _check(self, number):
        if not self.checks_fencing:
            return True
        if self.highest is not None and number < self.highest:
            return False
        self.highest = number
        return True

    def _send(self, number, effect):
        if self.loses_next:
            self.loses_next = False
            self.late.append((number, effect))
            raise TargetError("no answer")
        if self._check(number):
            effect()
        return RankState(self.version, self.staged, self.held)


class Group:
    """Ranks with their gates; also the transport of the orders."""

    def __init__(self, choices, checks_fencing, rank_count):
        self.choices = choices
        self.clock = ManualClock()
        self.engines = [FakeEngine(checks_fencing) for _ in range(rank_count)]
        self.gates = [self._new_gate(engine) for engine in self.engines]
        self.late_orders = []
        self.faulty = True
        self.paused = None

    def _new_gate(self, engine):
        return RankGate(engine, self.clock, HOLD_LIMIT_S)

    def names(self):
        """Return the ranks."""
        return list(range(len(self.engines)))

    async def broadcast(self, orders):
        """Deliver each order with a chosen fate; then let chosen events happen."""
        replies = {}
        for rank, order in orders.items():
            replies[rank] = await self._deliver(rank, order)
            self.check()
        if self.faulty:
            await self._between()
        return replies

    async def _deliver(self, rank, order):
        fate = self.choices.pick(FATES) if self.faulty else DELIVERED
        if fate == REQUEST_LOST:
            return None
        if fate == REQUEST_LATE:
            self.late_orders.append((rank, order))
            return None
        self.engines[rank].loses_next = fate == ENGINE_LATE
        reply = await self.gates[rank].handle(order)
        self.engines[rank].loses_next = False
        if fate == AGENT_REPLACED:
            self.gates[rank] = self._new_gate(self.engines[rank])
        return None if fate in (ANSWER_LOST, AGENT_REPLACED) else reply

    async def _between(self):
        """Let nothing, time, late orders or slow engines come between broadcasts."""
        event = self.choices.pick(4 if self.paused is None else 5)
        if event == 1:
            await self.pass_time()
        if event == 2:
            await self.deliver_late()
        if event == 3:
            self.run_engines()
        if event == 4:
            paused, self.paused = self.paused, None
            paused.wake(1)
        self.check()

    def end_soundly(self):
        """End every fault; a last controller must then release the group."""
        self.faulty = False
        run_to_end(self.deliver_late())
        self.run_engines()
        run_to_end(self.pass_time())
        result = run_to_end(MapChange(self, fencing=30).recover(_map_of))
        assert result is ChangeResult.CHANGED
        assert not any(engine.held for engine in self.engines), "held for ever"
        assert len({engine.version for engine in self.engines}) == 1

    async def pass_time(self):
        """Let every hold reach its deadline."""
        self.clock.advance(2 * HOLD_LIMIT_S)
        for gate in self.gates:
            await gate.lapse()
            self.check()

    async def deliver_late(self):
        """Deliver the orders that were under way to gates."""
        late, self.late_orders = self.late_orders, []
        for rank, order in late:
            await self.gates[rank].handle(order)
            self.check()

    def run_engines(self):
        """Let the orders under way to engines take effect."""
        for engine in self.engines:
            engine.run_late()
            self.check()

    def check(self):
        """Check that no step can run on mixed maps."""
        if any(engine.held for engine in self.engines):
            return
        versions = {engine.version for engine in self.engines}
        assert len(versions) == 1, f"a step runs on maps {versions}"


class Paused:
    """A controller that stops after some broadcasts and may wake later."""

    def __init__(self, group, coroutine_function, broadcast_limit):
        self._group = group
        self._left = broadcast_limit
        self._finished = False
        self._coroutine = coroutine_function(self)

    def names(self):
        """Return the ranks."""
        return self._group.names()

    def broadcast(self, orders):
        """Suspend the controller once it has used up its broadcasts."""
        return self._broadcast(orders)

    async def _broadcast(self, orders):
        if self._left == 0:
            await _suspend()
        self._left -= 1
        return await self._group.broadcast(orders)

    def run(self):
        """Run until the end or the pause."""
        try:
            self._coroutine.send(None)
        except StopIteration:
            self._finished = True

    def wake(self, broadcast_limit):
        """Go on after the pause, for some broadcasts or, with -1, to the end."""
        self._left = broadcast_limit
        if not self._finished:
            self.run()


class _suspend:  # noqa: N801
    def __await__(self):
        yield


def run_to_end(coroutine):
    """Run a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration as finished:
        return finished.value
    raise AssertionError("suspended")


def change_with_successor(checks_fencing, pause_after, rank_count=2):
    """Return a run: a controller, a successor with a change of its own, a sound end.

    Parameters
    ----------
    checks_fencing : bool
        Whether the engines refuse old numbers.
    pause_after : int
        Broadcasts of the first controller before it pauses; -1 for no pause.
    rank_count : int
        Ranks of the group.
    """

    def run(choices):
        group = Group(choices, checks_fencing, rank_count)
        first = Paused(group, _first_change, pause_after)
        first.run()
        group.paused = first
        successor = MapChange(group, fencing=20)
        run_to_end(successor.recover(_map_of))
        run_to_end(successor.change(group.engines[0].version, LAST_VERSION, None))
        group.paused = None
        first.wake(-1)
        group.end_soundly()

    return run


def change_without_successor(checks_fencing, pause_after):
    """Return a run: a controller dies for good; holds must lapse by themselves."""

    def run(choices):
        group = Group(choices, checks_fencing, rank_count=2)
        Paused(group, _first_change, pause_after).run()
        group.faulty = False
        run_to_end(group.deliver_late())
        group.run_engines()
        run_to_end(group.pass_time())
        switched = [engine.version != OLD_VERSION for engine in group.engines]
        replaced = AGENT_REPLACED in [choice for choice, _ in choices.made]
        if not any(switched) and pause_after <= BROADCASTS_UNTIL_HELD and not replaced:
            assert not any(engine.held for engine in group.engines), "held for ever"
        group.end_soundly()

    return run


def _first_change(ranks):
    return MapChange(ranks, fencing=10).change(OLD_VERSION, NEW_VERSION, None)


def _map_of(version):
    return None
