"""Simulations of hosts whose processes wait for a CPU part of the time."""

import bisect
import random

from siskinthread.load_control.tests.replay import Replay

# Time for which waits are planned, seconds; longer than any simulated burst.
PLANNED_S = 12.0


class BusyHosts(Replay):
    """A replay whose hosts process no events while they wait for a CPU.

    Targets continue to run: a slot becomes free when its request ends, and the host is
    notified when its wait is over.

    Parameters
    ----------
    waiting_share : float
        Fraction of the time that each host waits, below 1.
    wait_s : float
        Mean length of a wait, seconds; lengths are drawn independently for each host.
    **shape
        Parameters of `Replay`.
    """

    def __init__(self, waiting_share, wait_s, seed=1, **shape):
        self._waits = {}
        super().__init__(seed=seed, **shape)
        draws = random.Random(seed)
        run_s = wait_s * (1 - waiting_share) / waiting_share
        for host in self.hosts:
            self._waits[host] = waits = []
            until_s = 0.0
            while until_s < PLANNED_S:
                from_s = until_s + draws.expovariate(1 / run_s)
                until_s = from_s + draws.expovariate(1 / wait_s)
                waits.append((from_s, until_s))

    def ask(self, kind, per_s, from_s, to_s, hosts=None):
        """Schedule requests at a constant rate between two times, seconds."""
        for number in range(round((to_s - from_s) * per_s)):
            at_s = from_s + number / per_s
            self.at(at_s, self._first_try, kind, hosts or self.hosts)

    def _run_or_defer(self, host, act, *arguments):
        """Run a function at once, or when the current wait of the host is over."""
        now_s = self.now_s()
        waits = self._waits[host]
        index = bisect.bisect_right(waits, now_s, key=lambda wait: wait[0]) - 1
        if index >= 0 and now_s < waits[index][1]:
            self.at(waits[index][1], act, *arguments)
        else:
            act(*arguments)

    def _report(self, host):
        self._run_or_defer(host, super()._report, host)

    def _try_at(self, host, *arguments):
        self._run_or_defer(host, super()._try_at, host, *arguments)

    def _note_end(self, host, *arguments):
        self._run_or_defer(host, super()._note_end, host, *arguments)
