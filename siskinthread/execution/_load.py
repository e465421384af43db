"""The load of this agent and its target."""

import curio

from siskinthread.errors import ConnectionLostError, TargetError
from siskinthread.timing import Deadline
from siskinthread.wire import LoadReport

MILLISECONDS_PER_SECOND = 1000


class Progress:
    """Tells whether the target has made progress lately.

    Parameters
    ----------
    settings : ExecutionSettings
        The limit.
    clock : Clock
        Clock of the deadline.
    """

    __slots__ = ("_clock", "_deadline", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self.note()

    def note(self):
        """Note that the target made progress, or has just been given work."""
        self._deadline = Deadline.after(self._clock, self._settings.stall_limit_s)

    def stalled(self):
        """Return whether there was no progress for too long."""
        return self._deadline.passed()


class LoadMonitor:
    """Reads the target's load and reports it together with this agent's own.

    Parameters
    ----------
    parts : ExecutionParts
        What the parts of an agent share.
    turns : Turns
        Knows this agent's own running and waiting requests.
    progress : Progress
        Knows whether the target makes progress.
    """

    __slots__ = (
        "_clock",
        "_progress",
        "_settings",
        "_target",
        "_target_load",
        "_target_load_at_s",
        "_turns",
    )

    def __init__(self, parts, turns, progress):
        self._settings = parts.settings
        self._target = parts.target
        self._clock = parts.clock
        self._turns = turns
        self._progress = progress
        self._target_load = None
        self._target_load_at_s = 0.0

    async def run(self):
        """Read the target's load again and again."""
        while True:
            try:
                self._target_load = await self._target.fetch_load()
                self._target_load_at_s = self._clock.monotonic_s()
            except (TargetError, ConnectionLostError):
                # The last report stands and ages.
                pass
            await curio.sleep(self._settings.load_interval_s)

    def report(self, leaving):
        """Return the `LoadReport` as of now.

        Notes
        -----
        The agent is the only way to the target, so its own counts are exact; the
        target's report adds what waits inside the target and its capacity.
        """
        running = len(self._turns.running)
        waiting = self._turns.waiting_count
        capacity = self._settings.running_limit
        age_ms = 0
        load = self._target_load
        if load is not None:
            inside_waiting = min(load.waiting, running)
            running -= inside_waiting
            waiting += inside_waiting
            capacity = load.capacity
            age_s = self._clock.monotonic_s() - self._target_load_at_s
            age_ms = load.age_ms + int(age_s * MILLISECONDS_PER_SECOND)
        return LoadReport(
            running=running,
            waiting=waiting,
            capacity=capacity,
            age_ms=age_ms,
            leaving=leaving,
            stalled=bool(self._turns.running) and self._progress.stalled(),
        )
