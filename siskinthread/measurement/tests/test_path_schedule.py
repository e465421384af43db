"""Tests of the schedule of the path measurement."""

import collections

import pytest

from siskinthread.measurement._path_schedule import LAST_SAMPLE_S, LoadLevel, schedule

STEP_S = 0.078
RAMP_S = 3.0
WINDOW_S = 16.0


@pytest.fixture
def level():
    return LoadLevel("share", 20.0, 256, STEP_S, RAMP_S, WINDOW_S)


def running_at(requests, time_s):
    """Return the number of streams that generate tokens at a time."""
    return sum(
        request.start_s <= time_s < request.start_s + request.token_count * STEP_S
        for request in requests
    )


def test_load_is_steady_from_the_end_of_the_ramp(level):
    """The number of running streams is constant throughout the window."""
    requests = schedule(level)
    for tenth in range(0, int(WINDOW_S * 10)):
        running = running_at(requests, RAMP_S + 0.1 + tenth / 10)
        assert running == pytest.approx(level.stream_count, rel=0.02)


def test_phases_of_samples_are_even(level):
    """Each sixteenth of the step has its share of the samples, within two."""
    sampled = [request for request in schedule(level) if request.sampled]
    counts = collections.Counter(
        int(request.start_s % STEP_S / STEP_S * 16) for request in sampled
    )
    assert all(abs(counts[part] - len(sampled) / 16) < 2 for part in range(16))


def test_samples_are_arrivals_of_the_window(level):
    """Neither the ramp nor the last second of the window is sampled.

    Guards against samples with late or missing first tokens: the streams of the ramp
    start much faster than at the steady rate, and streams near the end are cut off
    before their first token.
    """
    for request in schedule(level):
        if request.sampled:
            assert request.start_s >= RAMP_S - STEP_S
            assert request.start_s <= RAMP_S + WINDOW_S - LAST_SAMPLE_S
            assert request.token_count == 256


def test_numbers_are_unique_and_begins_in_order(level):
    """Numbers identify prompts, and requests are sent in the order of the list."""
    requests = schedule(level)
    assert len({request.number for request in requests}) == len(requests)
    assert requests == sorted(requests, key=lambda request: request.start_s)
