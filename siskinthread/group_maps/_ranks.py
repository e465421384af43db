"""All ranks of one group, told and asked together."""

from functools import singledispatch

import curio

from siskinthread.errors import TargetError
from siskinthread.group_maps._orders import OrderResult, Prepare

# Head and fields of an order without a map.
SMALL_ORDER_BYTES = 300
# Number of an expert and its part of the brackets; three places a rank.
HELD_EXPERT_BYTES = 5


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

    async def reports(self, ranks=None):
        """Return the `RankReport` of every rank, or of some.

        Parameters
        ----------
        ranks : iterable of int, optional
            Numbers of the ranks to ask.

        Raises
        ------
        TargetError
            If one of them does not answer.
        """
        clients = self.clients if ranks is None else [self.clients[i] for i in ranks]
        return await self._ask_all(
            [(client.report, self._settings.order_wait_s) for client in clients]
        )

    async def held_experts(self):
        """Return the `HeldExperts` of every rank; raises like `reports`."""
        return await self._ask_all(
            [
                (client.held_experts, self._settings.order_wait_s)
                for client in self.clients
            ]
        )

    async def tell(self, rank, order, sending_s=0.0):
        """Send an order until the rank answers.

        Parameters
        ----------
        rank : int
            The rank.
        order : object
            The order.
        sending_s : float
            Time for which the link may be busy with other orders, seconds.

        An order whose answer was lost may have been carried out; each of them leaves
        the same state when it is carried out twice, so it is simply sent again.

        Returns
        -------
        OrderResult
            ``UNKNOWN`` if no try was answered.
        """
        settings = self._settings
        for _ in range(settings.order_tries):
            wait_s = settings.order_wait_s + sending_s
            result = await self.clients[rank].order(order, wait_s)
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
        # All ranks get one and the same order, or small ones.
        largest_bytes = max(map(order_size_bytes, set(orders.values())), default=0)
        sending_s = largest_bytes * len(orders) / self._settings.send_rate_bytes_s
        tasks = {
            rank: await curio.spawn(
                self._tell_one, rank, order, sending_s, on_taken, daemon=True
            )
            for rank, order in orders.items()
        }
        return {rank: await task.join() for rank, task in tasks.items()}

    async def _tell_one(self, rank, order, sending_s, on_taken):
        result = await self.tell(rank, order, sending_s)
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


@singledispatch
def order_size_bytes(order):
    """Return about how many bytes an order takes on the way."""
    return SMALL_ORDER_BYTES


@order_size_bytes.register
def _(order: Prepare):
    held_count = sum(
        len(experts) for ranks in order.group_map.holdings for experts in ranks
    )
    return SMALL_ORDER_BYTES + held_count * HELD_EXPERT_BYTES


async def _answer_or_error(ask, wait_s):
    try:
        return await ask(wait_s)
    except TargetError as error:
        return error
