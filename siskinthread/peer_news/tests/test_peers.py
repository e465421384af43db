"""Gossip between entry hosts over loopback."""

import json
import random

import curio
import pytest
from hypothesis import given, strategies as st

from siskinthread.errors import ProtocolError
from siskinthread.load_control import SpeedStatement
from siskinthread.peer_news import (
    GroupOutageStatement,
    HostState,
    LeavingStatement,
    ListStatement,
    PeerGossip,
    PeerGossipSettings,
    PeerMessage,
    SuspectsReading,
    TableReading,
)
from siskinthread.peer_news._listing_message import (
    decode_listing_message,
    encode_listing_message,
    LISTING_PREFIX,
)
from siskinthread.peer_news._outages import decode_outage_message
from siskinthread.peer_news._speeds import SPEEDS_LIMIT
from siskinthread.poison_requests import (
    CrashStatement,
    PoisonRegister,
    PoisonSettings,
    SuspectStatement,
)
from siskinthread.settings import Address
from siskinthread.source_eras import Position
from siskinthread.target_limits import (
    BackoffStatement,
    ColdStatement,
    LimitStatement,
)
from siskinthread.timing import ManualClock, SYSTEM_CLOCK

SETTINGS = PeerGossipSettings(
    interval_s=0.01, quiet_interval_s=0.02, fresh_limit_s=0.2, forget_after_s=0.6
)
HANG_S = 10.0


def free_addresses(count):
    """Return addresses whose UDP ports are free."""
    sockets = [curio.socket.socket(type=curio.socket.SOCK_DGRAM) for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    addresses = [Address(*one.getsockname()) for one in sockets]
    for one in sockets:
        one._socket.close()
    return addresses


def build(address, first_peers, state, domain="a", clock=SYSTEM_CLOCK):
    """Return the gossip of one host."""
    gossip = PeerGossip(SETTINGS, address, domain, first_peers, clock, random.Random(1))
    gossip.describe = lambda: state
    return gossip


async def until(condition):
    """Wait until a condition holds."""
    async with curio.timeout_after(HANG_S):
        while not condition():
            await curio.sleep(0.005)


def test_hosts_discover_each_other_through_a_first_peer():
    """Three hosts that know the first one only learn all loads and versions."""

    async def main():
        addresses = free_addresses(3)
        first = addresses[0]
        hosts = [
            build(one, [first], HostState(number + 4, number > 0, {"i-1": number}))
            for number, one in enumerate(addresses)
        ]
        tasks = [await curio.spawn(host.run) for host in hosts]
        await until(lambda: all(len(host._peers) == 2 for host in hosts))
        await until(lambda: hosts[2].counts("i-1") == 1)
        await until(lambda: hosts[0].counts("i-1") == 3)
        result = hosts[0].newest_version(), hosts[0].informed_peers()
        for task in tasks:
            await task.cancel()
        return result, addresses

    (version, informed), addresses = curio.run(main)
    assert version == 6
    assert informed == [addresses[2], addresses[1]]


def test_loads_of_silent_host_expire():
    """Guards against idle targets that look busy.

    An entry host with requests under way loses its power.
    """
    clock = ManualClock()
    here, there = Address("127.0.0.1", 1), Address("127.0.0.1", 2)
    gossip = build(here, [], None, clock=clock)
    gossip._receive(PeerMessage(there, "a", HostState(5, True, {"i-1": 4}), []))
    assert gossip.counts("i-1") == 4
    clock.advance(SETTINGS.fresh_limit_s + 0.01)
    assert gossip.counts("i-1") == 0
    assert gossip.newest_version() == 0
    assert not gossip.has_fresh_loads()
    clock.advance(SETTINGS.forget_after_s)
    gossip._forget_silent_peers()
    assert not gossip._peers


@given(st.binary(max_size=100))
def test_any_datagram_decodes_or_raises_protocol_error(data):
    """No datagram ends the task that receives messages."""
    with pytest.raises(ProtocolError):
        PeerMessage.decode(data)


def test_message_round_trip():
    """A decoded message holds what was encoded."""
    peer = Address("10.0.0.1", 7340)
    listing = ListStatement(Position(4, 70), 2**47, 0.25)
    sent = HostState(3, True, {"i-1": 2}, listing, ["g-1"])
    message = PeerMessage.decode(PeerMessage(peer, "b", sent, [peer]).encode())
    state, listing = message.state, message.state.listing
    assert (message.sender, message.failure_domain, message.peers) == (
        peer,
        "b",
        [peer],
    )
    assert (state.table_version, state.is_informed) == (3, True)
    assert (state.counts, state.stalled_groups) == ({"i-1": 2}, ["g-1"])
    assert (listing.position.era, listing.position.offset) == (4, 70)
    assert (listing.digest, listing.age_s) == (2**47, 0.25)


def test_first_informed_host_of_a_domain_reads_for_it():
    """Guards against a list that every host reads, or that no host reads.

    Hosts of two failure domains send their state; the first one is cut off from the
    source, then falls silent.
    """
    clock = ManualClock()
    here = Address("10.0.0.5", 1)
    gossip = build(here, [], None, clock=clock)
    assert gossip.is_reader()
    gossip._receive(
        PeerMessage(Address("10.0.0.1", 1), "b", HostState(1, True, {}), [])
    )
    gossip._receive(
        PeerMessage(Address("10.0.0.9", 1), "a", HostState(1, True, {}), [])
    )
    assert gossip.is_reader()
    first = Address("10.0.0.2", 1)
    gossip._receive(PeerMessage(first, "a", HostState(1, True, {}), []))
    assert not gossip.is_reader()
    gossip._receive(PeerMessage(first, "a", HostState(1, False, {}), []))
    assert gossip.is_reader()
    gossip._receive(PeerMessage(first, "a", HostState(1, True, {}), []))
    clock.advance(SETTINGS.fresh_limit_s + 0.01)
    assert gossip.is_reader()


def test_first_informed_hosts_of_a_domain_read_the_configuration():
    """Guards against failure domains with no reader, or with too many."""
    gossip = build(Address("10.0.0.5", 1), [], None)
    assert gossip.is_table_reader(2)
    gossip._receive(
        PeerMessage(Address("10.0.0.1", 1), "a", HostState(1, True, {}), [])
    )
    gossip._receive(
        PeerMessage(Address("10.0.0.2", 1), "a", HostState(1, False, {}), [])
    )
    gossip._receive(
        PeerMessage(Address("10.0.0.3", 1), "b", HostState(1, True, {}), [])
    )
    gossip._receive(
        PeerMessage(Address("10.0.0.9", 1), "a", HostState(1, True, {}), [])
    )
    assert gossip.is_table_reader(2)
    assert not gossip.is_table_reader(1)
    assert gossip.near_count() == 3
    gossip._receive(
        PeerMessage(Address("10.0.0.2", 1), "a", HostState(1, True, {}), [])
    )
    assert not gossip.is_table_reader(2)


def test_first_informed_host_of_all_domains_reads_the_list_for_their_readers():
    """Guards against readers of failure domains that all wait, or all read."""
    gossip = build(Address("10.0.0.5", 1), [], None)
    assert gossip.is_first_reader()
    gossip._receive(
        PeerMessage(Address("10.0.0.6", 1), "b", HostState(1, True, {}), [])
    )
    gossip._receive(
        PeerMessage(Address("10.0.0.7", 1), "b", HostState(1, True, {}), [])
    )
    gossip._receive(
        PeerMessage(Address("10.0.0.3", 1), "c", HostState(1, False, {}), [])
    )
    assert gossip.is_first_reader()
    assert gossip.far_readers() == [Address("10.0.0.6", 1)]
    gossip._receive(
        PeerMessage(Address("10.0.0.3", 1), "c", HostState(1, True, {}), [])
    )
    assert not gossip.is_first_reader()
    assert set(gossip.far_readers()) == {Address("10.0.0.3", 1), Address("10.0.0.6", 1)}


def test_ages_of_readings_are_rounded_up():
    """Guards against a reading that looks younger after each hop."""
    suspects = SuspectsReading(Position(4, 9), 0.1004)
    reading = TableReading(Position(4, 70), 3, 0.2504, suspects)
    state = HostState(3, True, {}, table_reading=reading)
    data = PeerMessage(Address("10.0.0.1", 1), "a", state, []).encode()
    decoded = PeerMessage.decode(data).state.table_reading
    assert (decoded.position.era, decoded.position.offset, decoded.version) == (
        4,
        70,
        3,
    )
    assert decoded.age_s == 0.251
    assert (decoded.suspects.position.offset, decoded.suspects.age_s) == (9, 0.101)
    listing = ListStatement(Position(4, 70), 5, 0.2504)
    assert decode_listing_message(encode_listing_message(listing)).age_s == 0.251


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"[1,2,3]", b'["a",2,3,4]', b"[1,2,3,1e999]", b"[" * 9999]
)
def test_unreadable_listing_message_raises_protocol_error(data):
    """Guards against a process that ends on a malformed datagram."""
    with pytest.raises(ProtocolError):
        decode_listing_message(LISTING_PREFIX + data)


def test_reader_sends_to_its_domain_more_often_than_others():
    """Guards against hosts that read between two messages of their reader."""

    async def main():
        first, other = free_addresses(2)
        values = {"interval_s": 0.01, "quiet_interval_s": 5.0}
        settings = SETTINGS.with_values(**values, reading_interval_s=0.05)
        received = []

        async def take(reading, sender):
            received.append((reading.position.offset, sender))

        reading = TableReading(Position(1, 7), 1, 0.0)
        states = [HostState(1, True, {}, table_reading=reading), HostState(1, True, {})]
        hosts = []
        for address, state in zip((first, other), states, strict=True):
            drawing = random.Random(1)
            host = PeerGossip(settings, address, "a", [first], SYSTEM_CLOCK, drawing)
            host.describe = lambda state=state: state
            hosts.append(host)
        hosts[1].on_reading = take
        tasks = [await curio.spawn(host.run) for host in hosts]
        await until(lambda: len(received) >= 4)
        for task in tasks:
            await task.cancel()
        return received[0] == (7, first)

    assert curio.run(main)


def test_datagram_does_not_grow_with_the_number_of_peers():
    """Guards against datagrams of a large fleet that exceed the size limit."""
    gossip = build(Address("10.0.0.1", 1), [], None)
    for number in range(300):
        sender = Address(f"10.0.{number // 250 + 1}.{number % 250}", 1)
        gossip._receive(PeerMessage(sender, "a", HostState(1, True, {}), []))
    assert len(gossip._sample_peers()) == SETTINGS.peers_told_count


def test_rare_messages_of_a_large_fleet_count_for_versions_but_not_as_loads():
    """Guards against busy targets that look idle.

    With 300 peers, each sends a message every 4 s.  The few loads that are fresh at a
    moment must not be taken for those of all peers.
    """
    clock = ManualClock()
    gossip = build(Address("10.0.0.1", 1), [], None, clock=clock)
    for number in range(300):
        sender = Address(f"10.0.{number // 250 + 1}.{number % 250}", 1)
        gossip._receive(PeerMessage(sender, "a", HostState(4, True, {"i-1": 1}), []))
    assert not gossip.has_fresh_loads()
    clock.advance(SETTINGS.fresh_limit_s + 0.01)
    assert gossip.newest_version() == 4


class RecordingSocket:
    """Records the hosts to which datagrams are sent."""

    def __init__(self):
        self.hosts = []

    async def sendto(self, data, address):
        """Record the destination of a datagram."""
        self.hosts.append(address[0])


def test_large_fleet_sends_to_own_domain_at_full_rate_and_others_at_quiet_rate():
    """Guards against gossip that makes up half of the bytes between domains."""
    others = [f"10.0.1.{number}" for number in range(SETTINGS.peers_at_full_rate + 2)]
    near = others[:2]

    async def main():
        gossip = build(Address("10.0.0.1", 1), [], HostState(1, True, {}))
        for host in others:
            domain = "a" if host in near else "b"
            gossip._receive(
                PeerMessage(Address(host, 1), domain, HostState(1, True, {}), [])
            )
        sent = []
        for count in (1, 2):
            gossip.describe = lambda count=count: HostState(1, True, {"i-1": count})
            gossip._socket = RecordingSocket()
            await gossip._run_round()
            sent.append(sorted(gossip._socket.hosts))
        return sent

    assert curio.run(main) == [sorted(others), near]


def test_fleet_count_never_falls():
    """Guards against entries that use the others' parts of a shared limit during a cut.

    An entry knows three others; two of them fall silent and are forgotten.  The limit
    must not be divided by the number that is known at the moment.
    """
    clock = ManualClock()
    here, *others = [Address("127.0.0.1", port) for port in range(1, 5)]
    gossip = build(here, others[:1], None, clock=clock)
    assert gossip.fleet_count() is None
    clock.advance(SETTINGS.fleet_settle_s)
    assert gossip.fleet_count() is None
    gossip._receive(PeerMessage(others[0], "a", HostState(5, True, {}), others))
    assert gossip.fleet_count() == 4
    clock.advance(SETTINGS.forget_after_s)
    gossip._forget_silent_peers()
    assert gossip.fleet_count() == 4


def test_only_entry_needs_no_messages():
    """Without others in the settings, an entry has all limits from its start."""
    here = Address("127.0.0.1", 1)
    assert build(here, [here], None).fleet_count() == 1


def test_entries_with_the_fastest_links_are_the_first_of_their_domain():
    """Guards against a map that takes half a second to be sent to all ranks.

    That happens if the entry that controls their group has a slow link.
    """
    clock = ManualClock()
    gossip = build(Address("10.0.0.5", 1), [], HostState(1, True, {}), clock=clock)
    gossip.link_mbps = 40.0
    state = HostState(1, True, {})
    for host, domain, link_mbps in [
        ("10.0.0.9", "a", 200.0),
        ("10.0.0.8", "a", 40.0),
        ("10.0.0.1", "b", 200.0),
    ]:
        gossip._receive(PeerMessage(Address(host, 1), domain, state, [], link_mbps))
    assert not gossip.is_preferred_host(1)
    assert gossip.is_preferred_host(2)
    assert gossip.reachable_domains() == {"a", "b"}
    clock.advance(SETTINGS.fresh_limit_s + 1.0)
    assert gossip.is_preferred_host(1)


def test_failure_domain_stays_reachable_when_two_sums_are_lost():
    """Guards against two entries that change the maps of one group concurrently.

    Another failure domain sends one datagram a second, and two of them are lost.
    """
    clock = ManualClock()
    gossip = build(Address("10.0.0.5", 1), [], HostState(1, True, {}), clock=clock)
    state = HostState(1, True, {})
    gossip._receive(PeerMessage(Address("10.0.1.1", 1), "b", state, [], 200.0))
    clock.advance(3 * SETTINGS.quiet_interval_s)
    assert gossip.reachable_domains() == {"b"}
    clock.advance(SETTINGS.domain_memory_s)
    assert gossip.reachable_domains() == set()


def test_newest_pass_time_expires():
    """A pass time that was received long ago says nothing of the current pass."""
    clock = ManualClock()
    gossip = build(Address("10.0.0.5", 1), [], None, clock=clock)
    for port, pass_s in ((1, 0.05), (2, 0.12)):
        state = HostState(1, True, {}, passes_s={"g": pass_s})
        sender = Address("10.0.0.1", port)
        gossip._receive(
            PeerMessage.decode(PeerMessage(sender, "a", state, []).encode())
        )
        clock.advance(0.1)
    assert gossip.newest_pass("g")[0] == 0.12
    assert gossip.newest_pass("h") is None
    clock.advance(SETTINGS.pass_fresh_s)
    assert gossip.newest_pass("g") is None


def test_outage_of_the_store_makes_nobody_else_a_candidate():
    """Guards against three domains that change the maps of one group at once.

    The store is unavailable, so that no host is informed.  An uninformed host must not
    put itself first.
    """
    clock = ManualClock()
    own_state = HostState(1, False, {})
    gossip = build(Address("10.0.0.5", 1), [], own_state, clock=clock)
    gossip._receive(PeerMessage(Address("10.0.0.1", 1), "a", own_state, []))
    assert not gossip.is_preferred_host(1)
    gossip.describe = lambda: HostState(1, True, {})
    assert gossip.is_preferred_host(1)


def suspects(count):
    """Return statements on requests under which targets have ended."""
    ends = [CrashStatement(f"{number:08x}", 1.5, number > 6) for number in range(8)]
    return [SuspectStatement(f"{number:024x}", ends) for number in range(count)]


def test_suspected_requests_round_trip():
    """A decoded message holds the suspected requests that were encoded."""
    address = Address("10.0.0.1", 1)
    message = PeerMessage(
        address, "a", HostState(1, True, {}), [], suspects=suspects(3)
    )
    read = PeerMessage.decode(message.encode())
    assert [one.key() for one in read.suspects] == [one.key() for one in suspects(3)]


def test_oversized_message_leaves_suspected_requests_out():
    """Guards against peers that receive nothing while many targets end.

    The counts of 192 targets and 16 suspected requests exceed the size of a datagram; a
    truncated datagram can't be decoded.
    """
    counts = {f"i-{number:010x}@1781159968551": 12 for number in range(192)}
    state = HostState(1, True, counts)
    address = Address("10.0.0.1", 1)
    message = PeerMessage(address, "a", state, [], suspects=suspects(16))
    limit_bytes = PeerGossipSettings().size_limit_bytes
    data = message.encode(limit_bytes)
    assert len(message.encode()) > limit_bytes >= len(data)
    read = PeerMessage.decode(data)
    assert read.state.counts == counts
    first = [one.key() for one in suspects(16)]
    assert read.suspects
    assert [one.key() for one in read.suspects] == first[: len(read.suspects)]


@pytest.mark.parametrize("value", [[], 7, {"5f0c": 7}, {"5f0c": [["a", "b"]]}, "x"])
def test_unreadable_suspected_requests_raise_protocol_error(value):
    """A message of another program version must not end the receiving task."""
    message = PeerMessage(Address("10.0.0.1", 1), "a", HostState(1, True, {}), [])
    document = json.loads(message.encode()) | {"suspects": value}
    with pytest.raises(ProtocolError):
        PeerMessage.decode(json.dumps(document).encode())


@pytest.mark.parametrize("teller", [0, 2, 5])
def test_suspected_request_reaches_all_domains_of_a_large_fleet(teller):
    """Guards against a request that goes on to end targets in other domains.

    In a large fleet each host sends to those of its own domain only, and the first host
    of a domain to one host of each other one.  Any host may observe the ends.
    """
    crowd = PeerGossipSettings(
        interval_s=0.01,
        quiet_interval_s=0.05,
        far_interval_s=60.0,
        fresh_limit_s=0.5,
        peers_at_full_rate=1,
        fleet_settle_s=0.0,
    )

    async def main():
        addresses = free_addresses(6)
        hosts = []
        for number, address in enumerate(addresses):
            gossip = PeerGossip(
                crowd,
                address,
                "ab"[number % 2],
                addresses[:1],
                SYSTEM_CLOCK,
                random.Random(number),
            )
            gossip.describe = lambda: HostState(1, True, {})
            gossip.poison = PoisonRegister(PoisonSettings(), SYSTEM_CLOCK)
            hosts.append(gossip)
        tasks = [await curio.spawn(host.run) for host in hosts]
        await until(lambda: all(len(host._peers) == 5 for host in hosts))
        for number in range(3):
            await hosts[teller].poison.target_crashed("5f0c", f"i-{number}")
        await until(lambda: all(host.poison.blocked_until("5f0c") for host in hosts))
        for task in tasks:
            await task.cancel()

    curio.run(main)


def limits(count):
    """Return the statements of a host on a number of limited targets."""
    return [
        LimitStatement(f"i-{number}", "app", None if number == 1 else 2.5, 0.25)
        for number in range(count)
    ]


def limit_rows(state):
    """Return the limits of a `HostState` as rows."""
    return [
        (one.instance_id, one.service_name, one.rate_per_s, one.age_s)
        for one in state.limits
    ]


def test_limits_of_targets_round_trip():
    """A decoded message holds the limits, and the demand at the sender."""
    state = HostState(1, True, {}, limits=limits(2), asked_rates={"app": 12.5})
    decoded = PeerMessage.decode(
        PeerMessage(Address("10.0.0.1", 1), "a", state, []).encode()
    )
    assert limit_rows(decoded.state) == limit_rows(state)
    assert decoded.state.asked_rates == {"app": 12.5}


def test_backoffs_and_leaving_of_targets_round_trip():
    """A decoded message holds what targets have announced to its sender."""
    state = HostState(
        1,
        True,
        {},
        backoffs=[BackoffStatement("i-1", 2.75)],
        leaving=[LeavingStatement("i-2", 0.5)],
        cold=[ColdStatement("i-3", 3.5)],
    )
    decoded = PeerMessage.decode(
        PeerMessage(Address("10.0.0.1", 1), "a", state, []).encode()
    )
    [backoff] = decoded.state.backoffs
    assert (backoff.instance_id, backoff.left_s) == ("i-1", 2.75)
    [leaving] = decoded.state.leaving
    assert (leaving.instance_id, leaving.age_s) == ("i-2", 0.5)
    [cold] = decoded.state.cold
    assert (cold.instance_id, cold.left_s) == ("i-3", 3.5)
    assert not decoded.state.is_equivalent_to(HostState(1, True, {}))


def test_oversized_message_leaves_limits_out():
    """Guards against a host that all others lose once many targets state a limit."""
    counts = {f"i-{number:010}": 1 for number in range(420)}
    state = HostState(1, True, counts, limits=limits(48))
    data = PeerMessage(Address("10.0.0.1", 1), "a", state, []).encode(8192)
    assert len(data) <= 8192
    assert 0 < len(PeerMessage.decode(data).state.limits) < 48


def test_oversized_message_keeps_leaving_targets_longest():
    """Guards against a host that all others lose once many targets back off or leave.

    Limits are left out first, and leaving targets are kept.
    """
    counts = {f"i-{number:010}": 1 for number in range(440)}
    state = HostState(
        1,
        True,
        counts,
        limits=limits(48),
        backoffs=[BackoffStatement(f"i-{number}", 1.0) for number in range(32)],
        leaving=[LeavingStatement(f"i-{number}", 1.0) for number in range(32)],
    )
    data = PeerMessage(Address("10.0.0.1", 1), "a", state, []).encode(8192)
    assert len(data) <= 8192
    decoded = PeerMessage.decode(data).state
    assert (decoded.limits, len(decoded.leaving)) == ([], 32)


@pytest.mark.parametrize(
    "fields",
    [
        {"limits": 5},
        {"limits": [["i-1", "app", 1.0]]},
        {"limits": [["i-1", "app", -1, 5]]},
        {"limits": [["i-1", "app", "nan", 5]]},
        {"limits": [["i-1", "app", 1.0, 1e999]]},
        {"asked": []},
        {"asked": {"app": "inf"}},
        {"asked": {"app": None}},
        {"backoffs_ms": 5},
        {"backoffs_ms": {"i-1": "soon"}},
        {"leaving_ms": ["i-1"]},
        {"leaving_ms": {"i-1": None}},
        {"cold_ms": {"i-1": "soon"}},
        {"roster": "all"},
    ],
)
def test_unreadable_fields_raise_protocol_error(fields):
    """Guards against a receiving task that ends on a malformed datagram."""
    message = PeerMessage(Address("10.0.0.1", 1), "a", HostState(1, True, {}), [])
    document = json.loads(message.encode()) | fields
    with pytest.raises(ProtocolError):
        PeerMessage.decode(json.dumps(document).encode())


def test_rates_of_other_domains_are_counted_as_sums():
    """Demand counts once, whether it is sent by hosts or as the sum of their domain."""
    clock = ManualClock()
    gossip = build(Address("10.0.0.1", 1), [], HostState(1, True, {}), clock=clock)
    near = HostState(1, True, {}, asked_rates={"app": 2.0})
    gossip._receive(PeerMessage(Address("10.0.0.2", 1), "a", near, []))
    far = HostState(1, True, {}, asked_rates={"app": 7.0}, is_domain_sum=True)
    gossip._receive(PeerMessage(Address("10.0.1.1", 1), "b", far, []))
    part = HostState(1, True, {}, asked_rates={"app": 3.0})
    gossip._receive(PeerMessage(Address("10.0.1.2", 1), "b", part, []))
    assert gossip.asked_per_s("app") == 9.0
    assert gossip.asked_per_s("other") == 0.0
    own = HostState(1, True, {}, asked_rates={"app": 1.0})
    summed = own.with_domain_sums(gossip._summary().near)
    assert summed.asked_rates == {"app": 3.0}
    clock.advance(SETTINGS.fresh_limit_s + 0.01)
    assert gossip.asked_per_s("app") == 0.0


def test_hosts_agree_on_rendezvous_order():
    """Hosts have distinct positions for a target, and different ones across targets."""
    addresses = [Address(f"10.0.0.{number}", 1) for number in range(1, 6)]
    hosts = [build(one, [], HostState(1, True, {})) for one in addresses]
    for host in hosts:
        for other in addresses:
            if other != host._address:
                host._add(other)
    orders = [
        tuple(one.rendezvous_position(f"i-{n}") for one in hosts) for n in range(8)
    ]
    assert all(sorted(order) == [0, 1, 2, 3, 4] for order in orders)
    assert len(set(orders)) > 1


def rows_of(statements):
    """Return the fields of statements, for comparison."""
    return [
        (one.group_name, one.epoch, one.since_s, one.age_s, one.is_reported)
        for one in statements
    ]


def test_group_state_is_sent_to_all_hosts_beside_regular_messages():
    """Guards against hosts of other domains that learn of an open group 1 s late.

    The datagram must not displace the sums that they receive once a second.
    """
    sent = [
        GroupOutageStatement("g", 5, None, 0.25, True),
        GroupOutageStatement("h", None, 1.5, 0.0, False),
    ]

    async def main():
        addresses = free_addresses(2)
        state = HostState(1, True, {"i-1": 7}, is_domain_sum=True)
        one = build(addresses[0], [addresses[1]], state, "a")
        two = build(addresses[1], [], HostState(1, True, {}), "b")
        received = []
        two.on_outages = lambda statements, told_by: received.append(
            (rows_of(statements), told_by)
        )
        tasks = [await curio.spawn(host.run) for host in (one, two)]
        await until(lambda: two.counts("i-1") == 7)
        received.clear()
        await one.tell_outages(sent)
        await until(lambda: any(rows for rows, _ in received))
        counts = two.counts("i-1")
        for task in tasks:
            await task.cancel()
        return counts, [one for one in received if one[0]], str(addresses[0])

    counts, received, sender = curio.run(main)
    assert counts == 7
    assert received == [(rows_of(sent), sender)]


def test_group_states_in_a_datagram_are_bounded():
    """Guards against messages of a large outage that exceed the size limit."""
    statements = [
        GroupOutageStatement(f"group-{number}", 4, 1.0, 0.1, True)
        for number in range(500)
    ]
    state = HostState(1, True, {}, group_outages=statements)
    data = PeerMessage(Address("127.0.0.1", 1), "a", state, []).encode()
    assert len(data) < 2048
    decoded = PeerMessage.decode(data).state.group_outages
    assert rows_of(decoded) == rows_of(statements[: len(decoded)])


@pytest.mark.parametrize("rows", ["1", "[[1]]", '[["g",1,"x",0,1]]', "{}x"])
def test_unreadable_group_states_raise_protocol_error(rows):
    """A malformed datagram must not end the receiving task."""
    data = f'{{"outages":{rows},"sender":"127.0.0.1:1"}}'.encode()
    with pytest.raises(ProtocolError):
        decode_outage_message(data)


def test_silent_controller_has_one_successor_until_its_group_is_controlled():
    """Guards against a group with two controllers for long, or with none for 4 s."""
    clock = ManualClock()
    addresses = [Address("127.0.0.1", 1 + number) for number in range(6)]
    gone, *others = addresses
    hosts = [build(one, [], HostState(1, True, {}), clock=clock) for one in others]

    def tell(sender, state):
        for host in hosts:
            if host._address != sender:
                host._receive(PeerMessage(sender, "a", state, []))

    def successors():
        return [host._address for host in hosts if host.is_heir_of("g", 3)]

    tell(gone, HostState(1, True, {}, controlled_groups=["g"]))
    assert successors() == []
    clock.advance(SETTINGS.fresh_limit_s + SETTINGS.quiet_interval_s)
    for one in others:
        tell(one, HostState(1, True, {}))
    (successor,) = successors()
    assert successor in others[:3]
    # The successor keeps the group while only it controls the group.
    tell(successor, HostState(1, True, {}, controlled_groups=["g"]))
    assert successors() == [successor]
    tell(gone, HostState(1, True, {}, controlled_groups=["g"]))
    assert successors() == []


def test_speeds_of_all_targets_do_not_exceed_a_datagram():
    """A truncated message can't be decoded at all."""
    targets = [f"i-{number:010x}@1781159968551" for number in range(192)]
    speeds = {
        one: SpeedStatement(8.0, 8.0 * number / 192, age_s=0.1)
        for number, one in enumerate(targets)
    }
    state = HostState(1, True, dict.fromkeys(targets, 12), speeds=speeds)
    data = PeerMessage(Address("10.0.0.1", 1), "a", state, []).encode(8192)
    assert len(data) <= 8192
    decoded = PeerMessage.decode(data).state.speeds
    assert set(decoded) <= set(targets[-SPEEDS_LIMIT:])


@pytest.mark.parametrize("rows", ["x", {"i-1": [1]}, {"i-1": 3}, {"i-1": ["x"] * 7}])
def test_unreadable_speeds_raise_protocol_error(rows):
    """A malformed datagram must not end the receiving task."""
    state = HostState(1, True, {})
    document = json.loads(PeerMessage(Address("10.0.0.1", 1), "a", state, []).encode())
    document["speeds"] = rows
    with pytest.raises(ProtocolError):
        PeerMessage.decode(json.dumps(document).encode())
