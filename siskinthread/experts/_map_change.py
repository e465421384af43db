"""The controller's side of the protocol of a map change.

The phases are stage, hold, switch and release.  Each phase starts only after every rank
has confirmed the previous one, so that no rank steps while another rank may still
change its map.
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
    """Outcome of a change or a recovery."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    SUPERSEDED = "superseded"
    UNFINISHED = "unfinished"


class MapChange:
    """Change the map of a group under one claim.

    Parameters
    ----------
    ranks : object
        ``async broadcast(orders)`` takes a dict of rank to `Order`, sends all orders
        and returns a dict of rank to `Done`, `Refused` or None (no answer in time).
        ``names()`` returns the ranks.
    fencing : int
        Fencing number: the offset of the claim.
    round_limit : int
        Attempts to switch, and to release, before the change is left to `recover`.
    """

    __slots__ = ("_fencing", "_ranks", "_round_limit", "_sequence")

    def __init__(self, ranks, fencing, round_limit=3):
        self._ranks = ranks
        self._fencing = fencing
        self._round_limit = round_limit
        self._sequence = 0

    async def change(self, old_version, version, expert_map):
        """Change the map of every rank.

        Parameters
        ----------
        old_version, version : int
            Version in force and new version.
        expert_map : ExpertMap
            Map of the new version.

        Returns
        -------
        ChangeResult
            After ``UNFINISHED``, ranks that may have switched stay held; call
            `recover`.
        """
        names = self._ranks.names()
        if not await self._broadcast_confirmed(names, Stage, version, expert_map):
            return ChangeResult.UNCHANGED
        if not await self._broadcast_confirmed(names, Hold, version):
            # No switch was sent under this claim, so no rank can have switched.
            await self._broadcast_confirmed(names, Release, old_version)
            return ChangeResult.UNCHANGED
        return await self._switch_and_release(names, version)

    async def recover(self, map_by_version):
        """Finish or undo an unfinished change of this or an earlier controller.

        First, every rank promises to refuse all earlier orders.  If any rank has
        switched, the others are switched too; if none has, all ranks are released.

        Parameters
        ----------
        map_by_version : callable
            Takes a version and returns its `ExpertMap`, for ranks that do not have it.

        Returns
        -------
        ChangeResult
            ``UNFINISHED`` if a rank does not confirm an order.
        """
        names = self._ranks.names()
        states = await self._request_states(names)
        if len(states) < len(names):
            return ChangeResult.UNFINISHED
        versions = {state.version for state in states.values()}
        version = max(known for known in versions if known is not None)
        if versions == {version}:
            released = await self._broadcast_confirmed(names, Release, version)
            return ChangeResult.CHANGED if released else ChangeResult.UNFINISHED
        outdated = [name for name in names if states[name].version != version]
        if not await self._broadcast_confirmed(
            outdated, Stage, version, map_by_version(version)
        ):
            return ChangeResult.UNFINISHED
        if not await self._broadcast_confirmed(names, Hold, version):
            return ChangeResult.UNFINISHED
        return await self._switch_and_release(names, version, outdated)

    async def _switch_and_release(self, names, version, outdated=None):
        unconfirmed = list(names if outdated is None else outdated)
        for _ in range(self._round_limit):
            unconfirmed = await self._switch(unconfirmed, version)
            if not unconfirmed:
                break
            # A rank whose hold expired was released with the old map.  The other ranks
            # stay held, so the group does not step.  The rank is held and switched
            # again.
            await self._broadcast_confirmed(unconfirmed, Hold, version)
        if unconfirmed:
            return ChangeResult.UNFINISHED
        for _ in range(self._round_limit):
            if await self._broadcast_confirmed(names, Release, version):
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

    async def _request_states(self, names):
        replies = await self._broadcast(names, Promise)
        return {
            name: reply.state
            for name, reply in replies.items()
            if isinstance(reply, Done)
        }

    async def _broadcast_confirmed(self, names, order_class, *arguments):
        """Send an order to the ranks; return whether every rank confirmed it."""
        replies = await self._broadcast(names, order_class, *arguments)
        return all(isinstance(reply, Done) for reply in replies.values())

    async def _broadcast(self, names, order_class, *arguments):
        self._sequence += SEQUENCE_STEP
        number = OrderNumber(self._fencing, self._sequence)
        orders = {name: order_class(number, *arguments) for name in names}
        return await self._ranks.broadcast(orders)
