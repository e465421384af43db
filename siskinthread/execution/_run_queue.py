"""Priority queue that decides which requests run and which wait."""

import bisect
import itertools

URGENT_PRIORITY = 0


class Placement:
    """Result of admitting an execution.

    Parameters
    ----------
    runs : bool
        Whether the execution runs at once.
    displaced : Execution or None
        A less urgent waiting execution that was removed to make room and has to be
        refused.
    """

    __slots__ = ("displaced", "runs")

    def __init__(self, runs, displaced=None):
        self.runs = runs
        self.displaced = displaced


class RunQueue:
    """Running and waiting executions within limits; the most urgent runs first.

    Parameters
    ----------
    settings : ExecutionSettings
        Limits of running and waiting executions.

    Attributes
    ----------
    running : set of Execution
        The executions that run.
    """

    __slots__ = ("_sequence", "_settings", "_waiting", "running")

    def __init__(self, settings):
        self._settings = settings
        self._sequence = itertools.count()
        self._waiting = []
        self.running = set()

    @property
    def waiting_count(self):
        """Number of waiting executions."""
        return len(self._waiting)

    def waiting(self):
        """Return the waiting executions, the most urgent first."""
        return [execution for _, _, execution in self._waiting]

    def admit(self, execution):
        """Admit an execution to run at once or to wait.

        Returns
        -------
        Placement or None
            None if the queue is full of executions that are at least as urgent.
        """
        if self._precedes_waiting(execution) and self._may_run(execution):
            self.running.add(execution)
            return Placement(runs=True)
        if self.waiting_count < self._settings.waiting_limit:
            self._enqueue(execution)
            return Placement(runs=False)
        return self._displace(execution)

    def _precedes_waiting(self, execution):
        return not self._waiting or execution.priority < self._waiting[0][0]

    def _displace(self, execution):
        if not self._waiting or self._waiting[-1][0] <= execution.priority:
            return None
        _, _, displaced = self._waiting.pop()
        self._enqueue(execution)
        return Placement(runs=False, displaced=displaced)

    def _enqueue(self, execution):
        item = (execution.priority, next(self._sequence), execution)
        bisect.insort(self._waiting, item)

    def _may_run(self, execution):
        limit = self._settings.running_limit
        if execution.priority == URGENT_PRIORITY:
            limit += self._settings.urgent_running_limit
        return len(self.running) < limit

    def remove(self, execution):
        """Remove an execution that ended, whether it ran or waited."""
        self.running.discard(execution)
        self._waiting = [item for item in self._waiting if item[2] is not execution]

    def next_to_run(self):
        """Move the next execution that may run to `running` and return it, or None."""
        if not self._waiting or not self._may_run(self._waiting[0][2]):
            return None
        _, _, execution = self._waiting.pop(0)
        self.running.add(execution)
        return execution
