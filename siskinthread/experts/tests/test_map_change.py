"""Tests of map changes under enumerated faults."""

import pytest

from siskinthread.experts.tests._explorer import (
    change_with_successor,
    change_without_successor,
    explore,
)

FAULT_LIMIT = 2
# The full enumeration, two faults at every pause, takes 40 s: make explore.
PAUSES_AND_FAULTS = [(-1, 1), (1, 1), (2, 1), (3, 2), (4, 1)]


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize(("pause_after", "fault_limit"), PAUSES_AND_FAULTS)
def test_no_step_on_mixed_maps_and_no_hold_for_ever(
    checks_fencing, pause_after, fault_limit
):
    """Under any faults, maps never mix and a later controller releases the group.

    Guards against a step in which ranks use different maps, and a group that never
    steps again.  A controller pauses after any broadcast and resumes during or after
    its successor's own change.  In addition, there is every single fault or pair of
    faults out of lost and delayed orders, lost answers, delays at the engine, replaced
    agents and expired holds.
    """
    run = change_with_successor(checks_fencing, pause_after)
    assert explore(run, fault_limit) > 50


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize("pause_after", [1, 2, 3])
def test_hold_lapses_when_the_controller_dies(checks_fencing, pause_after):
    """Guards against a group that stays held during an outage of the log.

    The controller fails after the hold, and no process can claim the group.  Unless a
    rank has switched, the holds must expire and the group must step again.
    """
    run = change_without_successor(checks_fencing, pause_after)
    assert explore(run, FAULT_LIMIT) > 50
