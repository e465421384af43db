"""Budgets of many hosts before flapping targets, during network faults."""

import bisect

import pytest

from siskinthread.gateway import GatewaySettings
from siskinthread.peer_news import HostState
from siskinthread.peer_news.tests.scripted_fleet import ScriptedFleet
from siskinthread.retry_budget import FleetShare, ServiceRetryBudgets

WINDOW_S = 10.0
SHARE = 0.2
# Requests a second, and the allowed retries in addition to their share.
LOADS = [(40.0, 60), (10.0, 448)]
# Targets are down and up for this time in turn.
FLAP_S = 1.0
FAULT_S = 10.0
END_S = 26.0


class FlappingTargets:
    """Hosts that retry each failed request as far as their budget allows."""

    def __init__(self, host_count, seed, fault, asked_per_s, floor_count):
        self._asked_per_s = asked_per_s
        self._floor_count = floor_count
        self._settings = GatewaySettings(
            retry_window_s=WINDOW_S, retry_share=SHARE, retry_floor_count=floor_count
        )
        self.requests_s, self.retries_s = [], []
        self.fleet = ScriptedFleet(self._build, host_count, seed)
        at = self.fleet.at
        at(0.0, self._request)
        if "cut" in fault or "bridge" in fault:
            at(FAULT_S, self.fleet.cut, "a", "b")
        if "cut" in fault:
            at(FAULT_S, self.fleet.cut, "a", "c")
            at(FAULT_S, self.fleet.cut, "b", "c")
        if "joins" in fault:
            at(FAULT_S + 0.5, self.fleet.join, round(0.75 * host_count))
        self.fleet.run(END_S)

    def worst_excess(self):
        """Return the largest excess of retries in a window over the limit."""
        worst = -self._floor_count
        for number, end_s in enumerate(self.retries_s):
            begin_s = end_s - WINDOW_S
            retry_count = number + 1 - bisect.bisect_right(self.retries_s, begin_s)
            request_count = bisect.bisect_right(
                self.requests_s, end_s
            ) - bisect.bisect_right(self.requests_s, begin_s)
            worst = max(worst, retry_count - SHARE * request_count - self._floor_count)
        return worst

    def _build(self, fleet, host):
        share = FleetShare(self._settings)
        share.peers = host.gossip
        host.gossip.sends_roster = True
        host.gossip.describe = lambda: HostState(1, True, {})
        host.budgets = ServiceRetryBudgets(share, fleet.clock)

    def _request(self):
        fleet = self.fleet
        now_s = fleet.now_s()
        host = fleet.random.choice(fleet.live())
        host.budgets.note_request("app")
        self.requests_s.append(now_s)
        is_down = now_s // FLAP_S % 2 == 0
        # A target fails at once, so a request may be retried several times.
        while is_down and host.budgets.try_spend("app"):
            self.retries_s.append(now_s)
        fleet.after(fleet.random.expovariate(self._asked_per_s), self._request)


@pytest.mark.parametrize(
    "fault", ["none", "bridge", "joins", "bridge joins", "cut joins"]
)
@pytest.mark.parametrize(("host_count", "seeds"), [(4, 3), (12, 2), (38, 1)])
def test_retries_at_flapping_targets_stay_within_the_budget(host_count, seeds, fault):
    """Hosts that started during a cut divided the floor by the hosts on their side."""
    for seed in range(seeds):
        for load in LOADS:
            run = FlappingTargets(host_count, seed, fault, *load)
            assert run.retries_s
            assert run.worst_excess() <= 0, (seed, load)
