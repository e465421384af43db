"""Hosts that exchange real messages over a scripted network, on a manual clock.

Nothing is sent over sockets: the script delivers the datagrams, and also decides which
hosts reach each other.  It runs faults of hundreds of hosts in one process.
"""

import heapq
import itertools
import random

from siskinthread.peer_news import PeerGossip, PeerGossipSettings
from siskinthread.settings import Address
from siskinthread.timing import ManualClock

DOMAINS = "abc"
LOST_SHARE = 0.1
# From 1 ms within a failure domain to the delay of a busy host that reads a datagram
# late.
LEAST_DELAY_S = 0.001
MOST_DELAY_S = 0.05
# Number of first addresses that each host is given.
FIRST_COUNT = 3


class _QueueEmpty(Exception):  # noqa: N818 - ends a receiver, not an error
    """All delivered datagrams have been read."""


class _FakeSocket:
    """Sends over the scripted network, and returns what was delivered to one host."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host
        self.delivered = []

    async def sendto(self, data, destination):
        """Send a datagram over the scripted network."""
        self._fleet.transmit(self._host, destination, data)

    async def recvfrom(self, size_bytes):
        """Return a delivered datagram and its source."""
        if not self.delivered:
            raise _QueueEmpty
        return self.delivered.pop(0)


class ScriptedHost:
    """One host.

    Attributes
    ----------
    domain : str
        Its failure domain.
    gossip : PeerGossip
        Its real gossip.
    is_up : bool
        False once it has been killed.
    """

    def __init__(self, fleet, number, domain, first_peers):
        self.number = number
        self.domain = domain
        self.address = address_of(number)
        self.is_up = True
        self.random = random.Random(fleet.random.random())
        self.socket = _FakeSocket(fleet, self)
        self.gossip = PeerGossip(
            fleet.settings,
            self.address,
            domain,
            first_peers,
            fleet.clock,
            self.random,
        )
        self.gossip._socket = self.socket


class ScriptedFleet:
    """Hosts in three failure domains, and the network between them.

    Parameters
    ----------
    build : callable
        Called with the fleet and each new `ScriptedHost`; sets ``gossip.describe`` and
        the consumers of messages.
    host_count : int
        Hosts at the beginning, assigned to the failure domains round-robin.
    seed : int
        Seed of all random draws.
    lost_share : float
        Fraction of the datagrams that is lost.
    """

    def __init__(self, build, host_count, seed=1, lost_share=LOST_SHARE):
        self.clock = ManualClock(monotonic_s=0.0)
        self.random = random.Random(seed)
        self.settings = PeerGossipSettings()
        self.hosts = []
        self.sent_bytes = 0
        self._build = build
        self._lost_share = lost_share
        self._by_address = {}
        # One generator for each path, as hosts send to sets of others in no defined
        # order.
        self._seed = seed
        self._draws = {}
        self._cut = set()
        self._events = []
        self._order = itertools.count()
        self.join(host_count)

    def at(self, at_s, act, *arguments):
        """Call a function at a time, seconds since the start."""
        heapq.heappush(self._events, (at_s, next(self._order), act, arguments))

    def after(self, wait_s, act, *arguments):
        """Call a function after a time, seconds."""
        self.at(self.now_s() + wait_s, act, *arguments)

    def now_s(self):
        """Return the time since the start, seconds."""
        return self.clock.monotonic_s()

    def run(self, to_s):
        """Run until a time since the start, seconds."""
        while self._events and self._events[0][0] <= to_s:
            at_s, _, act, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.now_s()))
            act(*arguments)
        self.clock.advance(to_s - self.now_s())

    def join(self, count):
        """Start hosts that know the first addresses only."""
        for _ in range(count):
            number = len(self.hosts)
            first = [address_of(one) for one in range(FIRST_COUNT)]
            domain = DOMAINS[number % len(DOMAINS)]
            host = ScriptedHost(self, number, domain, first)
            self.hosts.append(host)
            self._by_address[host.address.host, host.address.port] = host
            self._build(self, host)
            # Spread the rounds of hosts that start together.
            self.after(self.random.random() * 0.1, self._run_rounds, host)

    def kill(self, hosts):
        """End hosts permanently."""
        for host in hosts:
            host.is_up = False

    def cut(self, domain, other):
        """Cut two failure domains off from each other."""
        self._cut.add(frozenset((domain, other)))

    def heal(self):
        """End all cuts."""
        self._cut.clear()

    def live(self):
        """Return the hosts that are up."""
        return [host for host in self.hosts if host.is_up]

    def transmit(self, source, destination, data):
        """Deliver a datagram to a host, unless it is lost or the path is cut."""
        self.sent_bytes += len(data)
        host = self._by_address.get(destination)
        if host is None or frozenset((source.domain, host.domain)) in self._cut:
            return
        draws = self._draws_of(source, host)
        if draws.random() < self._lost_share:
            return
        delay_s = draws.uniform(LEAST_DELAY_S, MOST_DELAY_S)
        sender = source.address.host, source.address.port
        self.after(delay_s, self._deliver, host, data, sender)

    def _draws_of(self, source, host):
        path = source.number, host.number
        draws = self._draws.get(path)
        if draws is None:
            draws = self._draws[path] = random.Random(f"{self._seed} {path}")
        return draws

    def _deliver(self, host, data, sender):
        if host.is_up:
            host.socket.delivered.append((data, sender))
            _run_until_blocked(host.gossip._receive_forever())

    def _run_rounds(self, host):
        if host.is_up:
            host.gossip._forget_silent_peers()
            _run_until_blocked(host.gossip._send_when_due())
            self.after(host.gossip.round_wait_s(), self._run_rounds, host)


def address_of(number):
    """Return the address of a host; no socket is bound to it."""
    return Address("127.0.0.1", 10_000 + number)


def _run_until_blocked(coroutine):
    """Run a coroutine until it ends or has read all delivered datagrams."""
    try:
        coroutine.send(None)
    except (StopIteration, _QueueEmpty):
        return
    finally:
        coroutine.close()
    raise AssertionError("coroutine waits for something other than a fake socket")
