"""Tests when refused callers retry, and how retries are recognised."""

import random
from collections import Counter

import pytest

from siskinthread.load_control import RetryDetector, RetrySchedule, ReturnSettings
from siskinthread.timing import ManualClock

# The whole rate is promised, so a step of 0.1 s at 20 per second has two slots.
SETTINGS = ReturnSettings(booked_share=1.0)
RATE_PER_S = 20.0


def make_schedule(clock=None):
    """Return an empty schedule."""
    return RetrySchedule(SETTINGS, clock or ManualClock())


@pytest.mark.parametrize(
    ("left_s", "is_return"),
    [
        (8.0, False),
        # An immediate retry.
        (7.99, False),
        # After a third of the remaining time, without and with a prior wait of 1.5 s.
        (5.5, True),
        (4.5, True),
        # Shorter than any remaining time of its route.
        (3.0, False),
    ],
)
def test_retry_is_recognised_by_its_remaining_time(left_s, is_return):
    """Guards against wrong precedence of retries.

    An immediate retry must gain none, and a retry at the time told must have it.
    """
    detector = RetryDetector(SETTINGS, ManualClock())
    assert not detector.note("r", 8.0)
    detector.note_told(2.5)
    assert detector.note("r", left_s) is is_return
    assert not detector.note("other", left_s)


def test_first_attempts_with_different_times_are_no_retries():
    """Guards against first attempts that count as retries and wait beside free slots.

    Callers of a route have 7 s to 8.1 s at first; compared with the longest time alone,
    two thirds of them, those with less than 7.94 s, counted as retries.
    """
    drawn = random.Random(4)
    detector = RetryDetector(SETTINGS, ManualClock())
    first_s = [drawn.uniform(7.0, 8.1) for _ in range(200)]
    assert not any(detector.note("r", left_s) for left_s in first_s)
    detector.note_told(2.5)
    assert sum(detector.note("r", left_s) for left_s in first_s) <= 0.05 * 200
    assert all(detector.note("r", left_s - 2.3) for left_s in first_s)


def test_no_request_is_a_retry_while_none_is_due():
    """Guards against counting short time limits as retries while no retry is due."""
    clock = ManualClock()
    detector = RetryDetector(SETTINGS, clock)
    detector.note("r", 8.0)
    assert not detector.note("r", 5.0)
    detector.note_told(2.0)
    clock.advance(2.0 + SETTINGS.late_s + 0.01)
    assert not detector.note("r", 5.0)


def test_shorter_time_limits_of_a_route_are_learned():
    """Guards against counting all requests as retries once deadlines are shorter."""
    clock = ManualClock()
    detector = RetryDetector(SETTINGS, clock)
    detector.note("r", 8.0)
    detector.note_told(2.5)
    assert detector.note("r", 6.0)
    for _ in range(2):
        clock.advance(SETTINGS.most_memory_s)
        detector.note("r", 6.0)
    detector.note_told(2.5)
    assert not detector.note("r", 5.95)
    # The same if callers are told to retry throughout.
    detector = RetryDetector(SETTINGS, clock)
    detector.note("r", 8.0)
    detector.note_told(SETTINGS.newcomer_memory_s + 1.0)
    clock.advance(SETTINGS.newcomer_memory_s + 0.01)
    assert not detector.note("r", 6.0)


def test_retries_are_spread_over_steps():
    """Guards against 40 callers that are refused together and retry together."""
    schedule = make_schedule()
    scheduled = [schedule.book(0, 0.5, 2.5, RATE_PER_S) for _ in range(40)]
    assert all(0.4 <= each.begin_s <= 2.5 for each in scheduled)
    assert max(Counter(round(each.begin_s, 2) for each in scheduled).values()) == 2
    beyond = [schedule.book(0, 0.5, 2.5, RATE_PER_S) for _ in range(10)]
    assert beyond[-1] is None
    # A caller without a promise takes no slot.
    assert schedule.booked_count() == 40 + sum(each is not None for each in beyond)


def test_fractional_slots_are_shared_by_several_steps():
    """Guards against promising two retries per second at ten per second.

    A fractional slot in each step would be rounded up to one.
    """
    schedule = make_schedule()
    scheduled = [schedule.book(0, 0.0, 4.0, 2.0).begin_s for _ in range(5)]
    assert scheduled == pytest.approx([0.0, 0.5, 1.0, 1.5, 2.0])


def test_urgent_callers_retry_first():
    """Guards against less urgent callers that fill the steps of urgent ones."""
    schedule = make_schedule()
    for _ in range(50):
        schedule.book(2, 0.0, 2.5, RATE_PER_S)
    assert schedule.book(0, 0.0, 2.5, RATE_PER_S).begin_s == 0.0
    assert schedule.book(2, 0.0, 2.5, RATE_PER_S).begin_s == pytest.approx(2.5)


def test_first_attempts_leave_the_slots_of_due_retries():
    """Guards against first attempts in slots that are promised to retries."""
    clock = ManualClock()
    schedule = make_schedule(clock)
    for _ in range(4):
        schedule.book(1, 0.0, 0.05, 2 * RATE_PER_S)
    assert not schedule.leaves_room(1, 3.0, 0.0, 0.2)
    assert schedule.leaves_room(1, 5.0, 0.0, 0.2)
    assert schedule.leaves_room(1, 3.0, 25.0, 0.2)
    assert schedule.leaves_room(0, 1.0, 0.0, 0.2)
    for _ in range(4):
        schedule.note_came(1)
    assert schedule.leaves_room(1, 1.0, 0.0, 0.2)


def test_callers_that_do_not_retry_get_fewer_slots():
    """Guards against idle slots for callers that have retried at once."""
    clock = ManualClock()
    schedule = make_schedule(clock)
    for _ in range(100):
        schedule.book(1, 0.0, 0.05, RATE_PER_S)
        clock.advance(0.6)
        schedule.due_count(1, 0.1)
    clock.advance(SETTINGS.promise_memory_s)
    schedule.book(1, 0.0, 0.05, RATE_PER_S)
    assert schedule.kept_share == SETTINGS.kept_least_share
    assert schedule.broken_count == 100
    assert schedule.due_count(1, 0.1) == SETTINGS.kept_least_share


def test_promise_is_used_once():
    """Guards against retries that take more slots than were promised."""
    clock = ManualClock()
    settings = ReturnSettings(booked_share=1.0, overdraft_limit=0)
    schedule = RetrySchedule(settings, clock)
    assert not schedule.note_came(1)
    for _ in range(2):
        assert schedule.book(1, 1.0, 1.05, RATE_PER_S) is not None
    # Nothing is due long before the promised time, or for another priority.
    assert not schedule.note_came(1)
    clock.advance(1.05)
    assert not schedule.note_came(0)
    assert [schedule.note_came(1) for _ in range(3)] == [True, True, False]
    assert schedule.broken_count == 0


def test_retry_with_a_promise_of_another_host():
    """Guards against refusing retries with a promise from another host.

    Callers choose hosts at random. A host accepts some retries beyond its promises, and
    again as many only after its own promises would have expired.
    """
    clock = ManualClock()
    schedule = make_schedule(clock)
    limit = SETTINGS.overdraft_limit
    assert [schedule.note_came(1) for _ in range(limit + 1)] == [True] * limit + [False]
    clock.advance(SETTINGS.promise_memory_s + 0.01)
    assert schedule.note_came(1)


def test_slots_that_requests_in_time_need_are_not_promised():
    """Guards against promised slots that make requests late which are in time."""
    settings = ReturnSettings(booked_share=0.25, booked_least_share=0.05)
    for in_time_per_s, expected in ((0.0, 25), (90.0, 10), (200.0, 5)):
        schedule = RetrySchedule(settings, ManualClock())
        scheduled = [
            schedule.book(1, 0.0, 0.95, 100.0, in_time_per_s) for _ in range(50)
        ]
        count = sum(each is not None for each in scheduled)
        assert 0.8 * expected <= count <= expected + 1


def test_retries_with_and_without_a_promise_are_distinguished():
    """Guards against retries at the latest time that use up promises of others.

    A request takes up to 50 ms to the host, and its response up to 10 ms.
    """
    detector = RetryDetector(SETTINGS, ManualClock())
    detector.note("r", 8.0)
    latest_s = 0.31 * 8.0
    promised_s = detector.promise_limit_s("r", 8.0, latest_s)
    assert promised_s == pytest.approx(0.9 * latest_s)
    assert detector.may_have_promise("r", 8.0 - promised_s - 0.06, 0.31)
    assert not detector.may_have_promise("r", 8.0 - latest_s, 0.31)
    # A request that has waited for 1.5 s of its time may only be promised a slot if its
    # retry has as much time left.
    promised_s = detector.promise_limit_s("r", 6.5, 0.31 * 6.5)
    assert detector.may_have_promise("r", 6.5 - promised_s - 0.06, 0.31)
