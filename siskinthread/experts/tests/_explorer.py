"""Enumeration of faults of a map change, with the real code of gates and controller.

Each run follows a list of choices, where choice 0 means no fault.  The explorer repeats
runs until every list with at most `fault_limit` other choices has been tried.
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
FAULT_COUNT = 6


class Choices:
    """Choices of a run: the given choices, then 0 for all others."""

    def __init__(self, given):
        self.given = given
        self.made = []

    def pick(self, count):
        """Return the next choice from ``range(count)``."""
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
    """A rank's engine whose orders may take effect late."""

    def __init__(self, checks_fencing):
        self.version, self.staged, self.held = OLD_VERSION, None, False
        self.checks_fencing = checks_fencing
        self.highest = None
        self.pending = []
        self.loses_next = False

    async def state(self, number):
        """Return the state; an engine that checks numbers stores the number."""
        self._check(number)
        return RankState(self.version, self.staged, self.held)

    async def stage(self, number, version, expert_map):
        """Load the weights of a map."""
        return self._send(number, lambda: setattr(self, "staged", version))

    async def hold(self, number):
        """Stop at the next step boundary."""
        return self._send(number, lambda: setattr(self, "held", True))

    async def switch(self, number, version):
        """Put a map version in force."""
        return self._send(number, lambda: setattr(self, "version", version))

    async def release(self, number):
        """Continue stepping."""
        return self._send(number, lambda: setattr(self, "held", False))

    async def wait_for_pending_orders(self):
        """Execute all pending orders, unless the engine checks numbers."""
        if self.checks_fencing:
            return
        self.run_pending()

    def run_pending(self):
        """Execute all pending orders."""
        pending, self.pending = self.pending, []
        for number, effect in pending:
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
            self.pending.append((number, effect))
            raise TargetError("no answer")
        if self._check(number):
            effect()
        return RankState(self.version, self.staged, self.held)


class Group:
    """The ranks of a group with their gates, and the transport of orders."""

    def __init__(self, choices, checks_fencing, rank_count):
        self.choices = choices
        self.clock = ManualClock()
        self.engines = [FakeEngine(checks_fencing) for _ in range(rank_count)]
        self.gates = [self._new_gate(engine) for engine in self.engines]
        self.delayed_orders = []
        self.faulty = True
        self.paused = None

    def _new_gate(self, engine):
        return RankGate(engine, self.clock, HOLD_LIMIT_S)

    def names(self):
        """Return the ranks."""
        return list(range(len(self.engines)))

    async def broadcast(self, orders):
        """Deliver each order with a chosen fault, then inject a chosen event."""
        replies = {}
        for rank, order in orders.items():
            replies[rank] = await self._deliver(rank, order)
            self.check()
        if self.faulty:
            await self._inject_event()
        return replies

    async def _deliver(self, rank, order):
        fault = self.choices.pick(FAULT_COUNT) if self.faulty else DELIVERED
        if fault == REQUEST_LOST:
            return None
        if fault == REQUEST_LATE:
            self.delayed_orders.append((rank, order))
            return None
        self.engines[rank].loses_next = fault == ENGINE_LATE
        reply = await self.gates[rank].handle(order)
        self.engines[rank].loses_next = False
        if fault == AGENT_REPLACED:
            self.gates[rank] = self._new_gate(self.engines[rank])
        return None if fault in (ANSWER_LOST, AGENT_REPLACED) else reply

    async def _inject_event(self):
        """Inject a chosen event between two broadcasts.

        The events are none, passing time, delivery of delayed orders, execution of
        pending orders, and a step of the paused controller.
        """
        event = self.choices.pick(4 if self.paused is None else 5)
        if event == 1:
            await self.pass_time()
        if event == 2:
            await self.deliver_delayed()
        if event == 3:
            self.run_pending_orders()
        if event == 4:
            paused, self.paused = self.paused, None
            paused.resume(1)
        self.check()

    def end_without_faults(self):
        """End all faults and check that a last controller releases the group."""
        self.faulty = False
        run_to_end(self.deliver_delayed())
        self.run_pending_orders()
        run_to_end(self.pass_time())
        result = run_to_end(MapChange(self, fencing=30).recover(_map_of))
        assert result is ChangeResult.CHANGED
        assert not any(engine.held for engine in self.engines), "held for ever"
        assert len({engine.version for engine in self.engines}) == 1

    async def pass_time(self):
        """Advance the clock beyond the deadline of every hold."""
        self.clock.advance(2 * HOLD_LIMIT_S)
        for gate in self.gates:
            await gate.release_expired_hold()
            self.check()

    async def deliver_delayed(self):
        """Deliver the delayed orders to the gates."""
        delayed, self.delayed_orders = self.delayed_orders, []
        for rank, order in delayed:
            await self.gates[rank].handle(order)
            self.check()

    def run_pending_orders(self):
        """Execute the pending orders of all engines."""
        for engine in self.engines:
            engine.run_pending()
            self.check()

    def check(self):
        """Check that no step can run on mixed expert maps."""
        if any(engine.held for engine in self.engines):
            return
        versions = {engine.version for engine in self.engines}
        assert len(versions) == 1, f"a step runs on maps {versions}"


class Paused:
    """A controller that pauses after a number of broadcasts and may resume."""

    def __init__(self, group, coroutine_function, broadcast_limit):
        self._group = group
        self._left = broadcast_limit
        self._finished = False
        self._coroutine = coroutine_function(self)

    def names(self):
        """Return the ranks."""
        return self._group.names()

    def broadcast(self, orders):
        """Broadcast orders, or suspend the controller at its limit of broadcasts."""
        return self._broadcast(orders)

    async def _broadcast(self, orders):
        if self._left == 0:
            await _suspend()
        self._left -= 1
        return await self._group.broadcast(orders)

    def run(self):
        """Run until the controller ends or pauses."""
        try:
            self._coroutine.send(None)
        except StopIteration:
            self._finished = True

    def resume(self, broadcast_limit):
        """Resume for `broadcast_limit` broadcasts, or to the end with -1."""
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
    """Return a run of a controller and a successor that makes its own change.

    Parameters
    ----------
    checks_fencing : bool
        Whether the engines refuse outdated order numbers.
    pause_after : int
        Broadcasts of the first controller before it pauses; -1 for no pause.
    rank_count : int
        Number of ranks of the group.
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
        first.resume(-1)
        group.end_without_faults()

    return run


def change_without_successor(checks_fencing, pause_after):
    """Return a run of a controller that fails and whose holds must expire."""

    def run(choices):
        group = Group(choices, checks_fencing, rank_count=2)
        Paused(group, _first_change, pause_after).run()
        group.faulty = False
        run_to_end(group.deliver_delayed())
        group.run_pending_orders()
        run_to_end(group.pass_time())
        switched = [engine.version != OLD_VERSION for engine in group.engines]
        replaced = AGENT_REPLACED in [choice for choice, _ in choices.made]
        if not any(switched) and pause_after <= BROADCASTS_UNTIL_HELD and not replaced:
            assert not any(engine.held for engine in group.engines), "held for ever"
        group.end_without_faults()

    return run


def _first_change(ranks):
    return MapChange(ranks, fencing=10).change(OLD_VERSION, NEW_VERSION, None)


def _map_of(version):
    return None
