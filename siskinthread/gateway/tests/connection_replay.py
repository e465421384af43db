"""Simulation of hosts that keep connections to the ranks of groups.

``python -m siskinthread.gateway.tests.connection_replay HOSTS [PER_S]`` prints how many
connections are opened and how requests are spread over ranks, by settings.  Further
arguments: ``spanned`` for two groups that span all failure domains, ``alone`` for no
groups, ``again`` for another seed.
"""

import collections
import random
import sys

from siskinthread.gateway import GatewaySettings, RequestKind
from siskinthread.gateway._connection_settings import ConnectionSettings
from siskinthread.gateway._parts import GatewayParts
from siskinthread.load_control.tests.replay import Kind, Replay, SimulatedPeers
from siskinthread.observability import Metrics

DOMAINS = ("a", "b", "c")
# With more peers than this, only those of the own failure domain report loads often.
PEERS_AT_FULL_RATE = 8
FAR_INTERVAL_S = 1.0
WARM_UP_S = 10.0


class Connection:
    """A kept connection with an idle time-out."""

    def __init__(self, clock):
        self._clock = clock
        self.until_s = 0.0

    def is_reusable(self):
        """Return whether the connection may carry a request."""
        return self._clock.monotonic_s() < self.until_s


class PeersByDomain(SimulatedPeers):
    """Loads of peers; with many peers, those of other failure domains are delayed."""

    def __init__(self, replay, own):
        super().__init__(replay.hosts, own, replay.interval_s)
        self._replay = replay
        self._local_count = sum(one.domain == own.domain for one in replay.hosts) - 1

    def is_crowded(self):
        """Return whether only peers of the own failure domain report often."""
        return len(self._hosts) - 1 > PEERS_AT_FULL_RATE

    def full_rate_peer_count(self):
        """Return the number of peers that report often."""
        return self._local_count if self.is_crowded() else len(self._hosts) - 1

    def counts(self, instance_id):
        """Return the requests of peers at a target as last reported."""
        replay, domain = self._replay, self._own.domain
        count = -self._own.reported.get(instance_id, 0)
        for one in DOMAINS:
            is_delayed = self.is_crowded() and one != domain
            count += (replay.delayed if is_delayed else replay.recent)[one][instance_id]
        return count

    def excess_tokens(self):
        """Return no excess tokens."""
        return {}


class ConnectionReplay(Replay):
    """Hosts that send requests to groups of ranks.

    Parameters
    ----------
    host_count : int
        Number of hosts, spread over three failure domains.
    connections : ConnectionSettings
        The settings under test.
    idle_s : float
        Idle time-out of connections, seconds.
    group_of : callable or None
        Returns the group of a target by its entry; None for no groups.
    target_count : int
        Number of ranks, with 5 slots each.
    seed : int
        Seed of the arrivals.
    """

    def __init__(
        self, host_count, connections, idle_s, group_of, target_count=72, seed=1
    ):
        super().__init__(
            host_count,
            target_count,
            slots=5,
            queue=4,
            service_s=1.8,
            seed=seed,
            domains=DOMAINS,
        )
        self._idle_s = idle_s
        self._used = {}
        self.recent = {one: collections.Counter() for one in DOMAINS}
        self.delayed = self.recent
        self.sent_counts = collections.Counter()
        self.connection_counts = collections.Counter()
        self.full_count = 0
        self.most_at_once = 0
        settings = GatewaySettings(connections=connections)
        for number, host in enumerate(self.hosts):
            host.parts = GatewayParts(
                settings,
                host.domain,
                None,
                self.clock,
                Metrics(),
                random.Random(seed * 100 + number),
            )
            host.parts.targets.replace([one.entry for one in self.targets.values()])
            if host_count > 1:
                peers = PeersByDomain(self, host)
                host.parts.loads.peers = host.parts.accounts.peers = peers
                host.parts.load_control.speeds.peers = peers
            if group_of is not None:
                host.parts.choice.group_of = {
                    one: group_of(target.entry) for one, target in self.targets.items()
                }.get
        self.at(0.0, self._exchange_loads, 0)

    def play(self, kind, per_s, to_s):
        """Run with callers that send requests at a constant rate."""
        self.ask(kind, per_s, 0.0, to_s)
        self.run(to_s)

    def _report(self, host):
        """Do nothing; `_exchange_loads` sums the loads once for all hosts."""

    def _exchange_loads(self, round_number):
        sums = {one: collections.Counter() for one in DOMAINS}
        for host in self.hosts:
            host.reported = host.parts.loads.own_counts()
            sums[host.domain].update(host.reported)
        self.recent = sums
        if round_number % round(FAR_INTERVAL_S / self.interval_s) == 0:
            self.delayed = sums
        self.at(self.now_s() + self.interval_s, self._exchange_loads, round_number + 1)

    def _note_sent(self, host, request, target):
        running = super()._note_sent(host, request, target)
        instance_id = target.entry.instance_id
        connection = None
        if request.kind.is_repeatable:
            connection = host.parts.pool.idle.take(instance_id)
        kind = "new" if connection is None else "kept"
        self._used[running] = connection or Connection(self.clock)
        if self.now_s() >= WARM_UP_S:
            self.connection_counts[kind] += 1
            self.sent_counts[instance_id] += 1
            self.full_count += target.running >= target.entry.slot_count
            at_once = target.running + len(target.queue) + 1
            self.most_at_once = max(self.most_at_once, at_once)
        return running

    def _note_end(self, host, running, call, target):
        super()._note_end(host, running, call, target)
        connection = self._used.pop(running)
        idle = host.parts.pool.idle
        if idle.has_room(target.entry.instance_id):
            connection.until_s = self.clock.monotonic_s() + self._idle_s
            idle.add(target.entry.instance_id, connection)
        if self.now_s() % 1.0 < self.interval_s:
            idle.drop_unusable(set(self.targets))

    def figures(self):
        """Return the compared figures by name."""
        counts = [self.sent_counts[one] for one in self.targets]
        total = sum(counts)
        calls = [one for one in self.calls if one.at_s >= WARM_UP_S]
        return {
            "new": self.connection_counts["new"] / total,
            "jain": total**2 / len(counts) / sum(one**2 for one in counts),
            "most/mean": max(counts) * len(counts) / total,
            "at once": self.most_at_once,
            "met full": self.full_count / total,
            "refused": sum(bool(one.causes) for one in calls) / len(calls),
            "idle": max(len(one.parts.pool.idle) for one in self.hosts),
        }


def group_per_domain(entry):
    """Return the group of a target with one group per failure domain."""
    return entry.failure_domain


def group_across_domains(entry):
    """Return the group of a target with two groups that span all failure domains."""
    return f"g{int(entry.instance_id[2:]) // len(DOMAINS) % 2}"


def main(host_count, per_s=150.0, group_of=group_per_domain, seed=1, to_s=40.0):
    """Print the figures for several settings."""
    cases = [
        ("off", ConnectionSettings(is_preferred=False), 4.0),
        *(
            (f"bound {bound}", ConnectionSettings(busier_limit_count=bound), 4.0)
            for bound in (0, 1, 2, 3)
        ),
        ("off, 15 s", ConnectionSettings(is_preferred=False), 15.0),
        ("bound 2, 7.5 s", ConnectionSettings(busier_limit_count=2), 7.5),
        ("bound 2, 15 s", ConnectionSettings(busier_limit_count=2), 15.0),
    ]
    for name, connections, idle_s in cases:
        replay = ConnectionReplay(host_count, connections, idle_s, group_of, seed=seed)
        kind = Kind("s", 1, request_kind=RequestKind.STREAM_RESUMABLE)
        replay.play(kind, per_s, to_s)
        values = [f"{key} {value:.3f}" for key, value in replay.figures().items()]
        print(f"{host_count} hosts, {name}:", ", ".join(values), flush=True)


if __name__ == "__main__":
    per_s = float(sys.argv[2]) if len(sys.argv) > 2 else 150.0
    grouping = group_across_domains if "spanned" in sys.argv else group_per_domain
    if "alone" in sys.argv:
        grouping = None
    main(int(sys.argv[1]), per_s, grouping, seed=2 if "again" in sys.argv else 1)
