"""Tests of the load of the path measurement."""

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
    """Return the streams that make tokens at a time, by a naive walk."""
    return sum(
        request.start_s <= time_s < request.start_s + request.token_count * STEP_S
        for request in requests
    )


def test_load_is_steady_from_the_end_of_the_ramp(level):
    """As many streams run at each moment of the window as arrivals keep up."""
    requests = schedule(level)
    for tenth in range(0, int(WINDOW_S * 10)):
        running = running_at(requests, RAMP_S + 0.1 + tenth / 10)
        assert running == pytest.approx(level.stream_count, rel=0.02)


def test_phases_of_samples_are_even(level):
    """Every sixteenth of the step gets its part of the samples, give or take one."""
    sampled = [request for request in schedule(level) if request.sampled]
    counts = collections.Counter(
        int(request.start_s % STEP_S / STEP_S * 16) for request in sampled
    )
    assert all(abs(counts[part] - len(sampled) / 16) < 2 for part in range(16))


def test_samples_are_arrivals_of_the_window(level):
    """Neither the ramp nor the last second of the window is sampled.

    Symptom: first tokens far above the rest, or missing.  The streams of the ramp begin
    far faster than the steady rate, and those of the end are cut off before their first
    token.
    """
    for request in schedule(level):
        if request.sampled:
            assert request.start_s >= RAMP_S - STEP_S
            assert request.start_s <= RAMP_S + WINDOW_S - LAST_SAMPLE_S
            assert request.token_count == 256


def test_numbers_are_unique_and_begins_in_order(level):
    """A number stands for one prompt, and the load walks the list in order."""
    requests = schedule(level)
    assert len({request.number for request in requests}) == len(requests)
    assert requests == sorted(requests, key=lambda request: request.start_s)
