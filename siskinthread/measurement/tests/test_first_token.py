"""Tests of the quantiles of the time to first token."""

import random
import statistics

import pytest

from siskinthread.measurement._first_token import (
    FirstTokenSamples,
    next_step_wait_s,
)

STEP_S = 0.078
DELAY_S = 0.005


def random_samples(seed, count):
    """Return samples of an engine with requests at random times."""
    random_source = random.Random(seed)
    waits_s = [random_source.random() * STEP_S for _ in range(count)]
    return [wait_s + DELAY_S for wait_s in waits_s], waits_s


def test_uneven_phases_do_not_move_the_median():
    """The weighted median is within 1 ms of the true value, unlike a plain median.

    Guards against a path that seems to add or save several milliseconds, as the phases
    of a few hundred requests within the steps of the engines are random.
    """
    truth_s = STEP_S / 2 + DELAY_S
    plain_errors_s, errors_s = [], []
    for seed in range(40):
        times_s, waits_s = random_samples(seed, 300)
        samples = FirstTokenSamples(times_s, waits_s, STEP_S)
        plain_errors_s.append(abs(statistics.median(times_s) - truth_s))
        errors_s.append(abs(samples.quantile_s(0.5) - truth_s))
    assert max(plain_errors_s) > 0.003
    assert max(errors_s) < 0.001


def test_error_covers_the_noise():
    """The standard error matches the spread of the medians over repeated runs."""
    medians_s, stated_s = [], []
    for seed in range(40):
        random_source = random.Random(seed)
        times_s, waits_s = random_samples(seed, 300)
        times_s = [time_s + random_source.expovariate(200) for time_s in times_s]
        samples = FirstTokenSamples(times_s, waits_s, STEP_S)
        medians_s.append(samples.quantile_s(0.5))
        stated_s.append(samples.quantile_error_s(0.5))
    assert statistics.mean(stated_s) >= 0.8 * statistics.stdev(medians_s)
    assert statistics.mean(stated_s) <= 3 * statistics.stdev(medians_s)


def test_tail_shows_late_tokens():
    """A delay of one request in fifty moves the 99th percentile, not the median."""
    times_s, waits_s = random_samples(1, 500)
    late_s = [
        time_s + 0.2 * (number % 50 == 0) for number, time_s in enumerate(times_s)
    ]
    on_time = FirstTokenSamples(times_s, waits_s, STEP_S)
    late = FirstTokenSamples(late_s, waits_s, STEP_S)
    assert late.quantile_s(0.99) > on_time.quantile_s(0.99) + 0.1
    assert late.quantile_s(0.5) == pytest.approx(on_time.quantile_s(0.5), abs=0.002)


def test_wait_is_told_by_the_following_tokens():
    """A delayed first token does not lengthen the computed wait for the step."""
    arrivals_s = [10.060, 10.108, 10.1861, 10.264]
    wait_s = next_step_wait_s(10.0, arrivals_s, STEP_S)
    assert wait_s == pytest.approx(0.030, abs=1e-4)
