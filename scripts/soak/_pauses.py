"""Pauses of the machine, measured during a run."""

import json
import sys
import time

import curio

from scripts._processes import ROOT
from scripts.soak._timer import SHORTEST_PAUSE_S, TIMER_S


class Pause:
    """Span in which a due timer did not fire.

    Parameters
    ----------
    began_s, ended_s : float
        Monotonic seconds; all processes of a host share this clock.
    """

    __slots__ = ("began_s", "ended_s")

    def __init__(self, began_s, ended_s):
        self.began_s = began_s
        self.ended_s = ended_s

    @property
    def length_s(self):
        """Length, seconds."""
        return self.ended_s - self.began_s

    def overlap_s(self, from_s, until_s):
        """Return the length of the overlap with a span, seconds."""
        return max(0.0, min(self.ended_s, until_s) - max(self.began_s, from_s))


class Pauses:
    """Pauses that two independent timers detected.

    Parameters
    ----------
    shortest_s : float
        Shorter delays of the soak's own timer are not recorded, seconds.

    Attributes
    ----------
    of_machine : list of Pause
        Pauses that the otherwise idle process of `scripts.soak._timer` detected.
    of_soak : list of Pause
        Pauses that the soak's own process detected; includes delays in which only this
        process was busy.
    """

    __slots__ = ("_shortest_s", "of_machine", "of_soak")

    def __init__(self, shortest_s=SHORTEST_PAUSE_S):
        self._shortest_s = shortest_s
        self.of_machine = []
        self.of_soak = []

    async def keep_watching(self):
        """Record late firings of the soak's own timer until cancelled."""
        while True:
            due_s = time.monotonic() + TIMER_S
            await curio.sleep(TIMER_S)
            now_s = time.monotonic()
            if now_s - due_s >= self._shortest_s:
                self.of_soak.append(Pause(due_s, now_s))

    def read(self, log_path):
        """Read the pauses that the timer process has printed."""
        # The last line may be incomplete.
        lines = log_path.read_text().split("\n")[:-1]
        self.of_machine = [Pause(*json.loads(line)) for line in lines]

    def running_s(self, from_s, until_s):
        """Return the time in which the machine ran within a span, seconds.

        Only time in which both timers were paused is subtracted, since a single process
        may be delayed on its own.
        """
        return (
            until_s
            - from_s
            - sum(
                Pause(
                    max(one.began_s, own.began_s), min(one.ended_s, own.ended_s)
                ).overlap_s(from_s, until_s)
                for one in self.of_machine
                for own in self.of_soak
            )
        )

    def shown(self, from_s, until_s, start_s):
        """Return a line on each pause that overlaps a span, timed from `start_s`."""
        named = [("machine", one) for one in self.of_machine]
        named += [("soak's process", one) for one in self.of_soak]
        return [
            f"pause of the {name} at {one.began_s - start_s:.2f} for {one.length_s:.2f}"
            for name, one in named
            if one.overlap_s(from_s, until_s) > 0
        ]


def start_timer(processes, shortest_s=SHORTEST_PAUSE_S):
    """Start the timer process; its log contains the pauses that it detects."""
    timer_path = ROOT / "scripts" / "soak" / "_timer.py"
    command = [sys.executable, str(timer_path), str(shortest_s)]
    return processes.start("timer", command)
