"""A burst of less urgent requests beside urgent ones, at several entries.

Each entry, each server, the store and the callers are processes of their own.  The test
prints figures of the machine beside the result, to tell a failure under other load from
one of the product: pauses of two timers, how long each process waited for a processor,
and the same for each urgent call that was late.
"""

import os
import time

from scripts._processes import Processes
from scripts.soak._pauses import Pause, Pauses, start_timer
from siskinthread.platform.tests.burst_callers import (
    BURST_FROM_S,
    BURST_TO_S,
    DRAFT,
    SHORTEST_PAUSE_S,
    URGENT,
)
from siskinthread.platform.tests.burst_system import (
    BurstSystem,
    CAPACITY_PER_S,
    ENTRIES,
    SERVICE_S,
)

OBJECTIVE_S = 0.4
# The used capacity can be seen from answers only once the burst has filled the slots.
USED_FROM_S = BURST_FROM_S + 0.5
# Time for entries to read the list and to learn of one another.
SETTLING_S = 0.5
# Number of late calls to print.
SHOWN_CALLS = 12


class Burst:
    """Results of the callers, and figures of the machine.

    Parameters
    ----------
    result : dict
        Printed result of the callers.
    pauses : list of scripts.soak._pauses.Pause
        Pauses of a process that only sleeps.
    cpu_history : CpuHistory
        Processor times of all other processes.
    """

    def __init__(self, result, pauses, cpu_history):
        self._began_s = result["began_s"]
        self._calls = result["calls"]
        self._pauses = {
            "machine": pauses,
            "callers": [Pause(*one) for one in result["pauses"]],
        }
        self._cpu_history = cpu_history

    def share_in_time(self, path):
        """Return the fraction of the burst's calls that were answered in time."""
        calls = self._burst_calls(path)
        return sum(is_in_time(one) for one in calls) / len(calls)

    def used_share(self):
        """Return the fraction of the capacity that the burst used."""
        times_s = [one["answered_s"] for one in self._calls]
        times_s = [one for one in times_s if one is not None]
        count = sum(USED_FROM_S <= at_s < BURST_TO_S for at_s in times_s)
        return count / (BURST_TO_S - USED_FROM_S) / CAPACITY_PER_S

    def measured(self):
        """Return lines with figures of the machine during the burst."""
        span_s = self._began_s + BURST_FROM_S, self._began_s + BURST_TO_S
        idle_share = self._cpu_history.idle_share(*span_s)
        yield (
            f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores, "
            f"{idle_share:.3f} of their time idle"
        )
        latest_s = max(one["asked_s"] - one["due_s"] for one in self._calls)
        yield f"latest call {latest_s:.3f} s after its due time"
        for name, pauses in self._pauses.items():
            lengths_s = [one.overlap_s(*span_s) for one in pauses]
            lengths_s = [one for one in lengths_s if one > 0]
            longest_s = max(lengths_s, default=0.0)
            yield f"pauses of {name}: {len(lengths_s)}, the longest {longest_s:.3f} s"
        for name in [*(f"entry-{number}" for number in range(ENTRIES)), "callers"]:
            times = self._cpu_history.within(name, *span_s)
            longest_s = self._cpu_history.longest_wait_s(name, *span_s)
            yield (
                f"{name} ran {times.ran_s:.2f} s, waited {times.waited_s:.2f} s, at "
                f"once {longest_s:.3f} s"
            )

    def late_calls(self, path):
        """Return a line on each call of the burst that was late."""
        for one in self._burst_calls(path):
            if is_in_time(one):
                continue
            tries = ", ".join(self._shown(*tried) for tried in one["tries"])
            yield f"{path} at {one['asked_s']:.3f}: {tries}"

    def _burst_calls(self, path):
        return [
            one
            for one in self._calls
            if one["path"] == path and BURST_FROM_S <= one["asked_s"] < BURST_TO_S
        ]

    def _shown(self, number, status, from_s, until_s):
        name = f"entry-{number}"
        span_s = self._began_s + from_s, self._began_s + until_s
        times = self._cpu_history.within(name, *span_s)
        return (
            f"{status} by {name} at {from_s:.3f} after {until_s - from_s:.3f} s, in "
            f"which it waited {times.waited_s:.3f} s"
        )


def is_in_time(call):
    """Return whether a call was answered within the objective of its first attempt."""
    answered_s = call["answered_s"]
    return answered_s is not None and answered_s - call["asked_s"] <= OBJECTIVE_S


def play(folder):
    """Return the `Burst` of a run, and the mean time that a slot was held, seconds."""
    with Processes(folder) as processes:
        timer = start_timer(processes, SHORTEST_PAUSE_S)
        system = BurstSystem(processes, folder)
        system.start()
        time.sleep(SETTLING_S)
        result = system.call()
        held_s = system.held_s()
        pauses = Pauses()
        pauses.read(timer.log_path)
    return Burst(result, pauses.of_machine, system.cpu_history), held_s


def test_urgent_requests_are_answered_in_a_burst_of_less_urgent_ones(tmp_path):
    """Guards against refusing urgent requests while a burst fills all slots.

    If entries refill slots at once that have just become free, 0.15 of the urgent
    requests are answered within 400 ms of their first attempt, and 0.82 of the slots
    are used.
    """
    burst, held_s = play(tmp_path)
    urgent_share, used_share = burst.share_in_time(URGENT), burst.used_share()
    print(f"urgent in time {urgent_share:.3f}, capacity used {used_share:.3f}")
    print(f"drafts within 400 ms {burst.share_in_time(DRAFT):.3f}")
    print(f"slots held for {held_s:.3f} s, capacity at that {SERVICE_S / held_s:.3f}")
    print(*burst.measured(), *list(burst.late_calls(URGENT))[:SHOWN_CALLS], sep="\n")
    assert urgent_share >= 0.95
    assert used_share >= 0.85
