"""Tests of merged outcomes, compared with an enumeration of all possible cases."""

import itertools

import pytest

from siskinthread.dispatch._merging import merge_ends
from siskinthread.errors import InvariantError
from siskinthread.outcomes import End, Outcome, Reason

NOT_RUN = "not run"
RAN_AND_OVER = "ran and over"
RUNNING = "running"

# Possible true states of an attempt by its reported outcome.
WORLDS = {
    Outcome.REFUSED_NOT_RUN: [NOT_RUN],
    Outcome.FAILED_RAN: [RAN_AND_OVER],
    Outcome.UNKNOWN: [NOT_RUN, RAN_AND_OVER, RUNNING],
}
UNANSWERED = list(WORLDS)


def strongest_true_outcome(outcomes):
    """Return the strongest outcome that holds in every possible case.

    The reference enumerates the possible states of each attempt.
    """
    if outcomes[-1] is Outcome.ANSWERED:
        return Outcome.ANSWERED
    worlds = list(itertools.product(*(WORLDS[outcome] for outcome in outcomes)))
    if all(set(world) == {NOT_RUN} for world in worlds):
        return Outcome.REFUSED_NOT_RUN
    if all(RAN_AND_OVER in world and RUNNING not in world for world in worlds):
        return Outcome.FAILED_RAN
    return Outcome.UNKNOWN


def all_sequences():
    """Return all sequences of up to three attempts; only the last may be answered."""
    return [
        (*earlier, last)
        for earlier_count in range(3)
        for earlier in itertools.product(UNANSWERED, repeat=earlier_count)
        for last in Outcome
    ]


def merge_all(outcomes):
    """Return the `End` merged from ends of the given outcomes."""
    merged = None
    for outcome in outcomes:
        merged = merge_ends(merged, End(outcome, Reason.COMPLETE))
    return merged


def test_all_sequences_are_listed():
    """Up to three attempts make 4 + 3 * 4 + 9 * 4 sequences."""
    assert len(set(all_sequences())) == 52


@pytest.mark.parametrize("outcomes", all_sequences(), ids=str)
def test_merged_outcome_is_the_strongest_true_one(outcomes):
    """The merged outcome is the strongest one that is true in every possible case.

    Guards against reporting "refused, not run" when the first attempt got no response
    and the second was refused: the caller would repeat a request that may have run.
    The fault is to report the outcome of the last attempt as that of the request.
    """
    assert merge_all(outcomes).outcome is strongest_true_outcome(outcomes)


def test_the_end_shown_is_that_of_an_attempt_with_the_merged_outcome():
    """Reason and message come from the attempt that determines the outcome."""
    silent = End(Outcome.UNKNOWN, Reason.TARGET_SILENT)
    refused = End(Outcome.REFUSED_NOT_RUN, Reason.LEAVING)
    assert merge_ends(silent, refused) is silent
    assert merge_ends(refused, silent) is silent


def test_no_attempt_follows_an_answer():
    """An attempt after a complete answer raises `InvariantError`."""
    answered = End(Outcome.ANSWERED, Reason.COMPLETE)
    with pytest.raises(InvariantError):
        merge_ends(answered, answered)
