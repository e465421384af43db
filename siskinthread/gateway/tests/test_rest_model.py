"""Entries before targets that ask for rest, in a model with lost and late answers."""

import pytest

from siskinthread.gateway.tests.rest_model import REST_COUNT, Run, SIZES

SEEDS = range(6)


@pytest.mark.parametrize("size", SIZES[:2], ids=["2 entries", "38 entries"])
def test_targets_get_the_rest_that_they_ask_for(size):
    """A target got 20 requests of one entry in a rest that it had asked it for."""
    for seed in SEEDS:
        assert Run(size, seed).play() <= REST_COUNT, seed


def test_rest_that_one_entry_was_asked_for_spares_the_others_tries():
    """Each of 300 entries met each resting target by itself, at a caller's cost."""
    told, alone = (Run(SIZES[2], 1, tell) for tell in (True, False))
    assert max(told.play(), alone.play()) <= REST_COUNT
    assert told.try_count / told.served_count < alone.try_count / alone.served_count
    assert told.served_count / told.asked_count >= 0.97


@pytest.mark.parametrize("size", SIZES[:2], ids=["2 entries", "38 entries"])
def test_targets_that_all_rested_are_used_again(size):
    """All targets asked for rest within 0.6 s; callers were refused long after it."""
    run = Run(size, 1, asks_s=0.6, resting_share=1.0)
    assert run.play() <= REST_COUNT
    # Rests end by 3.6 s of 9 s.
    assert run.served_count / run.asked_count >= 0.55
