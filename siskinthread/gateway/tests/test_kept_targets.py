"""How long targets are kept that vanish around an outage of the list."""

import pytest

from siskinthread.gateway._target_list import TargetList
from siskinthread.gateway.tests.parts import clock, entry, ids, SETTINGS

GRACE_S = SETTINGS.lapse_grace_s
STEP_S = 0.1


def build():
    """Return a list with a target that vanished after an outage, and its clock."""
    now = clock()
    targets = TargetList(SETTINGS, now)
    targets.replace([entry("i-1")])
    targets.note_outage_end()
    targets.note_unlisted("i-1")
    return targets, now


@pytest.mark.parametrize(
    "known",
    [
        lambda targets: targets.is_serving("i-1"),
        lambda targets: targets.entries(),
        lambda targets: targets.kept_ids(),
    ],
)
def test_grace_period_ends_without_requests(known):
    """Guards against a host without requests for a service that keeps its targets.

    Its peers would take the targets over.
    """
    targets, now = build()
    now.advance(GRACE_S - STEP_S)
    assert known(targets)
    now.advance(STEP_S)
    assert not known(targets)


@pytest.mark.parametrize(
    ("answered_s", "away_s", "limit_s"),
    # Single calls that the source refuses; then outages that restart the grace period.
    [(1.0, 0.3, 10.0), (0.6, 0.1, 10.0), (1.0, 3.0, None)],
)
def test_only_outages_extend_the_grace_period(answered_s, away_s, limit_s):
    """Guards against a grace period that each failed call restarts, without end."""
    targets, now = build()
    kept_s = 0.0
    while ids(targets.serving("app")) and kept_s < 60.0:
        now.advance(answered_s)
        targets.note_failed_call(now.monotonic_s())
        now.advance(away_s)
        targets.note_outage_end()
        kept_s += answered_s + away_s
    assert kept_s < limit_s if limit_s else kept_s >= 60.0


def test_targets_are_kept_while_the_source_is_unavailable():
    """Guards against removing running targets in an outage that follows another."""
    targets, now = build()
    targets.note_failed_call(now.monotonic_s())
    now.advance(10 * GRACE_S)
    assert ids(targets.serving("app")) == ["i-1"]


@pytest.mark.parametrize(
    ("since_call_s", "kept_s"),
    [(0.0, SETTINGS.lapse_grace_s), (1.0, 1.8), (5.0, SETTINGS.lapse_least_s)],
)
def test_grace_period_ends_in_time_after_a_partition(since_call_s, kept_s):
    """Guards against requests to a target that has left, 3 s after a partition began.

    The host is back from the partition, and its source no longer lists the target.
    """
    now = clock()
    targets = TargetList(SETTINGS, now)
    targets.replace([entry("i-1")])
    targets.note_failed_call(now.monotonic_s())
    now.advance(since_call_s)
    targets.note_outage_end()
    targets.note_unlisted("i-1")
    now.advance(kept_s - STEP_S)
    assert targets.is_serving("i-1")
    now.advance(STEP_S)
    assert not targets.is_serving("i-1")


@pytest.mark.parametrize(("stated_s", "own_s"), [(0.5, None), (GRACE_S, 0.5)])
def test_kept_target_of_a_peer_is_kept_for_no_longer(stated_s, own_s):
    """Guards against a kept target that gets a full grace period at each host."""
    now = clock()
    targets = TargetList(SETTINGS, now)
    targets.replace([entry("i-1")])
    if own_s is not None:
        targets.note_outage_end()
        targets.note_unlisted("i-1")
        now.advance(GRACE_S - own_s)
    targets.note_failed_call(now.monotonic_s())
    targets.replace([entry("i-1")], True, "a peer", {"i-1": stated_s})
    now.advance(0.4)
    assert targets.is_serving("i-1")
    assert targets.kept_left_s()["i-1"] < 0.2
    now.advance(0.2)
    assert not targets.is_serving("i-1")
    targets.replace(targets.without_gone([entry("i-1")], {"i-1"}), True, "a peer")
    assert not targets.is_serving("i-1")


def test_kept_target_of_a_peer_that_has_left_is_not_added():
    """Guards against an error in the expiry of a kept target that is not listed."""
    now = clock()
    targets = TargetList(SETTINGS, now)
    targets.replace([entry("i-1"), entry("i-2")])
    targets.note_leaving("i-1", "its answer")
    targets.note_unlisted("i-1")
    kept_left_s = {"i-1": 1.0, "i-2": 1.0}
    targets.replace([entry("i-1"), entry("i-2")], True, "a peer", kept_left_s)
    assert ids(targets.entries()) == ["i-2"]
    assert targets.kept_ids() == {"i-2"}
    now.advance(GRACE_S)
    assert not targets.entries()


def test_listeners_may_query_the_list_while_grace_periods_end():
    """Guards against removing the second of two targets twice."""
    now = clock()
    targets = TargetList(SETTINGS, now)
    targets.replace([entry("i-1"), entry("i-2")])
    targets.note_outage_end()
    targets.replace([])
    notified = []

    def query(entry):
        notified.append(entry.instance_id)
        targets.entries()

    targets.listen(query)
    now.advance(GRACE_S)
    assert not targets.entries()
    assert sorted(notified) == ["i-1", "i-2"]
