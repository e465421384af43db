"""Load of the machine, for the comparison of figures of different runs."""

import os
import statistics
import time

import curio

LOOP_COUNT = 20_000
SAMPLE_INTERVAL_S = 0.5
MICROSECONDS_PER_SECOND = 1e6


class MachineState:
    """State of the machine during a level of load.

    Attributes
    ----------
    load_average : float
        Mean number of running processes over the last minute.
    loop_us : float
        Median processor time of a fixed loop, microseconds.  It rises when other
        processes share the execution units and caches of the cores, and with it the
        processor times of all other code.
    """

    __slots__ = ("load_average", "loop_us")

    def __init__(self, load_average, loop_us):
        self.load_average = load_average
        self.loop_us = loop_us

    def as_dict(self):
        """Return the rounded state as a dict for JSON."""
        return {
            "load_average": round(self.load_average, 2),
            "loop_us": round(self.loop_us, 1),
        }


async def watch_machine(end_s):
    """Sample until `end_s`, monotonic seconds, and return the `MachineState`."""
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
