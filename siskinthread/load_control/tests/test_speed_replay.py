"""Tests the placement by speed against the placement by load alone."""

import random

import pytest

from siskinthread.gateway import GatewaySettings, RequestKind
from siskinthread.gateway.tests.parts import entry
from siskinthread.gateway.tests.test_target_choice import Parts
from siskinthread.load_control import SpeedSettings
from siskinthread.load_control.tests.pass_replay import StreamKind, StreamReplay
from siskinthread.load_control.tests.replay import Kind
from siskinthread.load_control.tests.speed_replay import (
    four_times_slower,
    Outcome,
    play,
    slow_when_nearly_full,
    SpeedReplay,
    twelve_times_slower_for_9_s,
    typical,
)

EQUAL = (1, 1, 1)
CALM_PER_S = 245


def answers(is_enabled, host_count, per_s, seed):
    """Return when each request was answered by targets of equal speed."""
    replay = SpeedReplay(
        (typical, typical, typical),
        host_count=host_count,
        seed=seed,
        speeds={"is_enabled": is_enabled},
    )
    replay.ask(Kind("small", 1, 0.15), per_s, 0.0, 6.0)
    replay.run(8.0)
    return [(call.at_s, call.answered_at_s, call.causes) for call in replay.calls]


@pytest.mark.parametrize("host_count", [1, 12])
@pytest.mark.parametrize("per_s", [60, 245, 400, 900])
def test_choice_among_equal_targets_is_that_by_load(host_count, per_s):
    """Guards against another choice among equal targets than by load."""
    for seed in (1, 2):
        assert answers(True, host_count, per_s, seed) == answers(
            False, host_count, per_s, seed
        )


def test_choice_among_equal_groups_is_that_by_load():
    """Guards against the same for groups, whose passes differ with their loads."""
    played = []
    for is_enabled in (True, False):
        skews = {"a": lambda now_s: 1.2, "b": lambda now_s: 1.2}
        replay = StreamReplay(skews, host_count=6, speeds={"is_enabled": is_enabled})
        replay.ask(StreamKind("stream", 1), 40, 0.0, 8.0)
        replay.run(12.0)
        played.append([call.answered_at_s for call in replay.calls])
    assert played[0] == played[1]


@pytest.mark.parametrize("seed", range(6))
def test_each_choice_among_equal_targets_is_that_by_load(seed):
    """Guards against any deviating choice, over loads, repeats and excluded targets."""
    chosen = []
    for is_enabled in (True, False):
        draw = random.Random(seed)
        names = [f"i-{number}" for number in range(9)]
        entries = [
            entry(one, slots=5, domain="ab"[n % 2]) for n, one in enumerate(names)
        ]
        settings = GatewaySettings(speeds=SpeedSettings(is_enabled=is_enabled))
        parts = Parts(*entries, settings=settings)
        running, picks = [], []
        for _ in range(600):
            parts.clock.advance(draw.uniform(0.001, 0.01))
            request = parts.request()
            one = parts.choice.choose(request, set(draw.sample(names, 2)))
            picks.append(getattr(one, "instance_id", None))
            if picks[-1] is not None:
                parts.loads.started(one.instance_id)
                timed = parts.load_control.started(request, one)
                due_s = parts.clock.monotonic_s() + 0.022 * draw.uniform(0.8, 1.2)
                running.append((due_s, one.instance_id, timed))
            now_s = parts.clock.monotonic_s()
            for due_s, name, timed in [one for one in running if one[0] <= now_s]:
                running.remove((due_s, name, timed))
                parts.loads.ended(name)
                timed.ended(True)
        chosen.append(picks)
    assert chosen[0] == chosen[1]


@pytest.mark.parametrize("host_count", [1, 12, 62])
@pytest.mark.parametrize(
    ("slowness", "failing", "least"),
    [
        ((typical, typical, four_times_slower), {}, 0.985),
        ((typical, typical, twelve_times_slower_for_9_s), {}, 0.95),
        ((typical, typical, slow_when_nearly_full), {}, 0.965),
        ((typical, typical, typical), {2: 0.1}, 0.985),
    ],
)
def test_requests_are_in_time_beside_a_slow_target(
    slowness, failing, least, host_count
):
    """Guards against a slow target that gets as many requests as the others.

    With the choice by load alone, up to 0.17 of the requests were late.
    """
    outcome = play("kept", slowness, CALM_PER_S, EQUAL, host_count, failing=failing)
    by_load = play("load", slowness, CALM_PER_S, EQUAL, host_count, failing=failing)
    assert outcome.in_time >= max(least, by_load.in_time - 0.005)
    assert outcome.worst_domain >= least - 0.015


def test_domain_of_a_slow_target_is_served_like_others_where_there_are_many_hosts():
    """Guards against hosts that prefer the nearest target although it is slow.

    Of the requests of hosts in its failure domain, 0.12 were late.
    """
    slowness = (typical, typical, twelve_times_slower_for_9_s)
    outcome = play("kept", slowness, CALM_PER_S, EQUAL, 62, is_crowded=True)
    by_load = play("load", slowness, CALM_PER_S, EQUAL, 62, is_crowded=True)
    assert by_load.worst_domain < 0.9
    assert outcome.worst_domain >= 0.97


def test_many_hosts_choose_among_equal_targets_by_load():
    """Guards against another choice where only near hosts report frequently."""
    shape = {"slowness": (typical,) * 3, "per_s": 368, "speeds": EQUAL}
    one, other = (
        play(method, host_count=62, is_crowded=True, to_s=6.0, **shape)
        for method in ("load", "kept")
    )
    assert str(one) == str(other)


@pytest.mark.parametrize("late_s", [1.0, 99.0])
def test_hosts_without_current_reports_find_a_slow_target_themselves(late_s):
    """Guards against dependence on peers to detect a slow target.

    With old or lost reports, 0.06 to 0.29 of the requests were late.
    """
    slowness = (typical, typical, twelve_times_slower_for_9_s)
    outcome = play("kept", slowness, CALM_PER_S, EQUAL, 12, report_delay_s=late_s)
    assert outcome.in_time >= 0.95


def test_requests_that_may_run_once_avoid_a_target_that_fails_a_tenth():
    """Guards against losing requests at a failing target whose health check passes."""
    faults = {"failing": {2: 0.1}, "request_kind": RequestKind.ONCE}
    typical_targets = (typical, typical, typical)
    for host_count in (1, 62):
        lost = [
            play(method, typical_targets, CALM_PER_S, EQUAL, host_count, **faults).lost
            for method in ("load", "kept")
        ]
        assert lost[1] <= 0.85 * lost[0]


def test_recovered_target_is_used_again():
    """Guards against a recovered target that is never used, or tried by all at once."""
    replay = SpeedReplay((typical, typical, twelve_times_slower_for_9_s), host_count=12)
    kind = Kind("small", 1, 0.15)
    replay.ask(kind, CALM_PER_S, 0.0, 20.0)
    replay.run(14.0)
    before = replay.served["i-2"]
    replay.run(20.0)
    assert replay.served["i-2"] - before >= 0.25 * CALM_PER_S * 6
    assert Outcome(replay, kind, 14.0, 19.0, EQUAL).in_time >= 0.99


def test_streams_go_to_the_group_with_shorter_passes():
    """Guards against a slow group that gets as many streams as a fast one.

    Most of its streams then had long pauses.
    """
    steady = []
    for is_enabled in (False, True):
        skews = {"a": lambda now_s: 2.2, "b": lambda now_s: 1.0}
        replay = StreamReplay(skews, host_count=6, speeds={"is_enabled": is_enabled})
        kind = StreamKind("stream", 1)
        replay.ask(kind, 40, 0.0, 15.0)
        replay.run(20.0)
        steady.append(replay.steady_count(kind, 3.0, 15.0))
    assert steady[1] >= 1.1 * steady[0]
