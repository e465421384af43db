"""Monotonic clock for tests that excludes time in which the process did not run.

All parts of a system in one process, their callers and their timers read the same
clock.  Time in which other processes had the processor, or the machine was paused, thus
doesn't make the system look slow.  Time bounds of tests hold by this clock.
"""

import contextlib
import selectors
import threading
import time

import curio

_monotonic = time.monotonic
_sleep = time.sleep


class RunningClock:
    """Monotonic clock that advances by a thread's processor time and its waits.

    While tasks run, the clock advances by the processor time of the thread;
    `time.sleep` adds its length.  While no task is ready, it advances in real time, at
    most until the next timer is due.  It belongs to the thread that creates it; other
    threads may read it.
    """

    __slots__ = ("_cpu_clock", "_cpu_s", "_now_s", "_thread")

    def __init__(self):
        self._thread = threading.get_ident()
        self._cpu_clock = time.pthread_getcpuclockid(self._thread)
        self._cpu_s = time.clock_gettime(self._cpu_clock)
        self._now_s = _monotonic()

    def monotonic(self):
        """Return the time, seconds."""
        return self._now_s + time.clock_gettime(self._cpu_clock) - self._cpu_s

    def sleep(self, for_s):
        """Block the calling thread as `time.sleep` does."""
        _sleep(for_s)
        if threading.get_ident() == self._thread:
            self._now_s += for_s

    def waited(self, for_s):
        """Advance the clock by a wait of the thread in which no task was ready.

        Parameters
        ----------
        for_s : float
            Length of the wait, seconds.
        """
        self._now_s += for_s


class RunningSelector(selectors.DefaultSelector):
    """Selector that advances a clock by its waits.

    Parameters
    ----------
    clock : RunningClock
        Clock to advance.
    """

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        """Wait until a file is ready, at most `timeout` seconds."""
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        began_s = _monotonic()
        ready = super().select(timeout)
        waited_s = _monotonic() - began_s
        self._clock.waited(waited_s if timeout is None else min(waited_s, timeout))
        return ready


@contextlib.contextmanager
def running_clock():
    """Make `time.monotonic` and `time.sleep` use a `RunningClock`; yield the clock."""
    clock = RunningClock()
    time.monotonic, time.sleep = clock.monotonic, clock.sleep
    try:
        yield clock
    finally:
        time.monotonic, time.sleep = _monotonic, _sleep


def run(task, *args, **fields):
    """Run an async function as `curio.run` does, with a `RunningClock`."""
    with running_clock() as clock:
        selector = RunningSelector(clock)
        return _curio_run(task, *args, selector=selector, **fields)


_curio_run = curio.run
