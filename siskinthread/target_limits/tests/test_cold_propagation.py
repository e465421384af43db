"""Time until all hosts know a cold target that only one or two hosts have detected."""

import pytest

from siskinthread.peer_news.tests.scripted_fleet import ScriptedFleet
from siskinthread.target_limits.tests.fault_model import ColdFleet, TARGET

SETTLED_S = 4.0
KNOWN_S = 0.3
LATEST_S = 2.0
STEP_S = 0.01


class SpreadingFleet(ColdFleet):
    """Hosts without requests that know a warm target."""

    def __init__(self, host_count, seed, lost_share=0.0):
        super().__init__(2, seed)
        self.fleet = ScriptedFleet(self._build, host_count, seed, lost_share)
        for host in self.fleet.hosts:
            host.cold.note_entry(TARGET)
        self.fleet.run(SETTLED_S + self.fleet.random.random())

    def known_after_s(self):
        """Return the time until the target is cold for all hosts, seconds."""
        began_s = self.fleet.now_s()
        while self.fleet.now_s() < began_s + LATEST_S:
            if all(host.cold.cold_count() for host in self.fleet.hosts):
                break
            self.fleet.run(self.fleet.now_s() + STEP_S)
        return self.fleet.now_s() - began_s


def spread_statement(host_count, seed, reporter, lost_share=0.0):
    """Let the target state to a host that it is cold; return when all know, seconds."""
    spreading = SpreadingFleet(host_count, seed, lost_share)
    spreading.fleet.hosts[reporter].cold.note_answer(TARGET, 5.0)
    return spreading.known_after_s()


def spread_failure(host_count, seed, reporters, lost_share=0.0):
    """Let the target fail some hosts; return when it is cold for all, seconds."""
    spreading = SpreadingFleet(host_count, seed, lost_share)
    for reporter in reporters:
        spreading.fleet.hosts[reporter].cold.note_failure(TARGET.instance_id)
    return spreading.known_after_s()


@pytest.mark.parametrize(("host_count", "seeds"), [(12, 5), (38, 3), (99, 1)])
def test_cold_target_is_known_to_all_failure_domains_at_once(host_count, seeds):
    """Hosts of other domains learnt up to a second later that a target was cold."""
    for seed in range(seeds):
        assert spread_statement(host_count, seed, seed) <= KNOWN_S, seed
        reporters = range(seed, seed + 3)
        assert spread_failure(host_count, seed, reporters) <= KNOWN_S, seed


def test_failure_at_one_host_makes_a_target_cold_for_no_other():
    """A host that loses its own link would limit all targets for all hosts."""
    spreading = SpreadingFleet(12, 0)
    spreading.fleet.hosts[0].cold.note_failure(TARGET.instance_id)
    assert spreading.known_after_s() >= LATEST_S
    assert sum(host.cold.cold_count() for host in spreading.fleet.hosts) == 1


def test_failure_in_one_domain_makes_a_target_cold_for_no_other_domain():
    """A domain that is cut off from a target would limit the target for all others."""
    spreading = SpreadingFleet(12, 0)
    hosts = spreading.fleet.hosts
    for host in hosts[::3]:
        host.cold.note_failure(TARGET.instance_id)
    spreading.fleet.run(spreading.fleet.now_s() + KNOWN_S)
    assert {host.domain for host in hosts if host.cold.cold_count()} == {"a"}


def test_failures_reported_by_peers_count_for_a_second():
    """Hosts with a quota of 0 can't detect themselves that the target is back."""
    spreading = SpreadingFleet(12, 0)
    hosts = spreading.fleet.hosts
    for host in hosts[:3]:
        host.cold.note_failure(TARGET.instance_id)
    assert spreading.known_after_s() <= KNOWN_S
    spreading.fleet.run(spreading.fleet.now_s() + 1.5)
    assert [host.cold.cold_count() for host in hosts] == 3 * [1] + 9 * [0]


def test_own_answer_overrides_failures_reported_by_peers():
    """A target that answers this host is not cold by an older failure at peers."""
    spreading = SpreadingFleet(12, 0)
    hosts = spreading.fleet.hosts
    for host in hosts[:3]:
        host.cold.note_failure(TARGET.instance_id)
    spreading.known_after_s()
    hosts[5].cold.note_answer(TARGET, None)
    assert not hosts[5].cold.cold_count()
    assert hosts[6].cold.cold_count()
