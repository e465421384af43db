"""Simulated requests to hosts that share a cold target.

``python -m siskinthread.target_limits.tests.cold_model --seeds 1000`` prints for each
number of hosts and each fault how often the bound was exceeded, the most requests of a
second, and how much of the bound was used.
"""

import argparse
import bisect
import heapq
import itertools
import logging
import random

from siskinthread.gateway import RouteTable, Service
from siskinthread.gateway.tests.parts import entry
from siskinthread.target_limits import ColdTargets, ColdTargetSettings
from siskinthread.target_limits.tests.model import most_within
from siskinthread.timing import ManualClock

SETTINGS = ColdTargetSettings(excess_ratio=1.5, excess_count=5.0)
SIZES = (1, 2, 4, 12, 38, 99, 300)
COLD_S = 8.0
TARGET = entry("i-1")
REPORT_INTERVAL_S = 1.0
LOST_SHARE = 0.1
LATE_S = 1.0
SETTLE_S = 3.0
# Time to open a connection, share of connections that are open, and delay of a link.
CONNECT_S = 0.4
OPEN_SHARE = 0.8
LINK_S = 0.015
FAULTS = ("none", "joins", "deaf", "joins in a cut")
NEVER_S = 1e9


class FakePeers:
    """The hosts that one host knows, each from a scripted time on.

    Parameters
    ----------
    clock : ManualClock
        Advanced by the run.
    late_s : list of tuple of float, int
        For each host that is not known from the beginning, the time at which it
        becomes known, and its position in the order of the target.
    place, host_count : int
        This host's position among all hosts, and their number.
    settled_s : float
        Time from which on all hosts may be known; 0 if they were known before.
    """

    def __init__(self, clock, late_s, place, host_count, settled_s):
        self._clock = clock
        self._late = sorted(late_s)
        self._place = place
        self._host_count = host_count
        self._settled_s = settled_s

    def roster_count(self):
        """Return the number of known hosts, including this one."""
        return self._host_count - len(self._unknown())

    def roster_position(self, name):
        """Return the number of known hosts before this one."""
        return self._place - sum(place < self._place for _, place in self._unknown())

    def is_roster_known(self):
        """Return whether this host knows as many hosts as the others do."""
        if not self._settled_s:
            return True
        is_settled = self._clock.monotonic_s() >= self._settled_s
        return is_settled and not self._unknown()

    def _unknown(self):
        """Return the hosts that are not known yet."""
        now_s = self._clock.monotonic_s()
        return self._late[bisect.bisect_right(self._late, (now_s, NEVER_S)) :]


class Run:
    """One run.

    Parameters
    ----------
    host_count : int
        Number of hosts.
    seed : int
        Seed of all random values.
    fault : str
        One of `FAULTS`.
    cold_per_s : float
        Requests a second that the cold target can handle.
    is_even : bool
        Whether callers use all hosts equally, or only the first one.
    asked_per_s : float
        Requests a second of callers at each host, or at the first one.
    """

    def __init__(
        self,
        host_count,
        seed,
        fault="none",
        cold_per_s=5.0,
        is_even=True,
        asked_per_s=5.0,
    ):
        self._random = random.Random(seed)
        self._clock = ManualClock(monotonic_s=0.0)
        self._fault = fault
        self._host_count = host_count
        # A third of the hosts each is cut off or receives no reports, and joins.
        self._third = host_count // 3
        service = Service("app", cold_start_s=COLD_S, cold_per_s=cold_per_s)
        self.bound = cold_per_s * SETTINGS.excess_ratio + SETTINGS.excess_count
        order = self._random.sample(range(host_count), host_count)
        self._hosts = []
        for number in range(host_count):
            cold = ColdTargets(SETTINGS, self._clock, self._random)
            cold.peers = self._peers(number, order)
            cold.take_table(RouteTable(1, [], [service], None, None))
            cold.note_entry(TARGET, is_new=True)
            self._hosts.append(cold)
        senders = range(host_count) if is_even else range(1)
        self._asked_per_s = asked_per_s * len(senders)
        self._senders = senders
        self.written_s = []
        self.arrived_s = []

    def play(self):
        """Run the model; return the most requests of a second, and the part used."""
        orders = itertools.count()
        events = [(0.0, next(orders), self._ask, None)]
        while events:
            at_s, _, happen, value = heapq.heappop(events)
            if at_s >= COLD_S:
                break
            self._clock.advance(max(0.0, at_s - self._clock.monotonic_s()))
            for wait_s, then, result in happen(value):
                heapq.heappush(events, (at_s + wait_s, next(orders), then, result))
        most = max(most_within(self.written_s, 1.0), most_within(self.arrived_s, 1.0))
        used = len(self.written_s) / COLD_S / self.bound
        return most, used

    def _ask(self, value):
        cold = self._hosts[self._random.choice(self._senders)]
        if cold.admitted([TARGET], "app", True):
            is_open = self._random.random() < OPEN_SHARE
            wait_s = 0.0 if is_open else self._random.random() * CONNECT_S
            yield wait_s, self._write, cold.take(TARGET)
        yield self._random.expovariate(self._asked_per_s), self._ask, None

    def _write(self, permit):
        if permit.may_be_written():
            permit.written()
            self.written_s.append(self._clock.monotonic_s())
            yield self._random.random() * LINK_S, self._arrive, None
        permit.release()

    def _arrive(self, value):
        self.arrived_s.append(self._clock.monotonic_s())
        return ()

    def _peers(self, number, order):
        late_s = []
        if self._fault != "none":
            known_at_s = [
                (self._known_at_s(number, other), order[other])
                for other in range(self._host_count)
                if other != number
            ]
            late_s = [one for one in known_at_s if one[0] > 0]
        joins_s = self._start_s(number)
        settled_s = joins_s + SETTLE_S if joins_s or self._is_isolated(number) else 0.0
        return FakePeers(
            self._clock, late_s, order[number], self._host_count, settled_s
        )

    def _known_at_s(self, number, other):
        """Return when a host first receives a report of another host."""
        if self._is_isolated(number) or self._is_cut(number, other):
            return NEVER_S
        start_s = max(self._start_s(number), self._start_s(other))
        if not start_s:
            return 0.0
        at_s = start_s
        while self._random.random() < LOST_SHARE:
            at_s += REPORT_INTERVAL_S
        return at_s + LATE_S * self._random.random()

    def _start_s(self, number):
        """Return when a host starts; the last third joins 0.5 s after the target."""
        joins = self._fault.startswith("joins")
        is_last = number >= self._host_count - self._third
        return 0.5 if joins and is_last else 0.0

    def _is_isolated(self, number):
        """Return whether a host has just started and receives no reports."""
        return self._fault == "deaf" and number < self._third

    def _is_cut(self, number, other):
        """Return whether a cut keeps two hosts from ever learning of each other.

        Hosts that knew each other before the cut still count each other.
        """
        if self._fault != "joins in a cut":
            return False
        cut_count = (number < self._third) + (other < self._third)
        return cut_count == 1 and bool(self._start_s(number) or self._start_s(other))


def main():
    """Print the results of the quotas."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=100, help="runs of each kind")
    parser.add_argument("--hosts", type=int, nargs="*", default=SIZES)
    options = parser.parse_args()
    logging.disable()
    for host_count in options.hosts:
        for fault in FAULTS:
            _print_runs(host_count, options.seeds, fault=fault)
        _print_runs(host_count, options.seeds, is_even=False, asked_per_s=50.0)
        _print_runs(host_count, options.seeds, asked_per_s=50 / host_count)
        _print_runs(host_count, options.seeds, cold_per_s=20.0, asked_per_s=20.0)


def _print_runs(host_count, seed_count, **values):
    played = []
    for seed in range(seed_count):
        run = Run(host_count, seed, **values)
        played.append(run.play())
    most = [one for one, _ in played]
    used = sum(one for _, one in played) / len(played)
    print(
        f"{host_count:4} hosts, {values}: {sum(one > run.bound for one in most)} of "
        f"{len(most)} exceeded, most {max(most)} of {run.bound}, used {used:.2f}",
        flush=True,
    )


if __name__ == "__main__":
    main()
