"""One task that ends whatever passes its deadline.

A timeout of curio for each wait would cost four traps for every token of every stream;
here a deadline costs one heap entry for each attempt.
"""

import heapq
import itertools

import curio

from siskinthread.observability import part_logger

logger = part_logger("links")


class DeadlineQueue:
    """Calls ``await expiring.expire(deadline)`` when a deadline passes.

    Entries aren't taken out early: the one that expires has to find out by itself
    whether the deadline still matters.
    """

    __slots__ = ("_heap", "_sequence", "_sooner")

    def __init__(self):
        self._heap = []
        self._sequence = itertools.count()
        self._sooner = curio.Event()

    async def add(self, deadline, expiring):
        """Have `expiring` told when `deadline` passes.

        Parameters
        ----------
        deadline : Deadline
            The deadline.
        expiring : object
            Has an ``async expire(deadline)`` that does not block.
        """
        entry = (deadline.at_s, next(self._sequence), deadline, expiring)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            await self._sooner.set()

    async def run(self):
        """Serve deadlines until cancelled."""
        while True:
            self._sooner.clear()
            if not self._heap:
                await self._sooner.wait()
                continue
            left_s = self._heap[0][2].left_s()
            if left_s > 0:
                await curio.ignore_after(left_s, self._sooner.wait)
                continue
            _, _, deadline, expiring = heapq.heappop(self._heap)
            try:
                await expiring.expire(deadline)
            except Exception:
                # Without this, one error would leave every later deadline unserved.
                logger.exception("Error at a deadline.")
