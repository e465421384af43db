"""The gate before one rank's engine, in the agent of its host.

Rules that keep a step from running on mixed maps:

1. An order below the highest number seen is refused.
2. A rank that has switched, or may have, stays held until it is told to go on.
3. A rank that has not switched goes on by itself when its hold passes its deadline, so
   that a dead controller does not hold the group.
4. To an engine that ignores fencing numbers, no order is sent while an earlier one is
   unaccounted for.
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
    """Checks orders and passes them to the engine, one at a time.

    Parameters
    ----------
    engine : object
        Adapter with the coroutines ``state(number)``, ``stage(number, version,
        expert_map)``, ``hold(number)``, ``switch(number, version)``,
        ``release(number)`` and ``settle()``.  Each returns a `RankState` or raises
        `TargetError` when no answer came.  ``settle()`` returns only once no earlier
        order can take effect any more, or at once for an engine that checks numbers.
    clock : Clock
        Clock for the hold.
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
        "_unsettled",
    )

    def __init__(self, engine, clock, hold_limit_s):
        self._engine = engine
        self._clock = clock
        self._hold_limit_s = hold_limit_s
        self._lock = curio.Lock()
        self._highest = None
        self._hold_deadline = None
        # A new gate may follow one that died with an order on its way to the engine.
        # Acting before that order is accounted for could release a rank that the
        # engine then switches: the group would step on mixed maps.
        self._unsettled = True
        self._may_have_switched = True

    async def handle(self, order):
        """Carry out an order.

        Parameters
        ----------
        order : Order
            The order.

        Returns
        -------
        Done, Refused or None
            None when the engine gave no answer: the order may yet take effect.
        """
        if self._highest is not None and order.number < self._highest:
            return Refused(self._highest)
        self._highest = order.number
        async with self._lock:
            # While this waited, a higher order may have come in.
            if order.number < self._highest:
                return Refused(self._highest)
            try:
                await self._settle()
                return await _carry_out(order, self)
            except TargetError:
                return None

    async def lapse(self):
        """Release a hold whose deadline passed, unless the rank may have switched."""
        async with self._lock:
            if self._hold_deadline is None or not self._hold_deadline.passed():
                return
            if self._may_have_switched:
                return
            try:
                await self._settle()
                await self._send("release", self._highest.following())
                self._hold_deadline = None
            except TargetError:
                self._hold_deadline = Deadline.after(self._clock, self._hold_limit_s)

    async def _settle(self):
        """Wait until no earlier order can take effect any more."""
        if self._unsettled:
            await self._engine.settle()
            self._unsettled = False

    async def _send(self, name, *arguments):
        """Send one order to the engine; leave the gate unsettled without an answer."""
        self._unsettled = True
        state = await getattr(self._engine, name)(*arguments)
        self._unsettled = False
        return Done(state)


@functools.singledispatch
async def _carry_out(order, gate):
    raise TypeError(f"no order: {order!r}")


@_carry_out.register
async def _(order: Promise, gate):
    return Done(await gate._engine.state(order.number))


@_carry_out.register
async def _(order: Stage, gate):
    return await gate._send("stage", order.number, order.version, order.expert_map)


@_carry_out.register
async def _(order: Hold, gate):
    state = await gate._engine.state(order.number)
    # A rank found held under a gate that was not there when it was held may have
    # switched; only one found running certainly has not.
    if not state.held:
        gate._may_have_switched = False
    gate._hold_deadline = Deadline.after(gate._clock, gate._hold_limit_s)
    return await gate._send("hold", order.number)


@_carry_out.register
async def _(order: Switch, gate):
    state = await gate._engine.state(order.number)
    if not state.held or state.staged_version != order.version:
        return Refused(gate._highest)
    gate._may_have_switched = True
    return await gate._send("switch", order.number, order.version)


@_carry_out.register
async def _(order: Release, gate):
    state = await gate._engine.state(order.number)
    if state.version != order.version:
        return Refused(gate._highest)
    gate._hold_deadline = None
    return await gate._send("release", order.number)
