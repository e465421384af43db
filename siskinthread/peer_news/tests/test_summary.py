"""Sums over the messages of all peers, compared with sums that are computed anew."""

import random

import curio
import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from siskinthread.load_control import SpeedStatement
from siskinthread.peer_news import (
    HostState,
    PeerGossip,
    PeerGossipSettings,
    PeerMessage,
)
from siskinthread.peer_news._summary import NearSums
from siskinthread.settings import Address
from siskinthread.timing import ManualClock

SETTINGS = PeerGossipSettings()
TARGETS = ("i-1", "i-2", "i-3")
PEERS = [Address(f"10.0.0.{number}", 1) for number in range(1, 6)]


def near_sums(counts, stalled_groups=(), slow_targets=()):
    """Return the sums of a failure domain with one host."""
    sums = NearSums()
    sums.add(
        HostState(1, True, counts, None, stalled_groups, slow_targets=slow_targets)
    )
    return sums


def expected_count(gossip, instance_id):
    """Return the requests of peers at a target, summed over all fresh peers."""
    return sum(
        peer.message.state.counts.get(instance_id, 0)
        for peer in gossip._peers.values()
        if peer.message is not None and not peer.loads_deadline.passed()
    )


@given(st.integers(0, 10_000))
@hypothesis_settings(max_examples=60, deadline=None)
def test_cached_sums_equal_those_of_fresh_messages(seed):
    """Guards against stale cached sums, with which idle targets look busy.

    Messages of random contents arrive at random times.
    """
    draw = random.Random(seed)
    clock = ManualClock()
    own = Address("10.0.0.9", 1)
    gossip = PeerGossip(SETTINGS, own, "a", [], clock, draw)
    for _ in range(40):
        clock.advance(draw.choice([0.0, 0.1, 0.7, 1.6]))
        if draw.random() < 0.7:
            counts = {one: draw.randint(1, 4) for one in TARGETS if draw.random() < 0.5}
            groups = [one for one in ("g", "h") if draw.random() < 0.2]
            state = HostState(draw.randint(1, 9), True, counts, None, groups)
            gossip._receive(
                PeerMessage(draw.choice(PEERS), draw.choice("ab"), state, [])
            )
        else:
            gossip._forget_silent_peers()
        for one in TARGETS:
            assert gossip.counts(one) == expected_count(gossip, one)
        fresh = [
            peer
            for peer in gossip._peers.values()
            if peer.message is not None and not peer.loads_deadline.passed()
        ]
        stalled = {
            group for peer in fresh for group in peer.message.state.stalled_groups
        }
        assert gossip.stalled_groups() == stalled


def receive_sum(gossip, sender, domain, counts):
    """Receive the sum of another failure domain."""
    state = HostState(3, True, {}).with_domain_sums(near_sums(counts, ["g"]))
    gossip._receive(PeerMessage.decode(PeerMessage(sender, domain, state, []).encode()))


def test_requests_that_are_part_of_a_sum_count_once():
    """Guards against counting requests twice, with which targets look too busy.

    A host sends its own state, and the first host of its domain sends the sum.
    """
    clock = ManualClock()
    gossip = PeerGossip(
        SETTINGS, Address("10.0.0.9", 1), "a", [], clock, random.Random(1)
    )
    first, second, near = PEERS[:3]
    gossip._receive(PeerMessage(second, "b", HostState(3, True, {"i-1": 2}), []))
    gossip._receive(PeerMessage(near, "a", HostState(3, True, {"i-1": 5}), []))
    assert gossip.counts("i-1") == 7
    receive_sum(gossip, first, "b", {"i-1": 3})
    assert gossip.counts("i-1") == 8
    assert gossip.stalled_groups() == {"g"}
    clock.advance(0.5)
    receive_sum(gossip, second, "b", {"i-1": 4})
    assert gossip.counts("i-1") == 9


def test_sum_is_sent_to_one_host_of_each_other_domain():
    """Guards against excessive gossip between failure domains.

    If 99 hosts each send to all others once a second, gossip makes up three quarters of
    the bytes between domains.  Until the sum of a domain has come, all hosts there are
    sent the own sum; afterwards only the host that sent it.
    """
    clock = ManualClock()
    gossip = PeerGossip(
        SETTINGS, Address("10.0.0.9", 1), "a", [], clock, random.Random(1)
    )
    for peer in PEERS:
        gossip._receive(PeerMessage(peer, "b", HostState(3, True, {}), []))
    assert gossip._representatives() == set(PEERS)
    receive_sum(gossip, PEERS[0], "b", {})
    assert gossip._representatives() == {PEERS[0]}
    clock.advance(SETTINGS.fresh_limit_s)
    assert gossip._representatives() == set(PEERS)


class RecordingSocket:
    """Records the hosts to which datagrams are sent."""

    def __init__(self):
        self.sent = []

    async def sendto(self, data, address):
        """Record the destination of a datagram."""
        self.sent.append(address[0])


def test_sum_is_forwarded_once():
    """Guards against datagrams that are forwarded to and fro endlessly.

    Two hosts that don't know each other yet both act as the first of their domain, and
    forward a sum to each other.
    """

    async def main():
        clock = ManualClock()
        own = Address("10.0.0.1", 1)
        gossip = PeerGossip(SETTINGS, own, "a", [], clock, random.Random(1))
        gossip._socket = RecordingSocket()
        near, far = Address("10.0.0.5", 1), Address("10.0.1.1", 1)
        gossip._receive(PeerMessage(near, "a", HostState(3, True, {}), []))
        state = HostState(3, True, {}).with_domain_sums(near_sums({"i-1": 1}))
        message = PeerMessage(far, "b", state, [])
        await gossip._forward_sum(message, message.encode(), (near.host, near.port))
        indirect = list(gossip._socket.sent)
        await gossip._forward_sum(message, message.encode(), (far.host, far.port))
        return indirect, gossip._socket.sent

    assert curio.run(main) == ([], ["10.0.0.5"])


def test_hosts_contact_each_other_again_after_a_cut():
    """Guards against a host that knows no loads for 8 s after a cut.

    Two hosts of a large domain receive nothing from each other for 3 s.  If only hosts
    that were heard from lately were sent messages, neither would send to the other
    again.
    """

    async def main():
        clock = ManualClock()
        own = Address("10.0.0.1", 1)
        gossip = PeerGossip(SETTINGS, own, "a", [], clock, random.Random(1))
        gossip.describe = lambda: HostState(3, True, {})
        hosts = [
            Address(f"10.0.0.{number}", 1)
            for number in range(2, SETTINGS.peers_at_full_rate + 4)
        ]
        for host in hosts:
            gossip._receive(PeerMessage(host, "a", HostState(3, True, {}), []))
        clock.advance(3.0)
        gossip._socket = RecordingSocket()
        await gossip._run_round()
        return set(gossip._socket.sent), {host.host for host in hosts}

    sent_to, hosts = curio.run(main)
    assert sent_to == hosts


def test_slow_targets_are_sent_to_other_domains():
    """Slow targets are part of the sum of a domain.

    One entry queries the ranks of a group; all must know which of them are slow.
    """
    state = HostState(3, True, {}, slow_targets=["i-1"]).with_domain_sums(
        near_sums({}, slow_targets=["i-7"])
    )
    message = PeerMessage.decode(
        PeerMessage(Address("10.0.0.5", 1), "a", state, []).encode()
    )
    assert message.state.slow_targets == ["i-1", "i-7"]


def test_slow_target_is_sent_at_once():
    """A new slow target is sent at once, as a change of the load is."""
    before, after = HostState(3, True, {}), HostState(3, True, {}, slow_targets=["i"])
    assert not after.is_equivalent_to(before)
    assert after.is_equivalent_to(HostState(3, True, {}, slow_targets=["i"]))


def roster_of(first_peers, *messages, clock=None):
    """Return the gossip of a host that has received messages of some hosts.

    Each message is the sender, the peers that it names, and its roster count.
    """
    clock = ManualClock() if clock is None else clock
    own = Address("10.0.0.1", 1)
    gossip = PeerGossip(SETTINGS, own, "a", first_peers, clock, random.Random(1))
    for host, names, roster_count in messages:
        state = HostState(3, True, {})
        gossip._receive(PeerMessage(host, "a", state, names, roster_count=roster_count))
    return gossip


def hosts(count):
    """Return the addresses of other hosts."""
    return [Address(f"10.0.1.{number}", 1) for number in range(count)]


def test_roster_keeps_hosts_after_a_long_cut():
    """Guards against each side of a cut using the other one's part of a limit.

    The limit is that of cold targets, which is divided by the number of hosts.
    """
    clock = ManualClock()
    first, second = hosts(2)
    gossip = roster_of([first], (first, [second], 3), clock=clock)
    place = gossip.roster_position("i-1")
    clock.advance(SETTINGS.forget_after_s + 1)
    gossip._forget_silent_peers()
    assert not gossip.has_peers()
    assert (gossip.roster_count(), gossip.roster_position("i-1")) == (3, place)


@pytest.mark.parametrize(
    ("told_count", "heard_count", "wait_s", "is_known"),
    [
        (3, 2, 0.0, False),
        (3, 2, SETTINGS.fleet_settle_s, True),
        (5, 2, SETTINGS.fleet_settle_s, False),
        (5, 2, SETTINGS.roster_wait_s, True),
        (3, 0, SETTINGS.roster_wait_s, False),
    ],
)
def test_roster_is_known_once_as_many_hosts_are_heard_as_peers_report(
    told_count, heard_count, wait_s, is_known
):
    """Guards against a host that starts during a cut and claims a part.

    Hosts that are cut off from it use their parts as well.
    """
    clock = ManualClock()
    messages = [(host, [], told_count) for host in hosts(heard_count)]
    gossip = roster_of(hosts(1), *messages, clock=clock)
    clock.advance(wait_s)
    assert gossip.is_roster_known() is is_known


def test_known_roster_stays_known_while_hosts_join():
    """Guards against an unused part while hosts join.

    A host that knows all others keeps that state although new hosts are not heard yet.
    """
    clock = ManualClock()
    [host] = hosts(1)
    gossip = roster_of([host], (host, [], 2), clock=clock)
    clock.advance(SETTINGS.fleet_settle_s)
    assert gossip.is_roster_known()
    gossip._receive(PeerMessage(host, "a", HostState(3, True, {}), [], roster_count=40))
    assert gossip.is_roster_known()


def test_tokens_of_large_requests_reach_other_hosts():
    """Guards against a target that looks free though others' large requests fill it."""
    clock = ManualClock()
    gossip = PeerGossip(
        SETTINGS, Address("10.0.0.9", 1), "a", [], clock, random.Random(1)
    )
    for peer, tokens in zip(PEERS, (3000, -800), strict=False):
        state = HostState(1, True, {"i-1": 1}, excess_tokens={"i-1": tokens})
        gossip._receive(PeerMessage.decode(PeerMessage(peer, "a", state, []).encode()))
    assert gossip.excess_tokens() == {"i-1": 2200}


def test_speeds_of_a_domain_are_sent_to_others_once():
    """Guards against counting a slow target once for each host of a domain.

    The sum of a domain includes what its hosts have sent.
    """
    gossip = PeerGossip(SETTINGS, Address("10.0.0.9", 1), "a", [], ManualClock(), None)
    slow = {"i-1": SpeedStatement(2.0, 5.0, age_s=0.1)}
    near = HostState(3, True, {}, speeds=slow)
    for host in PEERS[:2]:
        gossip._receive(PeerMessage(host, "a", near, []))
    state = HostState(3, True, {}, speeds=slow).with_domain_sums(gossip._summary().near)
    assert state.speeds["i-1"].low_weight == 6.0
    far = PeerMessage.decode(PeerMessage(PEERS[2], "b", state, []).encode())
    gossip._receive(far)
    gossip._receive(PeerMessage(PEERS[3], "b", near, []))
    assert gossip.speeds()["i-1"].low_weight == pytest.approx(4.0 + 6.0)


def test_speeds_lose_weight_with_their_age():
    """Guards against reports of a second ago that outweigh newer samples."""
    clock = ManualClock()
    gossip = PeerGossip(SETTINGS, Address("10.0.0.9", 1), "a", [], clock, None)
    slow = {"i-1": SpeedStatement(2.0, 5.0, age_s=0.1)}
    gossip._receive(PeerMessage(PEERS[0], "a", HostState(3, True, {}, speeds=slow), []))
    clock.advance(1.0)
    speed = gossip.speeds()["i-1"]
    assert speed.low_weight < 0.3
    assert speed.age_s == pytest.approx(1.1)
    clock.advance(SETTINGS.fresh_limit_s)
    assert gossip.speeds() == {}
