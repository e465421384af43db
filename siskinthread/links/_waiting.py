"""Waiting for an event of one exchange, and waking the tasks of many at once.

`curio.Event` costs a trap of the kernel for each task that is woken.  A read of a busy
link brings tokens for many exchanges; here all of their tasks are woken by one trap.
"""

from curio.traps import _scheduler_wait, _scheduler_wake


class WaitingPlace:
    """Where one task waits; the methods that curio's kernel calls are named by it."""

    __slots__ = ("_task",)

    def __init__(self):
        self._task = None

    async def wait(self):
        """Suspend the calling task until it is woken."""
        await _scheduler_wait(self, "EXCHANGE_WAIT")

    async def wake(self):
        """Wake the task, if one waits."""
        if self._task is not None:
            await _scheduler_wake(self, 1)

    def _kernel_suspend(self, task):
        self._task = task
        return self._forget

    def _kernel_wake(self, count):
        task, self._task = self._task, None
        return [] if task is None else [task]

    def _forget(self):
        self._task = None


class WakeBatch:
    """Places whose tasks are to be woken together."""

    __slots__ = ("_first_places", "_places")

    def __init__(self):
        self._first_places = []
        self._places = []

    def add(self, place):
        """Have the task of a `WaitingPlace` woken by the next `wake`."""
        self._places.append(place)

    def add_first(self, place):
        """Have a task woken before those of `add`: its caller has nothing so far."""
        self._first_places.append(place)

    async def wake(self):
        """Wake the tasks of all places that were added."""
        count = len(self._first_places) + len(self._places)
        if count:
            await _scheduler_wake(self, count)

    def _kernel_wake(self, count):
        places = self._first_places + self._places
        self._first_places, self._places = [], []
        tasks = []
        for place in places:
            # A place that was added twice has lost its task the second time.
            tasks += place._kernel_wake(1)
        return tasks
