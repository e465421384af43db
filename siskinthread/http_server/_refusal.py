"""Refusals of requests before any target is called."""

from siskinthread.outcomes import End, Outcome, Reason

STATUS_BY_REASON = {
    Reason.UNAUTHENTICATED: 401,
    Reason.NO_SUCH_SERVICE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.KEY_REUSED: 400,
    Reason.LIMITED: 429,
}
STATUS_BY_OUTCOME = {
    Outcome.REFUSED_NOT_RUN: 503,
    Outcome.FAILED_RAN: 502,
    Outcome.UNKNOWN: 504,
}


class Refusal:
    """A refusal of a request, and the HTTP response that reports it.

    Parameters
    ----------
    end : siskinthread.outcomes.End
        Outcome, reason and message.
    status : int
        HTTP status.
    headers : list of tuple of str
        Additional headers of the response.
    closes : bool
        Whether the connection is closed after the response.
    """

    __slots__ = ("closes", "end", "headers", "status")

    def __init__(self, end, status, headers=(), closes=False):
        self.end = end
        self.status = status
        self.headers = list(headers)
        self.closes = closes


def status_of(end):
    """Return the HTTP status for an `End` that is not ``ANSWERED``."""
    if end.outcome is Outcome.REFUSED_NOT_RUN:
        return STATUS_BY_REASON.get(end.reason, 503)
    return STATUS_BY_OUTCOME.get(end.outcome, 502)


def refuse(reason, message, status=None, headers=(), closes=False, retry_after_s=None):
    """Return the ``REFUSED_NOT_RUN`` `Refusal` of a request that was never run."""
    end = End(
        Outcome.REFUSED_NOT_RUN, reason, message=message, retry_after_s=retry_after_s
    )
    return Refusal(end, status or status_of(end), headers, closes)


def bad_request(message, status=400, headers=(), closes=False):
    """Return the `Refusal` of a malformed or unsupported request."""
    return refuse(Reason.BAD_REQUEST, message, status, headers, closes)
