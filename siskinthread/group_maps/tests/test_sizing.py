"""How much one change copies."""

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
# Limits of 0.12 s for a pass: short up to 0.066 s, in time up to 0.096 s.
PASS_LIMIT_S = 0.12


def layout(copy_s, pass_limit_s=PASS_LIMIT_S):
    """Return a layout whose experts take some time to copy."""
    return ExpertLayout(3, 96, 11, 4, MODEL, copy_s, 0.2, pass_limit_s)


def plans(before, *after):
    """Return plans of one, two, ... copies."""
    return [
        Plan(None, copies, before, time_after)
        for copies, time_after in enumerate(after, start=1)
    ]


def chosen_copies(of_plans, even_pass_s, of_layout):
    """Return the copies of the chosen plan, 0 if there is none."""
    plan = choose_plan(of_plans, even_pass_s, of_layout, SETTINGS)
    return 0 if plan is None else plan.copies


def test_smallest_change_that_brings_streams_in_time_is_chosen():
    """Symptom: a change is in force 1.2 s after a shift where 0.4 s would have done.

    Events: an expert takes 0.4 s to copy; one a rank shortens passes from 0.125 s to
    0.07 s, three a rank to 0.055 s.
    """
    assert chosen_copies(plans(2.5, 1.4, 1.2, 1.1), 0.05, layout(0.4)) == 1


def test_more_is_copied_if_one_expert_does_not_bring_streams_in_time():
    """Passes of 0.11 s after one copy would still be late with a prompt between."""
    assert chosen_copies(plans(2.5, 2.2, 1.8, 1.7), 0.05, layout(0.01)) == 2


def test_what_gains_most_by_the_second_is_chosen_if_nothing_is_enough():
    """With experts that copy slowly the small step comes first, else the large one."""
    none_is_enough = plans(3.0, 2.6, 2.4, 2.2)
    assert chosen_copies(none_is_enough, 0.06, layout(2.0)) == 1
    assert chosen_copies(none_is_enough, 0.06, layout(0.001)) == 3


def test_nothing_is_copied_while_streams_are_in_time():
    """Copies of large experts that put no stream in time only cost."""
    assert chosen_copies(plans(1.25, 1.05), 0.05, layout(0.4)) == 0
    assert chosen_copies(plans(1.25, 1.05), 0.05, layout(0.4, math.inf)) == 0


def test_strong_skew_is_taken_away_before_load_comes():
    """Passes that are short for want of requests would be long with them."""
    assert chosen_copies(plans(3.0, 1.4), 0.02, layout(0.4)) == 1


def test_without_any_step_there_is_no_plan():
    """Even demand leaves nothing to do."""
    assert chosen_copies([], 0.1, layout(0.4)) == 0
