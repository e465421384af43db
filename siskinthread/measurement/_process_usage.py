"""Processor time and memory of processes, from ``/proc``."""

import os
import time
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BYTES_PER_KIB = 1024
USER_FIELD = 11
SYSTEM_FIELD = 12
WAIT_FIELD = 1
NANOSECONDS_PER_SECOND = 1e9


class ProcessUsage:
    """Resource usage of a process at one time.

    Attributes
    ----------
    taken_at_s : float
        Time of the reading, monotonic seconds.
    cpu_s : float
        Total user and system time, seconds.
    waited_s : float
        Total time that the process was runnable but had no core, seconds.
    resident_bytes, peak_resident_bytes : int
        Resident memory, and its peak.
    """

    __slots__ = (
        "cpu_s",
        "peak_resident_bytes",
        "resident_bytes",
        "taken_at_s",
        "waited_s",
    )

    def __init__(
        self, taken_at_s, cpu_s, waited_s, resident_bytes, peak_resident_bytes
    ):
        self.taken_at_s = taken_at_s
        self.cpu_s = cpu_s
        self.waited_s = waited_s
        self.resident_bytes = resident_bytes
        self.peak_resident_bytes = peak_resident_bytes


def read_usage(pid):
    """Return the `ProcessUsage` of a process.

    Raises
    ------
    OSError
        If the process has ended.
    """
    folder = Path("/proc", str(pid))
    # The name of the program, in parentheses, may contain spaces.
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    waited_ns = int((folder / "schedstat").read_text().split()[WAIT_FIELD])
    taken_at_s = time.monotonic()
    status = dict(
        line.split(":", 1) for line in (folder / "status").read_text().splitlines()
    )
    return ProcessUsage(
        taken_at_s,
        ticks / TICKS_PER_S,
        waited_ns / NANOSECONDS_PER_SECOND,
        _size_bytes(status["VmRSS"]),
        _size_bytes(status["VmHWM"]),
    )


def core_share(before, after):
    """Return the share of a core that a process used between two readings."""
    return (after.cpu_s - before.cpu_s) / (after.taken_at_s - before.taken_at_s)


def wait_share(before, after):
    """Return the share of the time that a process was runnable but had no core."""
    return (after.waited_s - before.waited_s) / (after.taken_at_s - before.taken_at_s)


def _size_bytes(text):
    return int(text.split()[0]) * BYTES_PER_KIB
