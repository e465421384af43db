"""Decide whether a request is retried and when its caller may retry."""

import enum

from siskinthread.outcomes import End, Outcome, Reason


class Retry(enum.Enum):
    """Where a retry may go after an attempt without an answer."""

    NO = enum.auto()
    OTHER_TARGET = enum.auto()
    HOME = enum.auto()


# Refusals that every target would repeat, now or later.
PERMANENT_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.DEADLINE_PASSED,
        Reason.KEY_REUSED,
        Reason.NO_SUCH_SERVICE,
        Reason.UNAUTHENTICATED,
    }
)
# Ends caused by the caller.
CALLER_REASONS = frozenset({Reason.CANCELLED, Reason.TOO_SLOW_READER})
# Refusals that an agent gives for an idempotency key without consulting its ledger.
NON_AUTHORITATIVE_REASONS = frozenset(
    {
        Reason.HOMES_SETTLING,
        Reason.NEVER_RECEIVED,
        Reason.NO_SUCH_SERVICE,
        Reason.NOT_READY,
        Reason.WRONG_HOME,
    }
)
# Unknown outcomes that a later retry with the same key may resolve, because the home of
# the key may still have its ledger.
RESOLVABLE_UNKNOWN_REASONS = frozenset(
    {
        Reason.AGENT_UNREACHABLE,
        Reason.HOMES_SETTLING,
        Reason.NEVER_RECEIVED,
        Reason.NO_TARGET,
        Reason.NOT_READY,
        Reason.TARGET_SILENT,
        Reason.TARGET_UNREACHABLE,
        Reason.WRONG_HOME,
    }
)


def retry_after_end(request, end, relayed):
    """Return where a retry may go after an attempt.

    Parameters
    ----------
    request : CallerRequest
        The request.
    end : siskinthread.outcomes.End
        How the attempt ended.
    relayed : bool
        Whether any part of the response was relayed to the caller.

    Returns
    -------
    Retry

    Notes
    -----
    A target that does not answer may still have received the request.  Repeating a
    non-idempotent request then would run it twice, visible as two executions of one
    ``request_id``.  Such a request is retried only after an explicit refusal.
    """
    if relayed or end.reason in PERMANENT_REASONS or end.reason in CALLER_REASONS:
        return Retry.NO
    if end.outcome is Outcome.REFUSED_NOT_RUN:
        return _retry_after_refusal(request, end)
    if end.outcome is Outcome.ANSWERED or not is_repeatable(request):
        return Retry.NO
    return Retry.OTHER_TARGET


def _retry_after_refusal(request, end):
    if request.idempotency_key is None:
        return Retry.OTHER_TARGET
    # No other host may run the request, and the home accepts a key that it refused only
    # once the configuration of the entry or of the home has changed.
    return Retry.HOME if end.reason is Reason.WRONG_HOME else Retry.NO


def is_authoritative(end, written):
    """Return whether an end is based on the ledger of the key's home.

    Parameters
    ----------
    end : siskinthread.outcomes.End
        How the attempt ended.
    written : bool
        Whether the request was written to a connection to the home, so that the home
        itself produced the end.
    """
    return written and end.reason not in NON_AUTHORITATIVE_REASONS


def to_unknown_end(end):
    """Return a refusal of a key as unknown, as its home did not confirm it.

    Parameters
    ----------
    end : siskinthread.outcomes.End
        A refusal.

    Returns
    -------
    siskinthread.outcomes.End
        ``UNKNOWN`` with the same reason.

    Notes
    -----
    The key may have been issued before through another entry host and have run; only
    its home knows.  If another host reported "refused, not run", the caller could issue
    the request again under a new key, and it would run twice.
    """
    message = f"{end.message} Whether the key ran before isn't known here.".lstrip()
    return End(Outcome.UNKNOWN, end.reason, message, retry_after_s=end.retry_after_s)


def is_repeatable(request):
    """Return whether the request may safely run more than once."""
    return request.idempotent and request.idempotency_key is None


def caller_retry_after_s(request, end, default_s):
    """Return the seconds after which the caller may retry, None if that can't help.

    Parameters
    ----------
    request : CallerRequest
        The request.
    end : siskinthread.outcomes.End
        Final end of the request.
    default_s : float
        Seconds to return if the end states none.
    """
    if not _caller_retry_helps(request, end):
        return None
    return default_s if end.retry_after_s is None else end.retry_after_s


def _caller_retry_helps(request, end):
    if end.outcome is Outcome.ANSWERED:
        return False
    if end.reason in PERMANENT_REASONS or end.reason in CALLER_REASONS:
        return False
    if end.outcome is Outcome.REFUSED_NOT_RUN or is_repeatable(request):
        return True
    return (
        request.idempotency_key is not None and end.reason in RESOLVABLE_UNKNOWN_REASONS
    )
