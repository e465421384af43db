"""Tests of how many experts one change copies."""

import math

from siskinthread.group_maps import (
    choose_plan,
    ExpertLayout,
    GroupMapSettings,
    PassModel,
    Plan,
)

SETTINGS = GroupMapSettings()
MODEL = PassModel(0.85, fixed_s=0.02, request_s=0.007)
# With a limit of 0.12 s, passes are short up to 0.066 s and in time up to 0.096 s.
PASS_LIMIT_S = 0.12


def layout(copy_s, pass_limit_s=PASS_LIMIT_S):
    """Return a layout with a time to copy an expert."""
    return ExpertLayout(3, 96, 11, 4, MODEL, copy_s, 0.2, pass_limit_s)


def plans(before, *after):
    """Return plans of one, two, ... copies."""
    return [
        Plan(None, copies, before, time_after)
        for copies, time_after in enumerate(after, start=1)
    ]


def chosen_copies(of_plans, even_pass_s, of_layout):
    """Return the copies of the chosen plan, 0 without a plan."""
    plan = choose_plan(of_plans, even_pass_s, of_layout, SETTINGS)
    return 0 if plan is None else plan.copies


def test_smallest_change_that_brings_streams_in_time_is_chosen():
    """Guards against a change that takes 1.2 s where 0.4 s would be enough.

    An expert takes 0.4 s to copy; one expert per rank shortens passes from 0.125 s to
    0.07 s, and three to 0.055 s.
    """
    assert chosen_copies(plans(2.5, 1.4, 1.2, 1.1), 0.05, layout(0.4)) == 1


def test_more_is_copied_if_one_expert_does_not_bring_streams_in_time():
    """Passes of 0.11 s after one copy would still be late if prompts come between."""
    assert chosen_copies(plans(2.5, 2.2, 1.8, 1.7), 0.05, layout(0.01)) == 2


def test_what_gains_most_by_the_second_is_chosen_if_nothing_is_enough():
    """With slow copies the smallest change comes first, otherwise the largest."""
    none_is_enough = plans(3.0, 2.6, 2.4, 2.2)
    assert chosen_copies(none_is_enough, 0.06, layout(2.0)) == 1
    assert chosen_copies(none_is_enough, 0.06, layout(0.001)) == 3


def test_nothing_is_copied_while_streams_are_in_time():
    """Copies of large experts are only a cost if they bring no stream in time."""
    assert chosen_copies(plans(1.25, 1.05), 0.05, layout(0.4)) == 0
    assert chosen_copies(plans(1.25, 1.05), 0.05, layout(0.4, math.inf)) == 0


def test_strong_skew_is_taken_away_before_load_comes():
    """Passes that are short because of few requests would be long with more."""
    assert chosen_copies(plans(3.0, 1.4), 0.02, layout(0.4)) == 1


def test_without_any_step_there_is_no_plan():
    """Without plans, nothing is chosen."""
    assert chosen_copies([], 0.1, layout(0.4)) == 0
