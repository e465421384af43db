"""Tests of timeouts and attempts of orders, without a network and real time."""

import pytest

from siskinthread.group_maps import GroupMapSettings
from siskinthread.group_maps._order_timing import (
    AttemptSchedule,
    OrderTimeouts,
    ResponseEstimate,
)
from siskinthread.group_maps._repeats import AttemptCounts, retry_allowance_s

SETTINGS = GroupMapSettings()
MAX_ATTEMPTS = 20
TOTAL_S = 1.2


def waits_of(timeout_s, ends_at_once=False, settings=SETTINGS):
    """Return the timeouts of all attempts of an order that is never answered."""
    schedule = AttemptSchedule(settings)
    waits_s = []
    while (wait_s := schedule.next_wait_s(timeout_s)) is not None:
        waits_s.append(wait_s)
        if ends_at_once:
            schedule.failed_early(wait_s)
    return waits_s


def timeouts_after(rank_responses_s, extra_s=0.0):
    """Return the timeouts after responses of rank 0."""
    timeouts = OrderTimeouts(SETTINGS)
    for response_s in rank_responses_s:
        timeouts.note_order(0, response_s, extra_s)
    return timeouts


@pytest.mark.parametrize("timeout_s", [0.001, 0.03, 0.05, 0.07, 0.1])
def test_rank_that_never_responds_gets_few_tries_in_the_same_time(timeout_s):
    """Guards against a short timeout that floods a dead rank, or gives up early."""
    waits_s = waits_of(timeout_s)
    assert len(waits_s) <= MAX_ATTEMPTS
    assert sum(waits_s) == pytest.approx(TOTAL_S, abs=timeout_s / 2)
    assert min(waits_s) == pytest.approx(timeout_s)


def test_refused_connections_count_as_long_tries():
    """Guards against more orders to an ended process than to a silent one."""
    assert len(waits_of(0.03, ends_at_once=True)) == SETTINGS.order_tries


def test_half_of_the_tries_are_quick():
    """With half of the orders unanswered, 999 of 1,000 are answered by then."""
    waits_s = waits_of(0.03)
    assert waits_s[:10] == [0.03] * 10
    assert min(waits_s[10:]) > 0.06


def test_timeout_is_the_longest_until_a_response_was_measured():
    """Guards against retries to ranks that are farther away than assumed."""
    assert OrderTimeouts(SETTINGS).first_s(0) == SETTINGS.order_wait_s


def test_timeout_follows_a_rank_that_becomes_slow():
    """A rank that is 12 times slower gets each order once after a few responses."""
    timeouts = timeouts_after([0.005] * 50)
    assert timeouts.first_s(0) == SETTINGS.least_order_wait_s
    for _ in range(3):
        timeouts.note_order(0, 0.06, 0.0)
    assert timeouts.first_s(0) > 0.06
    # Other ranks keep their own timeout.
    timeouts.note_order(1, 0.005, 0.0)
    assert timeouts.first_s(1) == SETTINGS.least_order_wait_s


def test_connection_of_a_repeated_try_gets_its_round_trip():
    """Guards against retries to a distant rank that all time out too early."""
    timeouts = timeouts_after([0.028] * 50)
    assert timeouts.first_s(0) >= 2 * 0.027
    assert timeouts.retry_s(0) >= 3 * 0.027


def test_time_of_sending_large_orders_is_no_response_time():
    """Guards against long timeouts after a map went to 96 ranks over a slow link.

    Responses that are later than sending explains must still raise the timeout.
    """
    timeouts = timeouts_after([0.01] * 20)
    before_s = timeouts.first_s(0)
    timeouts.note_order(0, 1.0, 1.1)
    assert timeouts.first_s(0) == before_s
    timeouts.note_order(0, 1.18, 1.1)
    assert timeouts.first_s(0) > before_s


def test_reports_stand_in_only_until_orders_were_answered():
    """Guards against timeouts from fast reports where orders take longer."""
    timeouts = OrderTimeouts(SETTINGS)
    timeouts.note_query(0, "report", 0.002)
    assert timeouts.first_s(0) == SETTINGS.least_order_wait_s
    timeouts.note_order(0, 0.04, 0.0)
    assert timeouts.first_s(1) > 0.04


def test_rank_without_any_response_is_waited_for_longest():
    """Guards against timeouts that stay too short for a rank that became slow."""
    timeouts = timeouts_after([0.005] * 50)
    timeouts.note_unresponsive(0)
    assert timeouts.first_s(0) == SETTINGS.order_wait_s
    timeouts.note_order(0, 0.08, 0.0)
    assert timeouts.first_s(0) < SETTINGS.order_wait_s


def test_estimate_is_that_of_the_standard():
    """The first two samples give the results of RFC 6298."""
    estimate = ResponseEstimate()
    estimate.note(0.1)
    assert estimate.timeout_s() == pytest.approx(0.1 + 4 * 0.05)
    estimate.note(0.2)
    assert estimate.timeout_s() == pytest.approx(0.1125 + 4 * 0.0625)


def test_wait_is_fixed_where_both_limits_are_the_same():
    """With equal limits, measured timeouts are disabled."""
    fixed = GroupMapSettings(least_order_wait_s=0.1)
    timeouts = OrderTimeouts(fixed)
    timeouts.note_order(0, 0.001, 0.0)
    waits_s = waits_of(timeouts.retry_s(0), settings=fixed)
    assert waits_s == pytest.approx([0.1] * fixed.order_tries)


def test_no_time_is_allowed_for_repeats_while_all_tries_are_answered():
    """Guards against unneeded delay of changes in a group without faults."""
    counts = AttemptCounts(sent=40)
    assert counts.unanswered_share(AttemptCounts()) == 0.0
    assert retry_allowance_s(96, 0.0, 0.03) == 0.0


def test_time_for_repeats_grows_with_ranks_and_with_lost_orders():
    """The held pass has to wait for the rank that loses most orders."""
    few, many = retry_allowance_s(15, 0.5, 0.03), retry_allowance_s(96, 0.5, 0.03)
    assert 0.15 < few < many < 0.6
    assert retry_allowance_s(15, 0.1, 0.03) < few
    assert retry_allowance_s(96, 1.0, 0.03) < 2.0
