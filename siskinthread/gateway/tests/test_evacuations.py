"""Evacuated failure domains, by the positions of reads and of peers' statements."""

import random

from siskinthread.gateway import GatewaySettings
from siskinthread.gateway._control_home import ControlHome
from siskinthread.gateway._evacuations import Evacuations
from siskinthread.gateway.tests.parts import clock, entry, ids
from siskinthread.gateway.tests.test_target_choice import Parts
from siskinthread.outcomes import Reason
from siskinthread.peer_news import EvacuationStatement, HostState
from siskinthread.peer_news._message import PeerMessage
from siskinthread.peer_news._summary import NearSums
from siskinthread.settings import Address
from siskinthread.source_eras import Position

SETTINGS = GatewaySettings(evacuation_kept_s=30.0)
ROUNDS = 200


class Host:
    """The evacuations of one host, with a clock that the test advances."""

    def __init__(self, time=None):
        self.clock = clock() if time is None else time
        self.evacuations = Evacuations(SETTINGS, self.clock)
        self.changes = []
        self.evacuations.listen(lambda *change: self.changes.append(change))

    def read(self, offset, *domains, era=1, taken_back=()):
        """Process a read of the source."""
        self.evacuations.advance(Position(era, offset), domains, "test", taken_back)

    def hear(self, offset, *domains, era=1, **ages_s):
        """Process the statement of a peer."""
        statement = EvacuationStatement(Position(era, offset), domains, **ages_s)
        self.evacuations.hear(statement, "peer")

    def domains(self):
        """Return the sorted names of the evacuated domains as one string."""
        return "".join(sorted(self.evacuations.domains()))


def test_highest_position_wins_in_any_order_of_arrival():
    """Guards against late datagrams that end an evacuation, or begin it again."""
    states = [(1, ""), (2, "a"), (3, "ab"), (4, "b"), (5, "ab"), (6, "a"), (7, "c")]
    for seed in range(ROUNDS):
        draw = random.Random(seed)
        host = Host()
        highest = 0
        for offset, domains in draw.choices(states, k=20):
            take = draw.choice([host.read, host.hear])
            take(offset, *domains)
            highest = max(highest, offset)
            assert host.domains() == dict(states)[highest]


def test_listeners_are_notified_once_of_each_change():
    """Guards against a notification for each datagram, or none."""
    host = Host()
    host.read(1, "a")
    host.read(2, "a")
    host.hear(3, "a", "b")
    host.read(4)
    assert host.changes == [("a", True), ("b", True), ("a", False), ("b", False)]


def test_time_since_the_end_of_an_evacuation():
    """Guards against treating targets as warm that are cold after an evacuation."""
    host = Host()
    host.read(1, "a")
    assert host.evacuations.taken_back_s_ago("a") is None
    host.read(2)
    host.clock.advance(3.0)
    assert host.evacuations.taken_back_s_ago("a") == 3.0
    started_later = Host(host.clock)
    started_later.evacuations.hear(host.evacuations.statement(), "peer")
    assert started_later.evacuations.taken_back_s_ago("a") == 3.0
    host.read(3, "a")
    assert host.evacuations.taken_back_s_ago("a") is None
    host.read(4)
    host.clock.advance(601.0)
    assert host.evacuations.taken_back_s_ago("a") is None


def test_domain_stays_evacuated_for_some_time_over_a_restore_of_the_source():
    """Guards against requests to an evacuated domain whose record the store lost."""
    host = Host()
    host.read(9, "a", "b")
    host.read(5, "b", era=2)
    assert host.domains() == "ab"
    host.read(6, "b", era=2)
    host.clock.advance(29.9)
    assert host.domains() == "ab"
    host.clock.advance(0.2)
    assert host.domains() == "b"
    assert host.changes[-1] == ("a", False)


def test_domain_that_is_kept_over_a_restore_can_be_released():
    """Guards against using a domain only 30 s after the end of its evacuation.

    The record of the evacuation was lost, so that removing it changes no state.
    """
    for is_released_by_peer in (False, True):
        host = Host()
        host.read(9, "a")
        host.read(5, era=2)
        host.clock.advance(1.0)
        if is_released_by_peer:
            host.hear(6, era=2, released_s={"a": 0.1})
        else:
            host.read(6, era=2, taken_back=["a"])
        assert host.domains() == ""
        # A peer that has noticed the restore later keeps the domain longer.
        host.hear(5, era=2, kept_s={"a": 0.5})
        assert host.domains() == ""
        host.read(7, "a", era=2)
        assert host.domains() == "a"


def test_host_that_starts_after_a_restore_learns_what_is_kept():
    """Guards against a new host that sends requests to a domain that others avoid."""
    old, new = Host(), Host()
    old.read(9, "a")
    old.read(5, era=2)
    old.clock.advance(10.0)
    new.read(5, era=2)
    new.evacuations.hear(old.evacuations.statement(), "peer")
    assert new.domains() == "a"
    new.clock.advance(20.1)
    assert new.domains() == ""


def test_end_before_a_restore_does_not_end_an_evacuation_after_it():
    """Guards against a peer that missed an evacuation and a restore, and ends it."""
    late, host = Host(), Host()
    late.read(3, "a")
    late.read(4)
    host.read(4)
    host.read(5, "a")
    for one in (late, host):
        one.read(4, era=2)
    host.evacuations.hear(late.evacuations.statement(), "peer")
    assert host.domains() == "a"


def test_own_read_counts_as_newer_without_eras():
    """Guards against ignoring a store that was restored at a lower position."""
    host = Host()
    host.read(9, "a", era=None)
    host.hear(10, era=None)
    assert host.domains() == "a"
    host.read(4, "b", era=None)
    assert host.domains() == "b"
    host.read(4, "c", era=1)
    assert host.domains() == "bc"


def test_statement_survives_a_datagram():
    """Guards against statements that are dropped or misread by a peer."""
    host = Host()
    host.read(9, "a", "b")
    host.read(5, "b", era=2)
    host.read(6, "b", era=2, taken_back=["c"])
    state = HostState(1, True, {}, evacuations=host.evacuations.statement())
    data = PeerMessage(Address("127.0.0.1", 1), "a", state, []).encode()
    decoded = PeerMessage.decode(data).state
    received = decoded.evacuations
    assert received.names() == state.evacuations.names()
    assert (received.position.era, received.position.offset) == (2, 6)
    assert decoded.with_domain_sums(NearSums()).evacuations is received


def test_change_of_evacuations_is_sent_at_once():
    """Guards against a delay of a second at hosts whose store is silent."""
    host = Host()
    host.read(1)
    before = HostState(1, True, {}, evacuations=host.evacuations.statement())
    host.read(2)
    same = HostState(1, True, {}, evacuations=host.evacuations.statement())
    assert same.is_equivalent_to(before)
    host.read(3, "a")
    after = HostState(1, True, {}, evacuations=host.evacuations.statement())
    assert not after.is_equivalent_to(before)


def test_names_that_do_not_fit_a_datagram_are_not_sent_in_part():
    """Guards against ending evacuations whose names were truncated."""
    host = Host()
    host.read(1, *(f"domain-{number}" for number in range(200)))
    assert host.evacuations.statement() is None


def test_targets_of_evacuated_domains_get_no_requests():
    """If all domains are evacuated, the refusal states when to retry."""
    parts = Parts(entry("i-1", domain="a"), entry("i-2", domain="b"))
    evacuations = Evacuations(SETTINGS, parts.clock)
    parts.targets.evacuated_domains = evacuations.domains
    evacuations.advance(Position(1, 1), ["a", "unknown"], "test")
    assert ids(parts.targets.serving("app")) == ["i-2"]
    assert parts.choose() == "i-2"
    evacuations.advance(Position(1, 2), ["a", "b"], "test")
    refusal = parts.choose()
    assert refusal.reason is Reason.NO_TARGET
    assert 0 < refusal.retry_after_s < 8.0 / 3
    evacuations.advance(Position(1, 3), [], "test")
    assert parts.choose() in ("i-1", "i-2")


def test_group_in_evacuated_domains_is_controlled_from_none():
    """Guards against requesting reports of a group that operators are servicing."""
    home = ControlHome(SETTINGS, "a", None, None, None, None)
    home.evacuated_domains = lambda: frozenset("ab")
    assert not home.is_home("g", ["a", "b", "a"])
    assert home.is_home("g", ["a", "a", "c"])
