"""Targets that get a request only if no other target can serve it."""

import pytest

from siskinthread.gateway._avoided_targets import AvoidedTargets
from siskinthread.gateway.tests.parts import clock, entry, ids, SETTINGS
from siskinthread.target_limits import BackoffStatement

STEP_S = 0.01
ENTRIES = [entry("i-1"), entry("i-2")]


def build():
    """Return an `AvoidedTargets`, and its clock."""
    now = clock()
    return AvoidedTargets(SETTINGS, now), now


def avoided_s(avoided, now):
    """Return for how long the first target is avoided from now on, seconds."""
    waited_s = 0.0
    while "i-1" not in ids(avoided.exclude_avoided(ENTRIES)):
        now.advance(STEP_S)
        waited_s += STEP_S
    return waited_s


def test_target_that_declines_again_is_avoided_for_longer():
    """Guards against sending each request to a target that declines and looks idle."""
    avoided, now = build()
    waits_s = []
    for _ in range(5):
        avoided.declined("i-1")
        waits_s.append(avoided_s(avoided, now))
    assert waits_s == pytest.approx([0.2, 0.4, 0.8, 1.6, 1.6], abs=1.1 * STEP_S)


def test_declines_of_requests_in_flight_count_once():
    """Guards against avoiding a full target for longer after five requests than one."""
    avoided, now = build()
    for _ in range(5):
        avoided.declined("i-1")
    assert avoided_s(avoided, now) == pytest.approx(0.2, abs=1.1 * STEP_S)


def test_answer_ends_the_declines():
    """A target that answers is no longer avoided."""
    avoided, _ = build()
    avoided.declined("i-1")
    avoided.answered("i-1")
    assert avoided.exclude_avoided(ENTRIES) == ENTRIES


def test_backoff_requested_of_a_peer_is_observed_with_a_margin():
    """Guards against all entries trying a target at the end of one entry's back-off."""
    avoided, now = build()
    avoided.hear([BackoffStatement("i-1", 1.0)], "peer")
    assert avoided_s(avoided, now) == pytest.approx(1.3, abs=1.1 * STEP_S)


def test_declines_and_backoffs_are_forgotten():
    """Guards against memory that grows with each target over months."""
    avoided, now = build()
    avoided.declined("i-1")
    avoided.hear([BackoffStatement("i-2", 1.0)], "peer")
    now.advance(SETTINGS.avoided_memory_s + 1.0)
    avoided.drop_over()
    assert (avoided._declines, avoided._peer_backoffs) == ({}, {})
