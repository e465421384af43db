"""Hosts with real peer reports before a limited or a cold target, with network faults.

``python -m siskinthread.target_limits.tests.fault_model --hosts 4 12 --seeds 20``
prints for each fault how often a bound was exceeded, the most requests of a window, and
how much of the bound was used.
"""

import argparse
import logging

from siskinthread.gateway import RouteTable, Service
from siskinthread.gateway.tests.parts import entry
from siskinthread.peer_news import HostState
from siskinthread.peer_news.tests.scripted_fleet import ScriptedFleet
from siskinthread.target_limits import (
    ColdTargets,
    ColdTargetSettings,
    StatedLimit,
    TargetLimits,
    TargetLimitSettings,
)
from siskinthread.target_limits.tests.model import allowed_count, most_within

TARGET = entry("i-1")
ANSWER_S = 0.02
# Reports have settled, the fault begins, hosts join during it, it ends, the run ends.
SETTLED_S = 5.0
FAULT_S = 10.0
JOINS_S = 12.0
HEALED_S = 18.0
END_S = 20.0
JOINING_SHARE = 0.75
COLD_S = 8.0
FLAP_S = 1.0
COLD_PER_S = 5.0
COLD_SETTINGS = ColdTargetSettings(excess_ratio=1.5, excess_count=5.0)
FAULTS = ("none", "bridge", "domain cut", "joins", "bridge joins", "cut joins", "kills")


class FaultyFleet:
    """Hosts with requests for one target, and a fault in the middle of the run.

    Parameters
    ----------
    host_count : int
        Hosts at the beginning; three quarters as many join.
    asked_per_s : float
        Requests a second of callers, who use all hosts equally.
    seed : int
        Seed of all random values.
    fault : str
        One of `FAULTS`: none; failure domains a and b receive only from c; a is cut off
        from both others; hosts join; hosts join during either cut; the hosts of one
        domain, a third of all hosts, are killed.

    Attributes
    ----------
    sent_s : list of float
        When requests were sent to the target, seconds since the start.
    """

    def __init__(self, host_count, asked_per_s, seed, fault):
        self.fleet = ScriptedFleet(self._build, host_count, seed)
        self.sent_s = []
        self._asked_per_s = asked_per_s
        at = self.fleet.at
        at(0.0, self._request)
        if fault in ("bridge", "bridge joins", "domain cut", "cut joins"):
            at(FAULT_S, self.fleet.cut, "a", "b")
            at(HEALED_S, self.fleet.heal)
        if fault in ("domain cut", "cut joins"):
            at(FAULT_S, self.fleet.cut, "a", "c")
        if fault in ("joins", "bridge joins", "cut joins"):
            at(JOINS_S, self.fleet.join, round(JOINING_SHARE * host_count))
        if fault == "kills":
            at(FAULT_S, self.fleet.kill, self.fleet.hosts[::3])

    def _request(self):
        fleet = self.fleet
        host = fleet.random.choice(fleet.live())
        if self._takes(host):
            self.sent_s.append(fleet.now_s())
        fleet.after(fleet.random.expovariate(self._asked_per_s), self._request)


class LimitedFleet(FaultyFleet):
    """Hosts before a target that states a rate limit."""

    def __init__(self, host_count, limit_per_s, seed, fault="none"):
        self.limit_per_s = limit_per_s
        super().__init__(host_count, 2 * limit_per_s, seed, fault)

    def play(self):
        """Return the most requests of a window, and the used fraction of the limit."""
        self.fleet.run(END_S)
        settled_s = [at_s for at_s in self.sent_s if at_s >= SETTLED_S]
        in_fault = [at_s for at_s in settled_s if FAULT_S <= at_s < HEALED_S]
        used_per_s = len(in_fault) / (HEALED_S - FAULT_S)
        most = most_within(settled_s, TargetLimitSettings().window_s)
        return most, used_per_s / self.limit_per_s

    def _build(self, fleet, host):
        limits = TargetLimits(TargetLimitSettings(), fleet.clock, host.random)
        limits.peers = host.gossip
        host.limits = host.gossip.limits = limits
        host.gossip.describe = lambda: HostState(
            1, True, {}, limits=limits.statements(), asked_rates=limits.asked_rates()
        )

    def _takes(self, host):
        host.limits.note_asked(TARGET.service_name, 1)
        if not host.limits.admitted([TARGET], TARGET.service_name, 1):
            return False
        host.limits.note_sent(TARGET.instance_id)
        self.fleet.after(ANSWER_S, self._answer, host, self.fleet.now_s())
        return True

    def _answer(self, host, sent_at_s):
        host.limits.note_answer(TARGET, sent_at_s, StatedLimit(self.limit_per_s))


class ColdFleet(FaultyFleet):
    """Hosts before a target that starts with the fault, and is cold for `COLD_S`."""

    def __init__(self, host_count, seed, fault="none"):
        service = Service("app", cold_start_s=COLD_S, cold_per_s=COLD_PER_S)
        self._table = RouteTable(1, [], [service], None, None)
        self.bound = COLD_PER_S * COLD_SETTINGS.excess_ratio
        self.bound += COLD_SETTINGS.excess_count
        super().__init__(host_count, 5.0 * host_count, seed, fault)
        self.fleet.at(FAULT_S, self._start_target)

    def play(self):
        """Return the most requests of a second, and the used fraction of the bound."""
        self.fleet.run(FAULT_S + COLD_S - 0.001)
        return most_within(self.sent_s, 1.0), len(self.sent_s) / COLD_S / self.bound

    def _build(self, fleet, host):
        cold = ColdTargets(COLD_SETTINGS, fleet.clock, host.random)
        cold.peers = host.gossip
        cold.take_table(self._table)
        host.cold = cold
        host.gossip.on_cold = cold.hear
        host.gossip.sends_roster = True
        host.gossip.describe = lambda: HostState(1, True, {}, cold=cold.statements())
        if fleet.now_s() >= FAULT_S:
            cold.note_entry(TARGET, is_new=True)

    def _start_target(self):
        for host in self.fleet.hosts:
            host.cold.note_entry(TARGET, is_new=True)

    def _takes(self, host):
        if self.fleet.now_s() < FAULT_S:
            return False
        if not host.cold.admitted([TARGET], TARGET.service_name, True):
            return False
        permit = host.cold.take(TARGET)
        may_be_written = permit.may_be_written()
        if may_be_written:
            permit.written()
        permit.release()
        return may_be_written


class FlappingColdFleet(ColdFleet):
    """Hosts before a warm target that alternates between unreachable and cold.

    Each time that the target is back, under the same id, it states its remaining cold
    time in its answers.

    Parameters
    ----------
    host_count, seed : int
        Number of hosts, and the seed of all random values.
    down_s : float
        For how long the target is unreachable in each second.
    """

    def __init__(self, host_count, seed, down_s):
        self._down_s = down_s
        super().__init__(host_count, seed)

    def _start_target(self):
        for host in self.fleet.hosts:
            host.cold.note_entry(TARGET)

    def _takes(self, host):
        now_s = self.fleet.now_s()
        if now_s < FAULT_S or not host.cold.admitted([TARGET], "app", True):
            return False
        permit = host.cold.take(TARGET)
        is_up = (now_s - FAULT_S) % FLAP_S >= self._down_s
        may_be_written = permit.may_be_written()
        if is_up and may_be_written:
            permit.written()
            self.fleet.after(ANSWER_S, self._answer, host, now_s)
        permit.release()
        if not is_up:
            host.cold.note_failure(TARGET.instance_id)
        return is_up and may_be_written

    def _answer(self, host, sent_at_s):
        began_s = sent_at_s - (sent_at_s - FAULT_S) % FLAP_S + self._down_s
        left_s = max(0.0, began_s + COLD_S - self.fleet.now_s())
        host.cold.note_answer(TARGET, left_s)


def main():
    """Print the results of each fault."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20, help="runs of each kind")
    parser.add_argument("--hosts", type=int, nargs="*", default=(4, 12, 38))
    parser.add_argument("--faults", nargs="*", default=FAULTS)
    options = parser.parse_args()
    logging.disable()
    for host_count in options.hosts:
        for fault in options.faults:
            for limit_per_s in (2.0, 20.0):
                runs = [
                    LimitedFleet(host_count, limit_per_s, seed, fault).play()
                    for seed in range(options.seeds)
                ]
                name = f"{host_count} hosts, {fault}, limit {limit_per_s:g}"
                _print_runs(name, runs, allowed_count(limit_per_s))
            fleets = [
                ColdFleet(host_count, seed, fault) for seed in range(options.seeds)
            ]
            runs = [fleet.play() for fleet in fleets]
            _print_runs(f"{host_count} hosts, {fault}, cold", runs, fleets[0].bound)


def _print_runs(name, runs, bound):
    most = [one for one, _ in runs]
    used = sum(one for _, one in runs) / len(runs)
    print(
        f"{name}: {sum(one > bound for one in most)} of {len(most)} exceeded, "
        f"most {max(most)} of {bound:g}, used {used:.2f}",
        flush=True,
    )


if __name__ == "__main__":
    main()
