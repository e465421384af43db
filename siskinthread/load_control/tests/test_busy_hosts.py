"""Tests a burst of less urgent requests at hosts that wait for a CPU."""

import pytest

from siskinthread.load_control.tests.busy_hosts import BusyHosts
from siskinthread.load_control.tests.replay import Kind

SERVED_PER_S = 80
BURST_S = (4.0, 9.0)


def play(waiting_share, wait_s, seed):
    """Return the fractions of urgent requests in time and of capacity used."""
    replay = BusyHosts(waiting_share, wait_s, seed)
    urgent, draft = Kind("urgent", 0, 0.4), Kind("draft", 2, 0.8)
    replay.ask(urgent, 24, 0.0, BURST_S[1] + 0.5)
    replay.ask(draft, 240, *BURST_S)
    replay.run(BURST_S[1] + 1.0)
    used = replay.answered_per_s(BURST_S[0] + 0.5, BURST_S[1]) / SERVED_PER_S
    return replay.share_within(urgent, 0.4, *BURST_S), used


@pytest.mark.parametrize("seed", [1, 2])
def test_waits_shorter_than_the_report_interval_cost_little(seed):
    """Guards against decisions that hold only for hosts that never wait.

    Waits of 20 ms are a fifth of the time between two load reports of a host.
    """
    urgent_share, used_share = play(0.4, 0.02, seed)
    assert urgent_share >= 0.95
    assert used_share >= 0.85
