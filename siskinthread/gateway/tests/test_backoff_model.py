"""Hosts whose targets request back-off, in a simulation with lost answers."""

import pytest

from siskinthread.gateway.tests.backoff_model import BACKOFF_COUNT, Run, SIZES

SEEDS = range(6)


@pytest.mark.parametrize("size", SIZES[:2], ids=["2 entries", "38 entries"])
def test_targets_get_the_backoff_that_they_request(size):
    """A target got 20 requests from one host during a back-off requested of it."""
    for seed in SEEDS:
        assert Run(size, seed).run() <= BACKOFF_COUNT, seed


def test_shared_backoffs_save_attempts_of_other_hosts():
    """Without exchange of back-offs, 300 hosts each spend attempts on every target."""
    shared, isolated = (
        Run(SIZES[2], 1, shares_backoffs) for shares_backoffs in (True, False)
    )
    assert max(shared.run(), isolated.run()) <= BACKOFF_COUNT
    assert (
        shared.try_count / shared.served_count
        < isolated.try_count / isolated.served_count
    )
    assert shared.served_count / shared.asked_count >= 0.97


@pytest.mark.parametrize("size", SIZES[:2], ids=["2 entries", "38 entries"])
def test_targets_that_were_all_backed_off_are_used_again(size):
    """Callers were refused long after a back-off of all targets had ended."""
    run = Run(size, 1, backoff_until_s=0.6, backoff_share=1.0)
    assert run.run() <= BACKOFF_COUNT
    # All back-offs end after 3.6 s of 9 s.
    assert run.served_count / run.asked_count >= 0.55
