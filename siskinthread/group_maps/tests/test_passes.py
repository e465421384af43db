"""Estimates of the current pass of a group."""

from siskinthread.group_maps import PassEstimate
from siskinthread.group_maps._passes import DEFAULT_PASS_S, MAX_PASS_S
from siskinthread.timing import ManualClock


def estimate_after(*steps):
    """Return an estimate after reports of pass numbers, each some seconds later."""
    clock = ManualClock()
    passes = PassEstimate(clock)
    for wait_s, number in steps:
        clock.advance(wait_s)
        passes.note(number, 0.0)
    return passes, clock


def test_reports_on_either_side_of_the_end_of_a_pass_do_not_time_it():
    """Guards against a map change that waits 1.5 s for a pass that is far off.

    A group has re-formed, and two reports 0.03 s apart lie on either side of the end of
    a pass.  Passes of 0.15 s were then timed as 0.03 s, and the held pass seemed near.
    """
    passes, clock = estimate_after((0.0, 62), (0.03, 63))
    assert passes.pass_s == DEFAULT_PASS_S
    passes.expect_at_least(0.14)
    clock.advance(0.45)
    assert 63 < passes.number_now() <= 66


def test_passes_are_timed_over_a_span():
    """The estimate follows passes that become longer, also with frequent reports."""
    passes, _ = estimate_after(
        (0.0, 10), (0.1, 11), (0.1, 12), (0.1, 12), (0.1, 13), (0.1, 13)
    )
    assert 0.1 <= passes.pass_s < 0.25


def test_idle_group_does_not_seem_to_make_long_passes():
    """The first pass after a pause takes as long as any other pass."""
    passes, _ = estimate_after((0.0, 10), (0.3, 13), (2.0, 13), (0.2, 15))
    assert passes.pass_s < MAX_PASS_S / 5


def test_reformed_group_begins_with_the_usual_time():
    """Pass numbers restart, and earlier pass times no longer apply."""
    passes, _ = estimate_after((0.0, 10), (1.0, 11), (0.5, 2))
    assert passes.pass_s == DEFAULT_PASS_S
    assert passes.number_now() == 2
