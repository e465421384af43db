"""The one outcome of a request that had several attempts."""

from siskinthread.errors import InvariantError
from siskinthread.outcomes import Outcome

# What is true of the whole when one attempt ended as in the first column of a row and
# a later one as in the second.  Each value is the strongest statement that holds
# whatever really happened: an attempt of unknown outcome may be running still, so that
# neither "not run" nor "failed" may be said of the whole.
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
    """Return the `End` that is true of both attempts together.

    Parameters
    ----------
    earlier : siskinthread.outcomes.End or None
        Merged end of the attempts so far; None before the first.
    latest : siskinthread.outcomes.End
        End of the attempt that came after them.

    Returns
    -------
    siskinthread.outcomes.End
        One of the two; the latest wherever both have the merged outcome.

    Raises
    ------
    InvariantError
        If a whole answer was followed by another attempt.
    """
    if earlier is None:
        return latest
    merged = _MERGED.get((earlier.outcome, latest.outcome))
    if merged is None:
        raise InvariantError(f"an attempt followed {earlier!r}")
    return latest if latest.outcome is merged else earlier
