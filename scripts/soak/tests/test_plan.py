"""Plans drawn from seeds."""

import hashlib

from scripts.soak._faults import _INJECTIONS
from scripts.soak._plan import (
    BACKOFF_KIND,
    COLD_FROM_SEED,
    COLD_KIND,
    draw_plan,
    EVACUATION_KIND,
    FAULT_KINDS,
    has_cold_servers,
    LEAVING_KIND,
    RESTORE_KIND,
)

# Digest of the faults of seeds 0 to 999 without the kinds that were added later.
EARLIER_PLANS = "f079cc6c9f98b3f077aaafaedb1046af35731181e7287223c2f0cf0e06efb77b"


def test_seed_brings_the_same_plan_each_time():
    """Guards against plans that differ between runs of the same seed."""
    first, again = (draw_plan(7, 12.0, 3, 4) for _ in range(2))
    assert [str(fault) for fault in first] == [str(fault) for fault in again]
    assert str(first[0]) != str(draw_plan(8, 12.0, 3, 4)[0])


def test_all_faults_end_in_time():
    """Guards against faults that last into the period in which recovery is judged."""
    for seed in [*range(50), *range(COLD_FROM_SEED, COLD_FROM_SEED + 50)]:
        for fault in draw_plan(seed, 12.0, 3, 4):
            assert 0 <= fault.at_s <= fault.at_s + fault.for_s <= 12.0 + 1e-9


def test_every_kind_of_fault_can_be_carried_out():
    """Every kind of fault has an implementation, and the reverse."""
    assert set(FAULT_KINDS) == set(_INJECTIONS)


def test_some_seeds_bring_a_store_that_comes_back_older():
    """Restores are drawn in addition to other faults, so that they overlap."""
    counts = [
        sum(fault.kind == RESTORE_KIND for fault in draw_plan(seed, 12.0, 3, 4))
        for seed in range(50)
    ]
    assert {0, 1, 2} == set(counts)


def test_some_seeds_bring_servers_that_rest_or_say_that_they_leave():
    """Both kinds are drawn in addition to other faults, and overlap with limits."""
    plans = [draw_plan(seed, 12.0, 3, 4) for seed in range(50)]
    for kind, most in ((BACKOFF_KIND, 4), (LEAVING_KIND, 2)):
        counts = [sum(fault.kind == kind for fault in plan) for plan in plans]
        assert set(counts) == set(range(most + 1))


def test_earlier_seeds_bring_what_they_always_brought():
    """Guards against a new kind of fault that changes the plan of a failed seed."""
    digest = hashlib.sha256()
    for seed in range(COLD_FROM_SEED):
        for fault in draw_plan(seed, 12.0, 3, 4):
            digest.update(f"{seed} {fault} {fault.seed}\n".encode())
    assert digest.hexdigest() == EARLIER_PLANS
    assert not has_cold_servers(COLD_FROM_SEED - 1)


def test_later_seeds_bring_evacuations_and_servers_that_turn_cold():
    """Both are drawn in addition to other faults, in spans long enough to judge."""
    plans = [
        draw_plan(seed, 12.0, 3, 4)
        for seed in range(COLD_FROM_SEED, COLD_FROM_SEED + 50)
    ]
    for kind in (EVACUATION_KIND, COLD_KIND):
        counts = [sum(fault.kind == kind for fault in plan) for plan in plans]
        assert set(counts) == {0, 1, 2}
    evacuations = [
        fault for plan in plans for fault in plan if fault.kind == EVACUATION_KIND
    ]
    assert min(fault.for_s for fault in evacuations) >= 8.0
