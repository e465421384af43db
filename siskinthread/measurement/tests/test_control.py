"""Tests of the figures of the measurement of control."""

import pytest

from siskinthread.measurement._control_figures import figures_of
from siskinthread.measurement._process_usage import ProcessUsage


class FakeWorker:
    """A worker process with nodes of one role."""

    def __init__(self, role, nodes):
        self.role = role
        self.hosts = [("host", "domain")] * nodes


class FakeSnapshot:
    """What a worker had used at a moment."""

    def __init__(self, taken_at_s, cpu_s, resident_bytes, moved_bytes, links=0):
        self.usage = ProcessUsage(taken_at_s, cpu_s, 0.0, resident_bytes, 0)
        self.report = {"bytes": {"peers": moved_bytes}, "links": links}


class FakeSize:
    """A size whose costs are known."""

    def __init__(self, size):
        self.size = size
        self.delays_s = [0.1, 0.3]
        self.workers = [self._worker("entry"), self._worker("agent")]

    def _worker(self, role):
        nodes = self.size // 2
        for_each_node = 1.0 * self.size
        snapshots = [
            FakeSnapshot(0.0, 0.0, 50e6, 0),
            FakeSnapshot(10.0, 1.0, 50e6, 0),
            # 4 s at rest: 1% of a core and `size` bytes a second for each node.
            FakeSnapshot(14.0, 1.0 + 0.04 * nodes, 50e6, 4 * for_each_node * nodes, 8),
            # 2 s more with two changes of 500 bytes and 5 ms each.
            FakeSnapshot(
                16.0,
                1.0 + (0.06 + 0.01) * nodes,
                50e6 + 3e6 * nodes,
                (6 * for_each_node + 1000) * nodes,
            ),
        ]
        return (FakeWorker(role, nodes), *snapshots)


def test_costs_are_told_apart_and_extended():
    """Rest and changes are separated, and the line goes through the full sizes."""
    result = figures_of([FakeSize(100), FakeSize(200)])
    role = result["sizes"][0]["roles"]["entry"]
    assert role["rest_core_share"] == pytest.approx(0.01)
    assert role["cpu_ms_per_change"] == pytest.approx(5.0)
    assert role["bytes_per_change"] == 500
    assert role["rest_bytes_per_s"]["peers"] == pytest.approx(100)
    assert role["memory_mb"] == pytest.approx(53.0)
    assert role["links"] == pytest.approx(0.2, abs=0.1)
    estimate = result["estimate"]["agent"]
    assert estimate["bytes_per_s"] == pytest.approx(1010 + 500 * 870 / 86_400, rel=0.01)
    assert estimate["core_share"] == pytest.approx(0.01, rel=0.01)
    assert result["sizes"][0]["in_force_max_s"] == pytest.approx(0.3)
