"""All ranks of one group, told and asked together."""

import curio

from siskinthread.errors import TargetError
from siskinthread.group_maps._orders import OrderResult


class GroupRanks:
    """The ranks of one group.

    Parameters
    ----------
    clients : list of object
        One for each rank, in order: ``async report(wait_s)``, ``async counts(wait_s)``,
        ``async held_experts(wait_s)`` and ``async order(order, wait_s)``, which returns
        an `OrderResult`.  The first three raise `TargetError` without an answer.
    settings : GroupMapSettings
        Waits and tries.
    """

    __slots__ = ("_settings", "clients")

    def __init__(self, clients, settings):
        self.clients = clients
        self._settings = settings

    async def reports(self):
        """Return the `RankReport` of every rank.

        Raises
        ------
        TargetError
            If one of them does not answer.
        """
        return await self._ask_all(
            [(client.report, self._settings.order_wait_s) for client in self.clients]
        )

    async def held_experts(self):
        """Return the `HeldExperts` of every rank; raises like `reports`."""
        return await self._ask_all(
            [
                (client.held_experts, self._settings.order_wait_s)
                for client in self.clients
            ]
        )

    async def tell(self, rank, order):
        """Send an order until the rank answers.

        An order whose answer was lost may have been carried out; each of them leaves
        the same state when it is carried out twice, so it is simply sent again.

        Returns
        -------
        OrderResult
            ``UNKNOWN`` if no try was answered.
        """
        settings = self._settings
        for _ in range(settings.order_tries):
            result = await self.clients[rank].order(order, settings.order_wait_s)
            if result is not OrderResult.UNKNOWN:
                return result
        return OrderResult.UNKNOWN

    async def tell_all(self, orders, on_taken=None):
        """Send each rank its order at the same time; return the results by rank.

        Parameters
        ----------
        orders : dict of int to order
            Orders by rank.
        on_taken : callable, optional
            Called with the rank as soon as it has taken its order.
        """
        tasks = {
            rank: await curio.spawn(self._tell_one, rank, order, on_taken, daemon=True)
            for rank, order in orders.items()
        }
        return {rank: await task.join() for rank, task in tasks.items()}

    async def _tell_one(self, rank, order, on_taken):
        result = await self.tell(rank, order)
        if on_taken is not None and result is OrderResult.TAKEN:
            on_taken(rank)
        return result

    async def _ask_all(self, questions):
        tasks = [
            await curio.spawn(_answer_or_error, ask, wait_s, daemon=True)
            for ask, wait_s in questions
        ]
        answers = [await task.join() for task in tasks]
        for answer in answers:
            if isinstance(answer, TargetError):
                raise answer
        return answers


async def _answer_or_error(ask, wait_s):
    try:
        return await ask(wait_s)
    except TargetError as error:
        return error
