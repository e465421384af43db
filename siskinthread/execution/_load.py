"""Load of this agent and its target."""

import curio

from siskinthread.errors import ConnectionLostError, TargetError
from siskinthread.timing import Deadline
from siskinthread.wire import LoadReport

MILLISECONDS_PER_SECOND = 1000


class StallDetector:
    """Detects that the target has sent no event for `stall_limit_s`.

    Parameters
    ----------
    settings : ExecutionSettings
        Gives `stall_limit_s`.
    clock : Clock
        Clock of the deadline.
    """

    __slots__ = ("_clock", "_deadline", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self.note_progress()

    def note_progress(self):
        """Restart the time limit: the target made progress or was given a request."""
        self._deadline = Deadline.after(self._clock, self._settings.stall_limit_s)

    def stalled(self):
        """Return whether the time limit has passed without progress."""
        return self._deadline.passed()


class LoadMonitor:
    """Polls the target's load and combines it with this agent's own counts.

    Parameters
    ----------
    parts : ExecutionParts
        Objects that the parts of an agent share.
    run_queue : RunQueue
        Gives this agent's own running and waiting requests.
    stall_detector : StallDetector
        Tells whether the target is stalled.
    """

    __slots__ = (
        "_clock",
        "_stall_detector",
        "_settings",
        "_target",
        "_target_load",
        "_target_load_time_s",
        "_run_queue",
    )

    def __init__(self, parts, run_queue, stall_detector):
        self._settings = parts.settings
        self._target = parts.target
        self._clock = parts.clock
        self._run_queue = run_queue
        self._stall_detector = stall_detector
        self._target_load = None
        self._target_load_time_s = 0.0

    async def run(self):
        """Poll the target's load until cancelled."""
        while True:
            try:
                self._target_load = await self._target.fetch_load()
                self._target_load_time_s = self._clock.monotonic_s()
            except (TargetError, ConnectionLostError):
                # Keep the last report; its age shows that it is old.
                pass
            await curio.sleep(self._settings.load_interval_s)

    def report(self, leaving):
        """Return the current `LoadReport`.

        Parameters
        ----------
        leaving : bool
            Whether this agent takes no new work.

        Notes
        -----
        All requests reach the target through the agent, so the agent's own counts are
        exact.  The target's report adds its capacity and the number of requests that
        are queued inside the target.
        """
        running = len(self._run_queue.running)
        waiting = self._run_queue.waiting_count
        capacity = self._settings.running_limit
        age_ms = 0
        load = self._target_load
        if load is not None:
            inside_waiting = min(load.waiting, running)
            running -= inside_waiting
            waiting += inside_waiting
            capacity = load.capacity
            age_s = self._clock.monotonic_s() - self._target_load_time_s
            age_ms = load.age_ms + int(age_s * MILLISECONDS_PER_SECOND)
        return LoadReport(
            running=running,
            waiting=waiting,
            capacity=capacity,
            age_ms=age_ms,
            leaving=leaving,
            stalled=bool(self._run_queue.running) and self._stall_detector.stalled(),
        )
