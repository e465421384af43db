"""Entries before targets that request back-off, in a model with lost answers."""

import pytest

from siskinthread.gateway.tests.backoff_model import BACKOFF_COUNT, Run, SIZES

SEEDS = range(6)


@pytest.mark.parametrize("size", SIZES[:2], ids=["2 entries", "38 entries"])
def test_targets_get_the_backoff_that_they_request(size):
    """A target got 20 requests of one entry in a back-off that it had asked it for."""
    for seed in SEEDS:
        assert Run(size, seed).play() <= BACKOFF_COUNT, seed


def test_backoff_requested_of_one_entry_spares_the_others_tries():
    """Each of 300 entries met each backed-off target by itself, at a caller's cost."""
    told, alone = (Run(SIZES[2], 1, tell) for tell in (True, False))
    assert max(told.play(), alone.play()) <= BACKOFF_COUNT
    assert told.try_count / told.served_count < alone.try_count / alone.served_count
    assert told.served_count / told.asked_count >= 0.97


@pytest.mark.parametrize("size", SIZES[:2], ids=["2 entries", "38 entries"])
def test_targets_that_were_all_backed_off_are_used_again(size):
    """All targets requested back-off at once; callers were refused long after it."""
    run = Run(size, 1, asks_s=0.6, backoff_share=1.0)
    assert run.play() <= BACKOFF_COUNT
    # Back-offs end by 3.6 s of 9 s.
    assert run.served_count / run.asked_count >= 0.55
