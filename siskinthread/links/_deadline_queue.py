"""Queue of deadlines that a single task serves.

A curio timeout for each wait would cost four traps for every token of every stream.
Here a deadline costs one heap entry for each attempt.
"""

import heapq
import itertools

import curio

from siskinthread.observability import part_logger

logger = part_logger("links")


class DeadlineQueue:
    """Calls ``await expiring.expire(deadline)`` when a deadline passes.

    Deadlines are never removed early: `expire` has to check whether the deadline still
    applies.
    """

    __slots__ = ("_heap", "_sequence", "_earliest_changed")

    def __init__(self):
        self._heap = []
        self._sequence = itertools.count()
        self._earliest_changed = curio.Event()

    async def add(self, deadline, expiring):
        """Schedule a call of ``expiring.expire(deadline)`` when `deadline` passes.

        Parameters
        ----------
        deadline : Deadline
            When to call.
        expiring : object
            Has a method ``async expire(deadline)`` that does not block.
        """
        item = (deadline.at_s, next(self._sequence), deadline, expiring)
        heapq.heappush(self._heap, item)
        if self._heap[0] is item:
            await self._earliest_changed.set()

    async def run(self):
        """Serve deadlines until cancelled."""
        while True:
            self._earliest_changed.clear()
            if not self._heap:
                await self._earliest_changed.wait()
                continue
            left_s = self._heap[0][2].left_s()
            if left_s > 0:
                await curio.ignore_after(left_s, self._earliest_changed.wait)
                continue
            _, _, deadline, expiring = heapq.heappop(self._heap)
            try:
                await expiring.expire(deadline)
            except Exception:
                # Without this, an error would end the task, and no later deadline would
                # be served.
                logger.exception("Unexpected error while serving a deadline.")
