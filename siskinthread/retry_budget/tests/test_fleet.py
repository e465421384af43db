"""Retry budgets of many hosts together."""

import random

import pytest

from siskinthread.gateway import GatewaySettings
from siskinthread.retry_budget import FleetShare, ServiceRetryBudgets
from siskinthread.timing import ManualClock

WINDOW_S = 10.0
# Allowed for all hosts together, in addition to a fifth of the requests.
FLOOR_COUNT = 448
SHARE = 0.2
SETTINGS = GatewaySettings(
    retry_window_s=WINDOW_S, retry_share=SHARE, retry_floor_count=FLOOR_COUNT
)


class FakePeers:
    """Peers with a given number of hosts."""

    def __init__(self, count):
        self.count = count

    def fleet_count(self):
        """Return the number of hosts."""
        return self.count

    def is_roster_known(self):
        """Return True."""
        return True


def build_fleet(count, clock):
    """Return the budgets of hosts that all know each other."""
    fleet = []
    for _ in range(count):
        share = FleetShare(SETTINGS)
        share.peers = FakePeers(count)
        fleet.append(ServiceRetryBudgets(share, clock))
    return fleet


@pytest.mark.parametrize("host_count", [6, 39, 99, 1000])
def test_all_hosts_together_stay_within_the_budget(host_count):
    """A service got 148 retries within 10 s where 110 were allowed.

    A failure domain was cut off, and all hosts retried each request that a target
    declined.  Each host had a fixed floor that was sized for twelve hosts.
    """
    generator = random.Random(host_count)
    clock = ManualClock()
    fleet = build_fleet(host_count, clock)
    requests, retries = [], []
    for _ in range(4000):
        clock.advance(0.006)
        host = generator.choice(fleet)
        host.note_request("llm")
        requests.append(clock.monotonic_s())
        if host.try_spend("llm"):
            retries.append(clock.monotonic_s())
    assert retries
    for end_s in retries:
        begin_s = end_s - WINDOW_S
        request_count = sum(begin_s < one <= end_s for one in requests)
        retry_count = sum(begin_s < one <= end_s for one in retries)
        assert retry_count <= SHARE * request_count + FLOOR_COUNT


def test_small_fleet_uses_most_of_the_floor():
    """Dividing the floor must not leave a small fleet without retries."""
    clock = ManualClock()
    fleet = build_fleet(6, clock)
    granted = sum(host.try_spend("llm") for host in fleet for _ in range(FLOOR_COUNT))
    assert granted >= 0.7 * FLOOR_COUNT


def test_requests_of_one_service_do_not_allow_retries_at_another():
    """A small failing service got more retries than allowed.

    The many requests of a large service counted for both services.
    """
    clock = ManualClock()
    [host] = build_fleet(1, clock)
    for _ in range(10_000):
        host.note_request("large")
    assert sum(host.try_spend("small") for _ in range(1000)) <= FLOOR_COUNT


def test_host_that_knows_no_other_has_no_floor():
    """Hosts that started during a cut each used the whole floor.

    The settings name other hosts, and none of them is known yet.
    """
    share = FleetShare(SETTINGS)
    share.peers = FakePeers(None)
    host = ServiceRetryBudgets(share, ManualClock())
    assert not host.try_spend("llm")
    for _ in range(20):
        host.note_request("llm")
    assert host.try_spend("llm")


def test_renamed_services_are_forgotten():
    """Memory grew with each configuration that renamed a service."""
    clock = ManualClock()
    [host] = build_fleet(1, clock)
    for number in range(50):
        host.note_request(f"name-{number}")
        clock.advance(WINDOW_S)
    assert len(host._budgets) <= 2
