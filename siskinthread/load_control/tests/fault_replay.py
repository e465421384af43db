"""Replays of a burst while a third of the hosts is killed, partitioned, or joins.

``python -m siskinthread.load_control.tests.fault_replay --hosts 4 12 --seeds 12``
prints the fraction of urgent requests in time after the fault, and how much of the
capacity is used.
"""

import argparse
import logging

from siskinthread.load_control.tests.replay import Kind, Replay, SimulatedPeers
from siskinthread.peer_news import PeerGossipSettings
from siskinthread.peer_news._message import add_counts

FAULTS = ("none", "killed", "cut", "joins")
URGENT_S = 0.4
BURST_S = (4.0, 9.0)
# During the burst, when the reserve and the shares have settled.
FAULT_S = 6.0
# Capacity of four targets with four slots, at 0.2 s per request; with more hosts,
# targets and rates are scaled up.
SERVED_PER_S = 80
URGENT_PER_S = 24
DRAFT_PER_S = 240
DOMAIN_COUNT = 3
PEER_SETTINGS = PeerGossipSettings()


class PartitionedPeers(SimulatedPeers):
    """Reports of the hosts on the same side of a partition.

    The last reports of the other side count until they are stale.

    Parameters
    ----------
    replay : FaultReplay
        Has the hosts, and the sums of their reports.
    own : Host
        The host that receives the reports.
    """

    def __init__(self, replay, own):
        super().__init__(replay.hosts, own, replay.interval_s)
        self._replay = replay

    def has_fresh_loads(self):
        """Return whether another host has reported recently."""
        side = self._replay.side_of(self._own)
        return len(side) > 1 or not self._replay.is_other_side_stale()

    def counts(self, instance_id):
        """Return the last reported number of requests at a target."""
        total = self._replay.reported_count(self._own, instance_id)
        return total - self._own.reported.get(instance_id, 0)


class FaultReplay(Replay):
    """A burst of less urgent requests with a fault during the burst.

    Parameters
    ----------
    host_count, seed : int
        Number of hosts, and the random seed.
    fault : str
        One of `FAULTS`. ``killed``: callers of a third of the hosts move to the others.
        ``cut``: this third and the other hosts receive no more reports from each other.
        ``joins``: callers start to use this third at the time of the fault.
    """

    def __init__(self, host_count, seed, fault):
        self._absent_hosts = set()
        self._affected_hosts = []
        self._partitioned_at_s = None
        # Sums of the reports of the hosts on each side, and these sums at the time of
        # the partition.
        self._reported_sums = [{}, {}]
        self._last_reports = [{}, {}]
        near_count = host_count / DOMAIN_COUNT - 1
        interval_s = PEER_SETTINGS.interval_s * max(
            1.0, near_count / PEER_SETTINGS.peers_at_full_rate
        )
        super().__init__(
            host_count,
            target_count=max(4, host_count),
            interval_s=interval_s,
            seed=seed,
        )
        self._affected_hosts = self.hosts[::3]
        for host in self.hosts:
            host.parts.loads.peers = PartitionedPeers(self, host)
        if fault == "killed":
            self.at(FAULT_S, self._absent_hosts.update, self._affected_hosts)
        if fault == "cut":
            self.at(FAULT_S, self._partition)
        if fault == "joins":
            self._absent_hosts.update(self._affected_hosts)
            self.at(FAULT_S, self._absent_hosts.clear)
        self._scale = len(self.targets) / 4
        self.urgent = Kind("urgent", 0, URGENT_S)
        self.ask(self.urgent, URGENT_PER_S * self._scale, 0.0, BURST_S[1])
        self.ask(Kind("draft", 2, 0.8), DRAFT_PER_S * self._scale, *BURST_S)

    def play(self):
        """Return the fraction of urgent requests in time, and of the capacity used."""
        self.run(BURST_S[1] + 0.8)
        in_time = self.share_within(self.urgent, URGENT_S, FAULT_S, BURST_S[1])
        used_per_s = self.answered_per_s(FAULT_S, BURST_S[1])
        return in_time, used_per_s / (SERVED_PER_S * self._scale)

    def side_of(self, host):
        """Return the hosts whose reports a host receives, itself included."""
        if self._partitioned_at_s is None:
            return self.hosts
        is_affected = host in self._affected_hosts
        return [
            one for one in self.hosts if (one in self._affected_hosts) == is_affected
        ]

    def is_other_side_stale(self):
        """Return whether the last reports of the other side have expired."""
        if self._partitioned_at_s is None:
            return False
        return self.now_s() - self._partitioned_at_s > PEER_SETTINGS.fresh_limit_s

    def reported_count(self, host, instance_id):
        """Return the reported requests at a target, those of the host included."""
        own_side = host in self._affected_hosts
        total = self._reported_sums[own_side].get(instance_id, 0)
        if self._partitioned_at_s is None:
            return total + self._reported_sums[not own_side].get(instance_id, 0)
        if not self.is_other_side_stale():
            total += self._last_reports[not own_side].get(instance_id, 0)
        return total

    def _partition(self):
        self._partitioned_at_s = self.now_s()
        self._last_reports = [dict(sums) for sums in self._reported_sums]

    def _report(self, host):
        sums = self._reported_sums[host in self._affected_hosts]
        add_counts(sums, {name: -count for name, count in host.reported.items()})
        super()._report(host)
        add_counts(sums, host.reported)

    def _try(self, call, hosts, is_first):
        present_hosts = [host for host in hosts if host not in self._absent_hosts]
        super()._try(call, present_hosts, is_first)


def main():
    """Print the outcome for urgent requests."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seeds", type=int, default=12, help="number of runs per fault"
    )
    parser.add_argument("--hosts", type=int, nargs="*", default=(4, 12))
    options = parser.parse_args()
    logging.disable()
    for host_count in options.hosts:
        for fault in FAULTS:
            runs = [
                FaultReplay(host_count, seed, fault).play()
                for seed in range(options.seeds)
            ]
            in_time, used = zip(*runs, strict=True)
            print(
                f"{host_count} hosts, {fault}: urgent in time "
                f"{sum(in_time) / len(runs):.3f} (worst {min(in_time):.3f}), used "
                f"{sum(used) / len(runs):.3f} (worst {min(used):.3f})",
                flush=True,
            )


if __name__ == "__main__":
    main()
