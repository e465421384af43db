"""Tests of the cost slopes."""

import pytest

from siskinthread.measurement._slopes import fit_memory, fit_slopes


def test_costs_of_requests_and_tokens_are_told_apart():
    """Levels with long and with short answers determine both slopes."""
    rates = [(100, 1600), (20, 5120), (40, 10240), (60, 15360)]
    points = [
        (requests, tokens, 0.02 + 2e-3 * requests + 4e-5 * tokens)
        for requests, tokens in rates
    ]
    slopes = fit_slopes(points, 0.02)
    assert slopes.request_us == pytest.approx(2000)
    assert slopes.token_us == pytest.approx(40)
    assert slopes.largest_error_share == pytest.approx(0, abs=1e-9)


def test_deviation_from_the_fit_is_stated():
    """A level that deviates by a tenth shows in the largest error."""
    points = [(100, 1600, 0.28), (20, 5120, 0.26), (40, 10240, 0.55)]
    assert 0.02 < fit_slopes(points, 0.02).largest_error_share < 0.1


def test_memory_of_a_stream():
    """The fit of memory over streams gives the memory per stream."""
    without, each = fit_memory([(0, 40e6), (100, 43e6), (400, 52e6)])
    assert without == pytest.approx(40e6)
    assert each == pytest.approx(30e3)
