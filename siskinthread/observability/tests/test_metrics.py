"""Tests of metrics."""

import pytest

from siskinthread.errors import InvariantError
from siskinthread.observability import Metrics


def test_names_have_prefix_and_unit():
    """Counters, gauges and histograms are rendered with the prefix of the project."""
    metrics = Metrics()
    metrics.counter("requests", "Requests.", ("outcome",)).labels("answered").inc()
    metrics.gauge("buffer_bytes", "Buffered.").set(7)
    metrics.histogram("wait_s", "Waits.", buckets=(0.1, 1)).observe(0.5)
    lines = metrics.render().decode().splitlines()
    assert 'siskinthread_requests_total{outcome="answered"} 1.0' in lines
    assert "siskinthread_buffer_bytes 7.0" in lines
    assert 'siskinthread_wait_s_bucket{le="0.1"} 0.0' in lines
    assert 'siskinthread_wait_s_bucket{le="1.0"} 1.0' in lines


def test_same_name_gives_the_same_metric():
    """Two objects that request the same name share the metric."""
    metrics = Metrics()
    metrics.counter("requests", "Requests.").inc()
    metrics.counter("requests", "Requests.").inc()
    assert b"siskinthread_requests_total 2.0" in metrics.render()


def test_one_name_declared_in_two_ways_is_refused():
    """A name can't be declared for two different metrics."""
    metrics = Metrics()
    metrics.counter("requests", "Requests.")
    with pytest.raises(InvariantError):
        metrics.gauge("requests", "Requests.")
    with pytest.raises(InvariantError):
        metrics.counter("requests", "Requests.", ("outcome",))


def test_registries_are_apart():
    """Daemons in the same process have separate metrics."""
    one, other = Metrics(), Metrics()
    one.gauge("load", "Load.").set(1)
    other.gauge("load", "Load.").set(2)
    assert b"siskinthread_load 1.0" in one.render()
    assert b"siskinthread_load 2.0" in other.render()
