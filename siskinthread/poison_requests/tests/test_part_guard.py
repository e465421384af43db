"""Which requests with suspected prompt parts are sent, and which are blocked."""

import os
import random

import curio
import pytest

from siskinthread.poison_requests import PoisonSettings
from siskinthread.poison_requests.tests.part_fleet import (
    CRASHING,
    FIRST,
    PartFleet,
    PartHost,
    SERVICE,
)
from siskinthread.timing import ManualClock

SETTINGS = PoisonSettings()
OTHER = "p-other"
SUBJECTS = [f"p-subject-{number}" for number in range(40)]
WINDOW_S = 3.0
UNTIL_S = 25.0
# More runs: ``PART_SEEDS=1000 PART_HOSTS=38 pytest siskinthread/poison_requests``.
SEEDS_COUNT = int(os.environ.get("PART_SEEDS", "1"))
HOST_COUNTS = [int(one) for one in os.environ.get("PART_HOSTS", "2,12").split(",")]


def build():
    """Return a host and its clock."""
    clock = ManualClock()
    return PartHost(clock), clock


async def crash(host, targets, *names, gap_s=2 * SETTINGS.separate_s):
    """Let targets crash one after the other during requests with some parts."""
    for target in targets:
        host.clock.advance(gap_s)
        await host.guard.target_crashed(names, target, None)


def blocked_s(host, *names):
    """Return for how long a request with some parts is blocked; 0 if it is not.

    A request that may be sent ends at once, without a result.
    """
    admission = host.guard.admit(SERVICE, names)
    if admission.trial is not None:
        host.guard.release(admission.trial)
    until = admission.blocked_until
    return 0.0 if until is None else until.left_s()


async def crash_in_trial(host, clock, target, *names):
    """Let a target crash during a trial."""
    clock.advance(SETTINGS.trial_wait_s + SETTINGS.joint_trial_wait_s)
    trial = host.guard.admit(SERVICE, names).trial
    assert trial is not None
    await host.guard.target_crashed(names, target, trial)
    host.guard.release(trial)


def test_part_is_tried_after_two_crashes_and_blocked_after_the_third():
    """Different requests with one common part crashed server after server."""

    async def run():
        host, clock = build()
        await crash(host, ["i-1"], FIRST, CRASHING)
        assert blocked_s(host, CRASHING) == 0
        await crash(host, ["i-2"], CRASHING)
        assert blocked_s(host, CRASHING) > 0
        assert blocked_s(host, FIRST) == 0
        clock.advance(SETTINGS.trial_wait_s)
        trial = host.guard.admit(SERVICE, (CRASHING,)).trial
        # A second trial at the same time is refused.
        assert blocked_s(host, CRASHING) > 0
        host.guard.release(trial)
        await crash_in_trial(host, clock, "i-3", CRASHING)
        return blocked_s(host, CRASHING), blocked_s(host, FIRST)

    assert curio.run(run) == (pytest.approx(SETTINGS.keep_off_s), 0)


def test_part_that_is_answered_in_its_trial_is_admitted_by_every_host():
    """A harmless part that was at two crashes by chance was blocked."""

    async def run():
        host, clock = build()
        other = PartHost(clock)
        await crash(host, ["i-1", "i-2"], OTHER)
        await other.register.hear(host.register.statements(), "peer")
        assert blocked_s(other, OTHER) > 0
        clock.advance(SETTINGS.trial_wait_s)
        await host.guard.answered((OTHER,))
        await other.register.hear(host.register.statements(), "peer")
        return blocked_s(host, OTHER), blocked_s(other, OTHER)

    assert curio.run(run) == (0, 0)


def test_new_part_is_not_suspected_when_many_targets_crash_together():
    """A part without earlier requests was refused after the loss of a domain."""

    async def run():
        host, _ = build()
        await crash(host, ["i-1", "i-2", "i-3"], OTHER, gap_s=0.0)
        return blocked_s(host, OTHER)

    assert curio.run(run) == 0


@pytest.mark.parametrize(
    ("times_s", "is_blocked"),
    [
        # Many targets crash at the same time, as with the loss of a failure domain.
        ([0.0] * 8, False),
        ([0.0, 0.0, 5.0, 5.0, 10.0, 10.0], False),
        ([0.0, 1.0, 2.0, 3.0], True),
    ],
)
def test_part_that_was_answered_before_is_suspected_after_separate_incidents(
    times_s, is_blocked
):
    """A part of every request was suspected when targets crashed for other reasons."""

    async def run():
        host, clock = build()
        await host.guard.answered((OTHER,))
        started_s = clock.monotonic_s()
        for number, at_s in enumerate(times_s):
            clock.advance(started_s + at_s - clock.monotonic_s())
            await crash(host, [f"i-{number}"], OTHER, gap_s=0.0)
        return blocked_s(host, OTHER) > 0

    assert curio.run(run) is is_blocked


def test_crashes_that_another_part_explains_do_not_count():
    """Harmless parts of crashing requests were at as many crashes."""

    async def run():
        host, clock = build()
        await host.guard.answered((FIRST,))
        for number in range(6):
            clock.advance(1.0)
            await crash(host, [f"i-{number}"], FIRST, CRASHING)
        return blocked_s(host, FIRST), blocked_s(host, FIRST, CRASHING) > 0

    assert curio.run(run) == (0, True)


def test_part_tried_together_with_the_crashing_one_is_then_tried_alone():
    """A harmless part was blocked for minutes after a trial with the crashing part."""

    async def run():
        host, clock = build()
        await crash(host, ["i-1", "i-2"], OTHER, CRASHING)
        await crash_in_trial(host, clock, "i-3", OTHER, CRASHING)
        both_s = blocked_s(host, OTHER, CRASHING)
        clock.advance(SETTINGS.trial_wait_s)
        assert host.guard.admit(SERVICE, (OTHER,)).trial is not None
        await host.guard.answered((OTHER,))
        return both_s, blocked_s(host, OTHER), blocked_s(host, CRASHING, OTHER)

    both_s, other_s, crashing_s = curio.run(run)
    assert both_s == pytest.approx(SETTINGS.keep_off_s)
    assert other_s == 0
    assert crashing_s > SETTINGS.keep_off_s / 2


def test_part_in_most_requests_does_not_stop_its_service():
    """A part of all requests was blocked, and with it the whole route."""

    async def run():
        host, clock = build()
        await host.guard.answered((FIRST,))
        for _ in range(20):
            host.guard.note_asked(SERVICE, (FIRST, OTHER))
        for number in range(6):
            clock.advance(1.0)
            await crash(host, [f"i-{number}"], FIRST)
        return blocked_s(host, FIRST)

    assert curio.run(run) == 0


def test_prompt_with_many_parts_is_recorded_within_bounds():
    """A prompt with 500 parts evicted everything that was known."""

    async def run():
        host, _ = build()
        await crash(host, ["i-0"], CRASHING)
        names = [f"p-{number}" for number in range(500)]
        await crash(host, ["i-1"], *names, CRASHING)
        return len(host.register.suspected_parts()), blocked_s(host, CRASHING) > 0

    assert curio.run(run) == (SETTINGS.candidate_limit, True)


def harmless_request(drawn):
    """Return the parts of a harmless request."""
    return FIRST, drawn.choice(SUBJECTS)


def crashing_request(drawn):
    """Return the parts of a request that crashes its target."""
    return FIRST, CRASHING


def play(seed, host_count, **fields):
    """Simulate ten crashing and forty harmless requests a second."""

    async def run():
        fleet = PartFleet(random.Random(seed), host_count, 16, **fields)
        fleet.request_each(0.025, 0.0, UNTIL_S, harmless_request)
        fleet.request_each(0.1, 5.0, UNTIL_S, crashing_request)
        await fleet.run(UNTIL_S)
        return fleet

    return curio.run(run)


@pytest.mark.parametrize("host_count", HOST_COUNTS)
def test_few_targets_crash_despite_late_and_lost_reports(host_count):
    """Requests with a crashing part reached targets long after the first crashes."""
    delayed = {"report_delay_s": (0.005, 0.5), "lost_share": 0.2}
    for seed in range(SEEDS_COUNT):
        for is_delayed in (False, True):
            fleet = play(seed, host_count, **(delayed if is_delayed else {}))
            crash_times_s = fleet.crash_times_s
            fifth_crash_s = crash_times_s[min(4, len(crash_times_s) - 1)]
            late = [one for one in fleet.reached_at_s if one > fifth_crash_s + WINDOW_S]
            assert len(late) <= 3, (seed, is_delayed)
            if not is_delayed:
                assert len(crash_times_s) <= 6, seed
            refused = [
                one for one in fleet.refused if one > fifth_crash_s + 2 * WINDOW_S
            ]
            assert len(refused) <= 0.05 * len(fleet.answered), (seed, is_delayed)


@pytest.mark.parametrize("host_count", HOST_COUNTS)
def test_harmless_requests_are_served_while_targets_crash_for_other_reasons(host_count):
    """Harmless requests were refused while many targets crashed for other reasons."""

    async def run(seed):
        drawn = random.Random(seed)
        fleet = PartFleet(drawn, host_count, 16)
        fleet.request_each(0.025, 0.0, UNTIL_S, harmless_request)
        for at_s in (8.0, 12.0, 12.0, 17.0):
            for number in drawn.sample(range(16), 4):
                fleet.at(at_s, fleet.crash_target, number)
        await fleet.run(UNTIL_S)
        return len(fleet.refused)

    assert [curio.run(run, seed) for seed in range(SEEDS_COUNT)] == [0] * SEEDS_COUNT
