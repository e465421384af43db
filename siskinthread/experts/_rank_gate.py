"""Gate in front of the engine of one rank, in the agent of the rank's host.

These rules prevent a step on mixed maps:

1. An order with a number below the highest received number is refused.
2. A rank that has switched, or may have, stays held until an order releases it.
3. A rank that has not switched is released when its hold passes its deadline, so that a
   failed controller does not hold the group.
4. An engine that does not check fencing numbers gets no order while an earlier order
   may still take effect.
"""

import functools

import curio

from siskinthread.errors import TargetError
from siskinthread.experts._orders import (
    Done,
    Hold,
    Promise,
    Refused,
    Release,
    Stage,
    Switch,
)
from siskinthread.timing import Deadline


class RankGate:
    """Check orders and pass them to the engine, one at a time.

    Parameters
    ----------
    engine : object
        Client with the coroutines ``state(number)``, ``stage(number, version,
        expert_map)``, ``hold(number)``, ``switch(number, version)`` and
        ``release(number)``, each of which returns a `RankState` or raises `TargetError`
        if no answer came, and ``wait_for_pending_orders()``, which returns when no
        earlier order can take effect any more, or at once for an engine that checks
        order numbers.
    clock : Clock
        Clock for the deadline of a hold.
    hold_limit_s : float
        Longest hold without a switch.
    """

    __slots__ = (
        "_clock",
        "_engine",
        "_highest",
        "_hold_deadline",
        "_hold_limit_s",
        "_lock",
        "_may_have_switched",
        "_has_pending_order",
    )

    def __init__(self, engine, clock, hold_limit_s):
        self._engine = engine
        self._clock = clock
        self._hold_limit_s = hold_limit_s
        self._lock = curio.Lock()
        self._highest = None
        self._hold_deadline = None
        # An earlier gate may have failed while an order to the engine was pending.
        # Without waiting for that order, this gate could release a rank that the engine
        # switches afterwards, and the group would step on mixed maps.
        self._has_pending_order = True
        self._may_have_switched = True

    async def handle(self, order):
        """Execute an order.

        Parameters
        ----------
        order : Order
            The order.

        Returns
        -------
        Done, Refused or None
            None if the engine gave no answer; the order may still take effect.
        """
        if self._highest is not None and order.number < self._highest:
            return Refused(self._highest)
        self._highest = order.number
        async with self._lock:
            # An order with a higher number may have arrived during the wait.
            if order.number < self._highest:
                return Refused(self._highest)
            try:
                await self._wait_for_pending_orders()
                return await _execute(order, self)
            except TargetError:
                return None

    async def release_expired_hold(self):
        """Release a hold that passed its deadline.

        A rank that may have switched stays held.
        """
        async with self._lock:
            if self._hold_deadline is None or not self._hold_deadline.passed():
                return
            if self._may_have_switched:
                return
            try:
                await self._wait_for_pending_orders()
                await self._send("release", self._highest.successor())
                self._hold_deadline = None
            except TargetError:
                self._hold_deadline = Deadline.after(self._clock, self._hold_limit_s)

    async def _wait_for_pending_orders(self):
        """Wait until no earlier order can take effect any more."""
        if self._has_pending_order:
            await self._engine.wait_for_pending_orders()
            self._has_pending_order = False

    async def _send(self, name, *arguments):
        """Send an order to the engine; without an answer, it counts as pending."""
        self._has_pending_order = True
        state = await getattr(self._engine, name)(*arguments)
        self._has_pending_order = False
        return Done(state)


@functools.singledispatch
async def _execute(order, gate):
    raise TypeError(f"unknown order: {order!r}")


@_execute.register
async def _(order: Promise, gate):
    return Done(await gate._engine.state(order.number))


@_execute.register
async def _(order: Stage, gate):
    return await gate._send("stage", order.number, order.version, order.expert_map)


@_execute.register
async def _(order: Hold, gate):
    state = await gate._engine.state(order.number)
    # A rank that was held before this gate started may have switched.  Only a rank that
    # is not held has certainly not switched.
    if not state.held:
        gate._may_have_switched = False
    gate._hold_deadline = Deadline.after(gate._clock, gate._hold_limit_s)
    return await gate._send("hold", order.number)


@_execute.register
async def _(order: Switch, gate):
    state = await gate._engine.state(order.number)
    if not state.held or state.staged_version != order.version:
        return Refused(gate._highest)
    gate._may_have_switched = True
    return await gate._send("switch", order.number, order.version)


@_execute.register
async def _(order: Release, gate):
    state = await gate._engine.state(order.number)
    if state.version != order.version:
        return Refused(gate._highest)
    gate._hold_deadline = None
    return await gate._send("release", order.number)
