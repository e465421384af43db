"""Merge the outcomes of several attempts into the outcome of the request."""

from siskinthread.errors import InvariantError
from siskinthread.outcomes import Outcome

# Outcome of the request by the merged outcome of the earlier attempts and the outcome
# of the latest.  Each value is the strongest outcome that is true in every possible
# case: an attempt of unknown outcome may still be running, so that the request can be
# reported neither as not run nor as failed.
_MERGED = {
    (Outcome.REFUSED_NOT_RUN, Outcome.REFUSED_NOT_RUN): Outcome.REFUSED_NOT_RUN,
    (Outcome.REFUSED_NOT_RUN, Outcome.FAILED_RAN): Outcome.FAILED_RAN,
    (Outcome.REFUSED_NOT_RUN, Outcome.UNKNOWN): Outcome.UNKNOWN,
    (Outcome.REFUSED_NOT_RUN, Outcome.ANSWERED): Outcome.ANSWERED,
    (Outcome.FAILED_RAN, Outcome.REFUSED_NOT_RUN): Outcome.FAILED_RAN,
    (Outcome.FAILED_RAN, Outcome.FAILED_RAN): Outcome.FAILED_RAN,
    (Outcome.FAILED_RAN, Outcome.UNKNOWN): Outcome.UNKNOWN,
    (Outcome.FAILED_RAN, Outcome.ANSWERED): Outcome.ANSWERED,
    (Outcome.UNKNOWN, Outcome.REFUSED_NOT_RUN): Outcome.UNKNOWN,
    (Outcome.UNKNOWN, Outcome.FAILED_RAN): Outcome.UNKNOWN,
    (Outcome.UNKNOWN, Outcome.UNKNOWN): Outcome.UNKNOWN,
    (Outcome.UNKNOWN, Outcome.ANSWERED): Outcome.ANSWERED,
}


def merge_ends(earlier, latest):
    """Return the `End` that holds for all attempts together.

    Parameters
    ----------
    earlier : siskinthread.outcomes.End or None
        Merged end of the earlier attempts; None before the first attempt.
    latest : siskinthread.outcomes.End
        End of the latest attempt.

    Returns
    -------
    siskinthread.outcomes.End
        One of the two arguments; `latest` if both have the merged outcome.

    Raises
    ------
    InvariantError
        If an attempt follows a complete answer.
    """
    if earlier is None:
        return latest
    merged = _MERGED.get((earlier.outcome, latest.outcome))
    if merged is None:
        raise InvariantError(f"an attempt followed {earlier!r}, which is final")
    return latest if latest.outcome is merged else earlier
