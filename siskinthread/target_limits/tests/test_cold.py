"""Requests of hosts to targets that are cold after a start."""

import random

import pytest

from siskinthread.gateway import RouteTable, Service
from siskinthread.gateway.tests.parts import clock, entry
from siskinthread.target_limits import (
    ColdStatement,
    ColdTargets,
    ColdTargetSettings,
    FREE_PERMIT,
)
from siskinthread.target_limits.tests.cold_model import FAULTS, Run, SIZES

SETTINGS = ColdTargetSettings(excess_ratio=1.5, excess_count=5.0)
START_S = 4.0


class FakeEvacuations:
    """Domains that were taken back after an evacuation."""

    def __init__(self):
        self.ages_s = {}

    def taken_back_s_ago(self, domain):
        """Return the seconds since a domain was taken back, or None."""
        return self.ages_s.get(domain)


class FewHosts:
    """Peers of one host with a given position."""

    def __init__(self, host_count=4, place=0):
        self.host_count = host_count
        self.place = place
        self.is_known = True

    def roster_count(self):
        """Return the number of hosts."""
        return self.host_count

    def roster_position(self, name):
        """Return the number of hosts before this one."""
        return self.place

    def is_roster_known(self):
        """Return whether all hosts are known."""
        return self.is_known


class System:
    """The cold targets of one host, and a clock."""

    def __init__(self, settings=SETTINGS, peers=None, cold_per_s=5.0):
        self.clock = clock()
        self.cold = ColdTargets(settings, self.clock, random.Random(1))
        self.cold.peers = peers
        self.cold.evacuations = FakeEvacuations()
        self.publish(cold_per_s)
        self.target = entry("i-1", domain="b")

    def publish(self, cold_per_s):
        """Publish the rule of the service."""
        service = Service("app", cold_start_s=START_S, cold_per_s=cold_per_s)
        self.cold.take_table(RouteTable(1, [], [service], None, None))

    def note(self, cold_left_s=0.0, number=0, is_new=False):
        """Apply the target's list entry."""
        self.target.cold_left_s = cold_left_s
        self.target.report_number = number
        self.cold.note_entry(self.target, is_new)

    def is_admitted(self, is_urgent=True):
        """Return whether the target may get a request."""
        return bool(self.cold.admitted([self.target], "app", is_urgent))

    def send(self, most_count=100, is_urgent=True):
        """Send as many requests as are admitted; return their number."""
        for count in range(most_count):
            if not self.is_admitted(is_urgent):
                return count
            self.cold.take(self.target).written()
        return most_count

    def is_cold(self):
        """Return whether the target is cold."""
        return self.cold.cold_count() == 1


@pytest.mark.parametrize("host_count", SIZES)
@pytest.mark.parametrize("fault", FAULTS)
def test_no_second_has_more_requests_than_the_bound(host_count, fault):
    """A cold target that gets more than its bound crashes.

    Reports are lost or late; a third of the hosts joins, receives no reports, or joins
    while another third is cut off.
    """
    for seed in range(2):
        run = Run(host_count, seed, fault)
        most, _ = run.play()
        assert most <= run.bound


@pytest.mark.parametrize("host_count", [1, 4, 12])
def test_quotas_are_used_up_under_demand(host_count):
    """A bound that is kept by sending nothing wastes the capacity of the target."""
    _, used = Run(host_count, 1, asked_per_s=50.0).play()
    assert used >= 0.8


def test_quota_never_rises_with_the_hosts_that_are_known():
    """Hosts that also count departed hosts would together exceed the bound."""
    system = System()
    rule = system.cold._rules["app"]
    for count in range(1, 40):
        quotas = [rule.quota(place, count) for place in range(count)]
        assert sum(quotas) == rule.usable_count == 11
        assert quotas == sorted(quotas, reverse=True)
        assert all(
            rule.quota(place, count + 1) <= quotas[place] for place in range(count)
        )


def test_service_or_settings_without_a_rule_limit_nothing():
    """Deployments without the rule must not be restricted."""
    for system in (System(ColdTargetSettings()), System(cold_per_s=0.0)):
        system.note(cold_left_s=9.0, is_new=True)
        assert system.send() == 100
        assert system.cold.take(system.target) is FREE_PERMIT
        assert not system.is_cold()


def test_slot_is_held_from_the_choice_until_a_second_after_the_write():
    """Requests that waited for slow connections were written within the same second."""
    system = System(peers=FewHosts())
    system.note(cold_left_s=60.0)
    # 11 of 12.5 requests are used: quotas of 3, 3, 3 and 2 for four hosts.
    permits = [system.cold.take(system.target) for _ in range(3)]
    system.clock.advance(5.0)
    assert not system.is_admitted()
    permits[0].written()
    system.clock.advance(1.0)
    assert not system.is_admitted()
    system.clock.advance(0.03)
    assert system.is_admitted()
    permits[1].release()
    permits[1].release()
    assert system.send() == 2


def test_request_is_withheld_when_its_target_becomes_cold_before_the_write():
    """The target was warm when chosen, and is cold without a free slot at the write."""
    system = System(peers=FewHosts())
    system.note()
    permits = [system.cold.take(system.target) for _ in range(5)]
    assert all(one.may_be_written() for one in permits)
    system.note(cold_left_s=3.0, number=1)
    assert not permits[0].may_be_written()
    permits[0].release()
    permits[1].release()
    assert permits[2].may_be_written()


def test_earlier_requests_count_when_a_target_becomes_cold():
    """A target with many requests in the same second got its cold quota in addition."""
    system = System(peers=FewHosts())
    system.note()
    assert system.send(20) == 20
    system.note(cold_left_s=3.0, number=1)
    assert system.send() == 0


@pytest.mark.parametrize(
    ("host_count", "is_known", "count"), [(4, False, 0), (5, True, 3)]
)
def test_host_with_an_incomplete_roster_sends_nothing(host_count, is_known, count):
    """A host that had just started used its share in addition to all other shares."""
    peers = FewHosts(host_count)
    peers.is_known = is_known
    system = System(peers=peers)
    system.note(cold_left_s=3.0)
    assert system.send() == count


def test_quota_shrinks_at_once_when_hosts_are_added():
    """Part of its share belongs to the added hosts."""
    peers = FewHosts(1)
    system = System(peers=peers)
    system.note(cold_left_s=60.0)
    permits = [system.cold.take(system.target) for _ in range(3)]
    peers.host_count, peers.place = 12, 11
    assert not system.is_admitted()
    assert not permits[0].may_be_written()


def test_last_request_of_a_quota_is_reserved_for_urgent_requests():
    """Earlier requests with a lower priority left no slot for urgent requests."""
    system = System(peers=FewHosts())
    system.note(cold_left_s=60.0)
    assert system.send(is_urgent=False) == 2
    assert system.send(is_urgent=True) == 1


def test_target_is_cold_as_long_as_it_states():
    """Reading the same report again, as from a peer, must not extend the cold time."""
    system = System()
    system.note(cold_left_s=2.0, number=3)
    system.clock.advance(1.5)
    system.note(cold_left_s=2.0, number=3)
    assert system.is_cold()
    system.clock.advance(0.6)
    assert not system.is_cold()


def test_hosts_that_do_not_read_the_list_learn_that_a_target_is_cold_again():
    """These hosts sent at full rate; no peer may repeat a statement for ever."""
    reader, other = System(), System()
    for system in (reader, other):
        system.note()
    reader.note(cold_left_s=2.0, number=1)
    reported = reader.cold.statements()
    assert [(one.instance_id, one.left_s) for one in reported] == [("i-1", 2.0)]
    other.cold.hear([*reported, ColdStatement("i-unknown", 2.0)], "peer")
    assert other.is_cold()
    assert not other.cold.statements()
    other.clock.advance(2.1)
    assert not other.is_cold()
    other.cold.hear(reported, "peer")
    other.clock.advance(0.1)
    other.cold.note_answer(other.target, 0.0)
    assert not other.is_cold()


def test_older_report_does_not_end_the_cold_time():
    """An older copy of the list stated 0 and all requests were admitted."""
    system = System()
    system.note(cold_left_s=2.0, number=3)
    system.note(cold_left_s=0.0, number=2)
    assert system.is_cold()
    system.note(cold_left_s=0.0, number=4)
    assert not system.is_cold()


def test_report_that_differs_under_the_same_number_counts():
    """A target that does not number its reports was treated as warm."""
    system = System()
    system.note(cold_left_s=0.0, number=1)
    system.note(cold_left_s=2.0, number=1)
    assert system.is_cold()
    system.note(cold_left_s=0.0, number=1)
    assert not system.is_cold()


def test_target_that_is_new_in_the_list_is_cold_whatever_it_states():
    """Its report from before its first requests states 0; later reports count."""
    system = System()
    system.note(number=1, is_new=True)
    assert system.is_cold()
    system.clock.advance(1.0)
    system.note(number=2)
    assert not system.is_cold()
    system.note(number=3, is_new=True)
    system.clock.advance(START_S)
    assert not system.is_cold()


def test_target_is_cold_from_its_first_answer_after_a_failure():
    """A target that had restarted under its id got all requests at once."""
    system = System()
    system.note()
    system.cold.note_failure("i-1")
    system.clock.advance(60.0)
    assert system.is_cold()
    system.cold.note_answer(system.target, None)
    system.clock.advance(START_S - 0.1)
    assert system.is_cold()
    system.clock.advance(0.2)
    assert not system.is_cold()
    system.cold.note_failure("i-1")
    system.cold.note_answer(system.target, 0.0)
    assert not system.is_cold()


def test_late_answer_of_a_target_that_answers_others_is_no_failure():
    """Under load all targets would count as cold, and the load would grow."""
    system = System()
    system.note()
    sent_at_s = system.clock.monotonic_s()
    system.clock.advance(1.0)
    system.cold.note_answer(system.target, None)
    system.cold.note_failure("i-1", silent_since_s=sent_at_s)
    assert not system.is_cold()
    system.cold.note_failure("i-1", silent_since_s=sent_at_s + 1.5)
    assert system.is_cold()


def test_domain_that_was_taken_back_is_cold():
    """All its targets got their whole load at once."""
    system = System()
    system.note()
    system.clock.advance(5.0)
    system.cold.evacuations.ages_s["b"] = 1.0
    assert system.is_cold()
    system.cold.evacuations.ages_s["b"] = START_S + 0.1
    assert not system.is_cold()
    system.cold.evacuations.ages_s["b"] = 1.0
    system.cold.note_answer(system.target, 0.0)
    assert not system.is_cold()


def test_target_that_vanishes_and_is_listed_again_keeps_its_count():
    """It would get the quota twice within a second; later its state is dropped."""
    system = System(peers=FewHosts())
    system.note(cold_left_s=60.0)
    assert system.send() == 3
    system.cold.forget("i-1")
    system.cold.drop_over()
    system.note(cold_left_s=60.0, number=1, is_new=True)
    assert system.send() == 0
    system.cold.forget("i-1")
    system.clock.advance(2.0)
    system.cold.drop_over()
    assert not system.cold._targets


def test_refused_callers_get_consecutive_retry_times():
    """All refused callers retried at the same time, and were refused again."""
    system = System(peers=FewHosts())
    system.note(cold_left_s=60.0)
    system.send()
    waits_s = [system.cold.come_back_after_s([system.target], 3.0) for _ in range(5)]
    assert waits_s == sorted(waits_s)
    assert 0.3 < waits_s[1] - waits_s[0] < 0.4
    many_s = [system.cold.come_back_after_s([system.target], 3.0) for _ in range(50)]
    assert all(0 < wait_s <= 3.0 for wait_s in many_s)


def test_refused_callers_wait_no_longer_than_until_a_target_is_warm():
    """They would retry long after the target is unrestricted."""
    system = System(peers=FewHosts())
    system.note(cold_left_s=0.5)
    system.send()
    for _ in range(10):
        assert system.cold.come_back_after_s([system.target], 3.0) <= 0.5
