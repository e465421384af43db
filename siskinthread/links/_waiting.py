"""Waiting for an event of one exchange, and waking the tasks of many exchanges at once.

`curio.Event` costs a trap of the curio kernel for each task that is woken.  One read of
a busy link brings tokens for many exchanges; here one trap wakes all of their tasks.
"""

from curio.traps import _scheduler_wait, _scheduler_wake


class ExchangeWaiter:
    """Lets one task wait; curio defines the names of the ``_kernel_`` methods."""

    __slots__ = ("_task",)

    def __init__(self):
        self._task = None

    async def wait(self):
        """Suspend the calling task until it is woken."""
        await _scheduler_wait(self, "EXCHANGE_WAIT")

    async def wake(self):
        """Wake the task, if it waits."""
        if self._task is not None:
            await _scheduler_wake(self, 1)

    def _kernel_suspend(self, task):
        self._task = task
        return self._clear

    def _kernel_wake(self, count):
        task, self._task = self._task, None
        return [] if task is None else [task]

    def _clear(self):
        self._task = None


class WakeBatch:
    """Waiters whose tasks are woken together."""

    __slots__ = ("_first_waiters", "_waiters")

    def __init__(self):
        self._first_waiters = []
        self._waiters = []

    def add(self, waiter):
        """Add an `ExchangeWaiter` whose task is woken by the next `wake`."""
        self._waiters.append(waiter)

    def add_priority(self, waiter):
        """Add a waiter whose task is woken first, since its caller has no bytes yet."""
        self._first_waiters.append(waiter)

    async def wake(self):
        """Wake the tasks of all waiters that were added."""
        count = len(self._first_waiters) + len(self._waiters)
        if count:
            await _scheduler_wake(self, count)

    def _kernel_wake(self, count):
        waiters = self._first_waiters + self._waiters
        self._first_waiters, self._waiters = [], []
        tasks = []
        for waiter in waiters:
            # A waiter that was added twice has no task left the second time.
            tasks += waiter._kernel_wake(1)
        return tasks
