"""Print the processor time of a target choice with 192 targets and 99 peers."""

import random
import socket
import sys
import time

from siskinthread.gateway import GatewaySettings, RequestFacts, RequestKind, Route
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway._request import GatewayRequest
from siskinthread.gateway._target_connection import TargetConnection
from siskinthread.gateway._target_list import TargetEntry
from siskinthread.load_control import SpeedStatement
from siskinthread.observability import Metrics
from siskinthread.peer_news import (
    HostState,
    PeerGossip,
    PeerGossipSettings,
    PeerMessage,
)
from siskinthread.settings import Address
from siskinthread.timing import Clock, Deadline

TARGET_COUNT, PEER_COUNT, SLOW_COUNT, CHOICES, ROUNDS = 192, 99, 16, 200, 7
KEPT_COUNT = 24
DOMAINS = ("a", "b", "c")
# Sockets that stay open during the whole run.
_TARGET_ENDS = []


def main(with_groups, slow_count, kept_count):
    """Measure the choice among targets of three domains.

    Parameters
    ----------
    with_groups : bool
        Whether the targets are ranks of two groups.
    slow_count : int
        Number of targets that peers report as slow.
    kept_count : int
        Number of targets with an idle connection.
    """
    clock = Clock()
    parts = GatewayParts(
        GatewaySettings(), "a", None, clock, Metrics(), random.Random(1)
    )
    entries = [
        TargetEntry(f"i-{n:04x}", "app", "127.0.0.1", 1, DOMAINS[n % 3], 8, False)
        for n in range(TARGET_COUNT)
    ]
    parts.targets.replace(entries)
    if with_groups:
        parts.choice.group_of = lambda instance_id: f"g-{int(instance_id[2:], 16) % 2}"
    peers = PeerGossip(
        PeerGossipSettings(), Address("10.0.0.1", 1), "a", [], clock, random.Random(1)
    )
    parts.loads.peers = parts.progress.peers = parts.accounts.peers = peers
    parts.slow_targets.peers = peers
    parts.load_control.speeds.peers = peers
    for entry in random.Random(3).sample(entries, kept_count):
        _add_idle_connection(parts, entry)
    route = Route("r", "app.example", "/", RequestKind.IDEMPOTENT, [], 2, 8.0, 1, True)
    times_ms = []
    for _ in range(ROUNDS):
        _receive_states(peers, entries, slow_count)
        began_s = time.process_time()
        for _ in range(CHOICES):
            deadline = Deadline.after(clock, 8.0)
            facts = RequestFacts("id", None, None)
            request = GatewayRequest(None, b"", facts, route, "app", None, 1, deadline)
            parts.choice.choose(request, set())
        times_ms.append((time.process_time() - began_s) / CHOICES * 1000)
    print("choice_ms", " ".join(f"{one:.3f}" for one in sorted(times_ms)))


def _add_idle_connection(parts, entry):
    """Add an idle connection to a target, whose other end stays open."""
    connection = TargetConnection(parts.settings, parts.clock)
    connection._socket, target_end = socket.socketpair()
    _TARGET_ENDS.append(target_end)
    connection._idle_deadline = Deadline.after(parts.clock, 600.0)
    parts.pool.idle.add(entry.instance_id, connection)


def _receive_states(peers, entries, slow_count):
    slow = {
        one.instance_id: SpeedStatement(3.0, 6.0, age_s=0.1)
        for one in entries[:slow_count]
    }
    draw = random.Random(2)
    for number in range(PEER_COUNT):
        counts = {one.instance_id: 1 for one in draw.sample(entries, 5)}
        address = Address(f"10.0.1.{number}", 1)
        state = HostState(1, True, counts, speeds=slow)
        peers._receive(PeerMessage(address, DOMAINS[number % 3], state, []))


if __name__ == "__main__":
    arguments = sys.argv[1:]
    main(
        "groups" in arguments,
        SLOW_COUNT if "slow" in arguments else 0,
        KEPT_COUNT if "kept" in arguments else 0,
    )
