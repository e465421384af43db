"""Tests of the figures of the measurement of control."""

import pytest

from siskinthread.measurement._control_figures import figures_of
from siskinthread.measurement._process_usage import ProcessUsage


class FakeWorker:
    """Worker process with nodes of one role."""

    def __init__(self, role, nodes):
        self.role = role
        self.hosts = [("host", "domain")] * nodes


class FakeSnapshot:
    """Usage and report of a worker at one time."""

    def __init__(self, taken_at_s, cpu_s, resident_bytes, moved_bytes, links=0):
        self.usage = ProcessUsage(taken_at_s, cpu_s, 0.0, resident_bytes, 0)
        self.report = {"bytes": {"peers": moved_bytes}, "links": links}


class FakeSize:
    """Figures of a size with known costs per link and per listed host."""

    def __init__(self, size, links):
        self.size = size
        self.delays_s = [0.1, 0.3]
        self._links = links
        self.workers = [self._worker("entry"), self._worker("agent")]

    def _worker(self, role):
        nodes = self.size // 2
        bytes_per_s = 20 * self._links * nodes
        cores = (1e-4 * self._links + 1e-5 * self.size) * nodes
        links = self._links * nodes
        return (
            FakeWorker(role, nodes),
            FakeSnapshot(0.0, 0.0, 50e6, 0),
            FakeSnapshot(10.0, 1.0, 50e6, 0),
            FakeSnapshot(14.0, 1.0 + 4 * cores, 50e6, 4 * bytes_per_s, links),
            # 2 s later, after two changes with 500 bytes and 5 ms for each node.
            FakeSnapshot(
                16.0,
                1.0 + 6 * cores + 0.01 * nodes,
                50e6 + 3e6 * nodes,
                6 * bytes_per_s + 1000 * nodes,
            ),
        )


def test_costs_are_told_apart_and_extended():
    """The costs of idling, changes, links and listed hosts are extrapolated apart."""
    result = figures_of([FakeSize(50, 15), FakeSize(100, 48), FakeSize(200, 48)])
    role = result["sizes"][1]["roles"]["entry"]
    assert role["rest_core_share"] == pytest.approx(0.0048 + 0.001)
    assert role["cpu_ms_per_change"] == pytest.approx(5.0)
    assert role["bytes_per_change"] == 500
    assert role["rest_bytes_per_s"]["peers"] == pytest.approx(960)
    assert role["memory_mb"] == pytest.approx(53.0)
    assert role["links"] == pytest.approx(48)
    estimate = result["estimate"]
    changes_per_s = 870 / 86_400
    agent = estimate["agent"]
    assert agent["bytes_per_s"] == pytest.approx(20 * 32.8 + 500 * changes_per_s)
    expected = 32.8e-4 + 1010e-5 + 0.005 * changes_per_s
    assert agent["core_share"] == pytest.approx(expected, rel=0.01)
    assert estimate["in_force_max_s"] == pytest.approx(0.3)
    assert estimate["fits"]["entry.core_share"] is False
    assert estimate["fits"]["agent.bytes_per_s"] is True


def test_noise_never_makes_more_hosts_cheaper():
    """Guards against an estimate at the full size that is below a measured value.

    It occurs if noise lowers the processor time at the largest size below that of a
    smaller size with the same number of links, and the difference is extrapolated.
    """
    sizes = [FakeSize(50, 15), FakeSize(100, 48), FakeSize(200, 48)]
    for worker in sizes[-1].workers:
        worker[3].usage.cpu_s -= 0.8
    largest = figures_of(sizes)["sizes"][-1]["roles"]["entry"]["rest_core_share"]
    estimate = figures_of(sizes)["estimate"]["entry"]["rest_core_share"]
    assert estimate >= largest
