"""Tests the reserve and the shares in a burst while hosts fail, or join."""

import pytest

from siskinthread.load_control.tests.fault_replay import FaultReplay

SEEDS = range(4)
# Minimum mean fractions of urgent requests in time and of capacity used. Where hosts
# receive no reports from one another, or have just started, the reserve is too small
# for a second or two.
LEAST = {"killed": (0.95, 0.84), "cut": (0.9, 0.84), "joins": (0.92, 0.84)}


@pytest.mark.parametrize("fault", LEAST)
@pytest.mark.parametrize("host_count", [4, 12])
def test_urgent_requests_keep_their_slots_in_a_fault(host_count, fault):
    """Guards against idle shares of failed hosts, and missing shares of new ones."""
    runs = [FaultReplay(host_count, seed, fault).play() for seed in SEEDS]
    in_time, used = (sum(parts) / len(runs) for parts in zip(*runs, strict=True))
    assert in_time >= LEAST[fault][0]
    assert used >= LEAST[fault][1]
