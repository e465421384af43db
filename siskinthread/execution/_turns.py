"""Which requests run and which wait, by priority."""

import bisect
import itertools

URGENT_PRIORITY = 0


class Placed:
    """A request that was taken in.

    Parameters
    ----------
    runs : bool
        Whether it runs at once.
    displaced : Execution or None
        A less urgent one that waited and has to be refused in its place.
    """

    __slots__ = ("displaced", "runs")

    def __init__(self, runs, displaced=None):
        self.runs = runs
        self.displaced = displaced


class Turns:
    """At most so many running and so many waiting; the most urgent goes first.

    Parameters
    ----------
    settings : ExecutionSettings
        The limits.

    Attributes
    ----------
    running : set of Execution
        Those that run.
    """

    __slots__ = ("_sequence", "_settings", "_waiting", "running")

    def __init__(self, settings):
        self._settings = settings
        self._sequence = itertools.count()
        self._waiting = []
        self.running = set()

    @property
    def waiting_count(self):
        """Number of those that wait."""
        return len(self._waiting)

    def waiting(self):
        """Return those that wait, the most urgent first."""
        return [execution for _, _, execution in self._waiting]

    def place(self, execution):
        """Let a request run or wait.

        Returns
        -------
        Placed or None
            None if there is no room for it.
        """
        if self._goes_first(execution) and self._may_run(execution):
            self.running.add(execution)
            return Placed(runs=True)
        if self.waiting_count < self._settings.waiting_limit:
            self._push(execution)
            return Placed(runs=False)
        return self._displace(execution)

    def _goes_first(self, execution):
        return not self._waiting or execution.priority < self._waiting[0][0]

    def _displace(self, execution):
        if not self._waiting or self._waiting[-1][0] <= execution.priority:
            return None
        _, _, displaced = self._waiting.pop()
        self._push(execution)
        return Placed(runs=False, displaced=displaced)

    def _push(self, execution):
        entry = (execution.priority, next(self._sequence), execution)
        bisect.insort(self._waiting, entry)

    def _may_run(self, execution):
        limit = self._settings.running_limit
        if execution.priority == URGENT_PRIORITY:
            limit += self._settings.urgent_running_limit
        return len(self.running) < limit

    def leave(self, execution):
        """Take out a request that ended, whether it ran or waited."""
        self.running.discard(execution)
        self._waiting = [entry for entry in self._waiting if entry[2] is not execution]

    def next_to_run(self):
        """Return the next request that may run now, now counted as running, or None."""
        if not self._waiting or not self._may_run(self._waiting[0][2]):
            return None
        _, _, execution = self._waiting.pop(0)
        self.running.add(execution)
        return execution
