"""How busy the machine is, so that figures of two runs can be compared."""

import os
import statistics
import time

import curio

LOOP_COUNT = 20_000
SAMPLE_INTERVAL_S = 0.5
MICROSECONDS_PER_SECOND = 1e6


class MachineState:
    """What a level of load found the machine like.

    Attributes
    ----------
    load_average : float
        Mean number of running processes over the last minute.
    loop_us : float
        Median processor time of one and the same loop, microseconds.  It rises when
        other processes share the cores' execution units and caches, and the processor
        times of everything else rise with it.
    """

    __slots__ = ("load_average", "loop_us")

    def __init__(self, load_average, loop_us):
        self.load_average = load_average
        self.loop_us = loop_us

    def as_dict(self):
        """Return the state, rounded, for JSON."""
        return {
            "load_average": round(self.load_average, 2),
            "loop_us": round(self.loop_us, 1),
        }


async def watch_machine(end_s):
    """Return the `MachineState` of the time until a monotonic time in seconds."""
    times_us = [_loop_us()]
    while (left_s := end_s - time.monotonic()) > 0:
        await curio.sleep(min(left_s, SAMPLE_INTERVAL_S))
        times_us.append(_loop_us())
    return MachineState(os.getloadavg()[0], statistics.median(times_us))


def _loop_us():
    begin_s = time.thread_time()
    for _ in range(LOOP_COUNT):
        pass
    return (time.thread_time() - begin_s) * MICROSECONDS_PER_SECOND
