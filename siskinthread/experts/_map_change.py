"""The controller's side of a map change, written straight down.

Stage on every rank, hold every rank, switch every rank, release every rank.  Each phase
begins only when every rank has confirmed the one before, so that no rank goes on while
another may still change its map.
"""

import enum

from siskinthread.experts._orders import (
    Done,
    Hold,
    OrderNumber,
    Promise,
    Release,
    Stage,
    Switch,
)

SEQUENCE_STEP = 2


class ChangeResult(enum.StrEnum):
    """What became of a change or a recovery."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    SUPERSEDED = "superseded"
    UNFINISHED = "unfinished"


class MapChange:
    """Changes the map of one group under one claim.

    Parameters
    ----------
    ranks : object
        ``async broadcast(orders)`` takes a dict of rank to `Order`, sends them all and
        returns a dict of rank to `Done`, `Refused` or None (no answer in time).
        ``names()`` returns the ranks.
    fencing : int
        Offset of the claim.
    round_limit : int
        Rounds of switching or releasing before the change is left to `recover`.
    """

    __slots__ = ("_fencing", "_ranks", "_round_limit", "_sequence")

    def __init__(self, ranks, fencing, round_limit=3):
        self._ranks = ranks
        self._fencing = fencing
        self._round_limit = round_limit
        self._sequence = 0

    async def change(self, old_version, version, expert_map):
        """Bring every rank from one map to another.

        Parameters
        ----------
        old_version, version : int
            Version in force and version to reach.
        expert_map : ExpertMap
            Map of the new version.

        Returns
        -------
        ChangeResult
            ``UNFINISHED`` leaves ranks held that may have switched; call `recover`.
        """
        names = self._ranks.names()
        if not await self._all(names, Stage, version, expert_map):
            return ChangeResult.UNCHANGED
        if not await self._all(names, Hold, version):
            # No switch was sent under this claim, so no rank can have switched.
            await self._all(names, Release, old_version)
            return ChangeResult.UNCHANGED
        return await self._switch_and_release(names, version)

    async def recover(self, map_of):
        """Finish or undo whatever an earlier controller, or this one, left.

        Every rank first refuses all earlier orders.  If any rank has switched, the
        rest follow; if none has, all are released.

        Parameters
        ----------
        map_of : callable
            Returns the `ExpertMap` of a version, for ranks that lost it.

        Returns
        -------
        ChangeResult
            ``UNFINISHED`` when a rank does not answer.
        """
        names = self._ranks.names()
        states = await self._states(names)
        if len(states) < len(names):
            return ChangeResult.UNFINISHED
        versions = {state.version for state in states.values()}
        version = max(known for known in versions if known is not None)
        if versions == {version}:
            released = await self._all(names, Release, version)
            return ChangeResult.CHANGED if released else ChangeResult.UNFINISHED
        behind = [name for name in names if states[name].version != version]
        if not await self._all(behind, Stage, version, map_of(version)):
            return ChangeResult.UNFINISHED
        if not await self._all(names, Hold, version):
            return ChangeResult.UNFINISHED
        return await self._switch_and_release(names, version, behind)

    async def _switch_and_release(self, names, version, behind=None):
        waiting = list(names if behind is None else behind)
        for _ in range(self._round_limit):
            waiting = await self._switch(waiting, version)
            if not waiting:
                break
            # A rank whose hold lapsed went on with the old map.  The others stay held,
            # so the group does not step; it is held again and switched.
            await self._all(waiting, Hold, version)
        if waiting:
            return ChangeResult.UNFINISHED
        for _ in range(self._round_limit):
            if await self._all(names, Release, version):
                return ChangeResult.CHANGED
        return ChangeResult.UNFINISHED

    async def _switch(self, names, version):
        """Return the ranks that did not confirm the switch."""
        replies = await self._broadcast(names, Switch, version)
        return [
            name
            for name, reply in replies.items()
            if not isinstance(reply, Done) or reply.state.version != version
        ]

    async def _states(self, names):
        replies = await self._broadcast(names, Promise)
        return {
            name: reply.state
            for name, reply in replies.items()
            if isinstance(reply, Done)
        }

    async def _all(self, names, order_class, *arguments):
        """Send one kind of order; return whether every rank confirmed it."""
        replies = await self._broadcast(names, order_class, *arguments)
        return all(isinstance(reply, Done) for reply in replies.values())

    async def _broadcast(self, names, order_class, *arguments):
        self._sequence += SEQUENCE_STEP
        number = OrderNumber(self._fencing, self._sequence)
        orders = {name: order_class(number, *arguments) for name in names}
        return await self._ranks.broadcast(orders)
