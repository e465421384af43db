"""Tests which requests wait, until when and in which order."""

import random

import pytest

from siskinthread.load_control import (
    NoWait,
    OutageDurations,
    RouteDurations,
    Waiter,
    WaitFacts,
    WaitingSettings,
    WaitPolicy,
    WaitQueue,
)
from siskinthread.timing import Deadline, ManualClock


def facts(clock, left_s=8.0, stream=True, is_return=False, usual_s=2.0, ends_in_s=0.0):
    """Return the `WaitFacts` of a request that arrives now."""
    return WaitFacts(
        stream,
        is_return,
        clock.monotonic_s(),
        Deadline.after(clock, left_s),
        usual_s,
        ends_in_s,
    )


def decide(clock, *arguments, **values):
    """Return how long a request may wait, seconds, or why it does not."""
    decision = WaitPolicy(WaitingSettings(), clock).decide(
        facts(clock, *arguments, **values)
    )
    return decision if isinstance(decision, NoWait) else round(decision.left_s(), 3)


def test_stream_wait_ends_before_its_caller_leaves():
    """Guards against waits over 1.5 s; callers abandon a silent stream after 2 s."""
    assert decide(ManualClock()) == 1.5
    assert decide(ManualClock(), left_s=3.0) == 1.0


def test_other_requests_wait_for_a_third_of_their_time():
    """Guards against a wait that leaves the caller no time to retry."""
    assert decide(ManualClock(), left_s=1.0, stream=False, usual_s=0.2) == 0.33


def test_wait_without_benefit_is_not_started():
    """Guards against waits of requests that can't be served in time any more."""
    clock = ManualClock()
    assert decide(clock, left_s=2.0) is NoWait.TOO_LATE
    assert decide(clock, ends_in_s=6.5) is NoWait.NOT_IN_TIME
    # A retry would be refused finally.
    assert decide(clock, ends_in_s=6.5, is_return=True) == 1.5


def test_expected_rest_of_an_outage():
    """Guards against estimating that an outage of 3 s ends at once, or never."""
    clock = ManualClock()
    lengths = OutageDurations(WaitingSettings(), clock)
    began_at_s = clock.monotonic_s()
    clock.advance(0.5)
    assert lengths.expected_left_s("app", began_at_s) == 0.5
    lengths.note_ended("app", 4.0)
    assert lengths.expected_left_s("app", began_at_s) == 3.5
    clock.advance(4.5)
    assert lengths.expected_left_s("app", began_at_s) == 5.0


@pytest.mark.parametrize("seed", range(20))
def test_queue_order(seed):
    """Guards against waiting behind less urgent requests or later start times.

    The order is compared with a sorted list.
    """
    drawn = random.Random(seed)
    clock = ManualClock()
    queue = WaitQueue(WaitingSettings())
    waiters = []
    for _ in range(30):
        one = facts(clock, 2 + 6 * drawn.random(), is_return=drawn.random() < 0.3)
        waiter = Waiter("app", drawn.randrange(3), one, Deadline.after(clock, 1.5))
        queue.join(waiter)
        waiters.append(waiter)
    for waiter in drawn.sample(waiters, 10):
        queue.leave(waiter)
        waiters.remove(waiter)
    waiters.sort(
        key=lambda one: (
            one.priority,
            not one.facts.is_return,
            one.facts.latest_start_at_s,
        )
    )
    assert queue.ordered("app") == waiters
    assert len(queue) == 20
    assert queue.ahead_count("app", 0, facts(clock, 0.5, is_return=True)) == 0
    assert queue.ahead_count("app", 3, facts(clock)) == 20


def test_usual_time_follows_requests():
    """Guards against a mean duration dominated by old requests."""
    times = RouteDurations(WaitingSettings())
    assert times.usual_s("r") == 0.0
    times.note("r", 1.0)
    for _ in range(60):
        times.note("r", 3.0)
    assert 2.9 < times.usual_s("r") <= 3.0
