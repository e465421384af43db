"""Plans that seeds bring."""

from scripts.soak._faults import _WAYS
from scripts.soak._plan import (
    BACKOFF_KIND,
    draw_plan,
    FAULT_KINDS,
    LEAVING_KIND,
    RESTORE_KIND,
)


def test_seed_brings_the_same_plan_each_time():
    """A seed that failed can be run again."""
    first, again = (draw_plan(7, 12.0, 3, 4) for _ in range(2))
    assert [str(fault) for fault in first] == [str(fault) for fault in again]
    assert str(first[0]) != str(draw_plan(8, 12.0, 3, 4)[0])


def test_all_faults_end_in_time():
    """What lasts longer would disturb the recovery that is judged."""
    for seed in range(50):
        for fault in draw_plan(seed, 12.0, 3, 4):
            assert 0 <= fault.at_s <= fault.at_s + fault.for_s <= 12.0 + 1e-9


def test_every_kind_of_fault_can_be_carried_out():
    """Plans name no fault that is not there."""
    assert set(FAULT_KINDS) == set(_WAYS)


def test_some_seeds_bring_a_store_that_comes_back_older():
    """Beside all other faults, so that it overlaps with them."""
    counts = [
        sum(fault.kind == RESTORE_KIND for fault in draw_plan(seed, 12.0, 3, 4))
        for seed in range(50)
    ]
    assert {0, 1, 2} == set(counts)


def test_some_seeds_bring_servers_that_rest_or_say_that_they_leave():
    """Beside all other faults, and overlapping with limits."""
    plans = [draw_plan(seed, 12.0, 3, 4) for seed in range(50)]
    for kind, most in ((BACKOFF_KIND, 4), (LEAVING_KIND, 2)):
        counts = [sum(fault.kind == kind for fault in plan) for plan in plans]
        assert set(counts) == set(range(most + 1))
