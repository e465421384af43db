"""Times that processes of a run waited for a processor, as counted by the kernel."""

import bisect
import itertools
import time
from pathlib import Path

import curio

from scripts.soak._timer import SHORTEST_PAUSE_S

# Waits that are shorter than this interval are recorded as their sum.
INTERVAL_S = 0.05
NANOSECONDS = 1_000_000_000
# Index of the idle time in the line "cpu" of /proc/stat, without the name.
IDLE_FIELD = 3


class CpuTimes:
    """Run time of a process, and its time of waiting for a processor.

    Parameters
    ----------
    ran_s, waited_s : float
        Totals since the process started, seconds.
    """

    __slots__ = ("ran_s", "waited_s")

    def __init__(self, ran_s, waited_s):
        self.ran_s = ran_s
        self.waited_s = waited_s

    def since(self, earlier):
        """Return the difference to an earlier reading."""
        return CpuTimes(self.ran_s - earlier.ran_s, self.waited_s - earlier.waited_s)


def read_cpu_times(pid):
    """Return the `CpuTimes` of a process's main thread."""
    ran_ns, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return CpuTimes(int(ran_ns) / NANOSECONDS, int(waited_ns) / NANOSECONDS)


def read_idle():
    """Return idle time and total time of all processors since boot, in ticks."""
    _, *ticks = Path("/proc/stat").read_text().split("\n", 1)[0].split()
    return int(ticks[IDLE_FIELD]), sum(map(int, ticks))


class CpuHistory:
    """Times of processes and processors over a run.

    Parameters
    ----------
    processes : callable
        Returns the `scripts._processes.StartedProcess` by name; a restarted process has
        a new name.
    """

    __slots__ = ("_idle", "_processes", "_read_at_s", "_samples")

    def __init__(self, processes):
        self._processes = processes
        # Monotonic time of each reading, and its `CpuTimes` by process name.
        self._read_at_s = []
        self._samples = []
        # Idle time and total time of all processors at each reading, in kernel ticks.
        self._idle = []

    def read(self):
        """Read the times of all running processes."""
        self._read_at_s.append(time.monotonic())
        self._samples.append(
            {
                name: read_cpu_times(process.pid)
                for name, process in self._processes().items()
                if process.running()
            }
        )
        self._idle.append(read_idle())

    async def keep_reading(self):
        """Read until cancelled."""
        while True:
            self.read()
            await curio.sleep(INTERVAL_S)

    def shown(self, from_s, until_s):
        """Yield a line on each process with a long single wait in a span."""
        for name in self.names():
            longest_s = self.longest_wait_s(name, from_s, until_s)
            if longest_s >= SHORTEST_PAUSE_S:
                waited_s = self.within(name, from_s, until_s).waited_s
                yield (
                    f"{name} waited for a processor for {waited_s:.2f}, at once for "
                    f"{longest_s:.2f}"
                )

    def names(self):
        """Return the sorted names of all processes that were read."""
        return sorted(set().union(*self._samples))

    def within(self, name, from_s, until_s):
        """Return the `CpuTimes` of a process between the readings around a span."""
        times = self._times(name, from_s, until_s)
        return times[-1].since(times[0]) if times else CpuTimes(0.0, 0.0)

    def longest_wait_s(self, name, from_s, until_s):
        """Return the longest single wait of a process within a span, seconds.

        The kernel counts a wait when it ends.  If a reading was late, the result may be
        the sum of several waits.
        """
        pairs = itertools.pairwise(self._times(name, from_s, until_s))
        return max((later.since(one).waited_s for one, later in pairs), default=0.0)

    def idle_share(self, from_s, until_s):
        """Return the idle share of the time of all processors in a span."""
        spanned = self._idle[self._span(from_s, until_s)]
        if not spanned:
            return 0.0
        (idle_before, all_before), (idle, all_) = spanned[0], spanned[-1]
        return (idle - idle_before) / max(1, all_ - all_before)

    def _times(self, name, from_s, until_s):
        samples = self._samples[self._span(from_s, until_s)]
        return [sample[name] for sample in samples if name in sample]

    def _span(self, from_s, until_s):
        """Return the slice of the readings in a span and the adjacent readings."""
        first = bisect.bisect_right(self._read_at_s, from_s) - 1
        return slice(max(0, first), bisect.bisect_left(self._read_at_s, until_s) + 1)
