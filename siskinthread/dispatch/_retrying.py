"""When a request may be tried again, and when its caller should come back."""

import enum

from siskinthread.outcomes import End, Outcome, Reason


class Retry(enum.Enum):
    """What may follow an attempt that brought no answer."""

    NO = enum.auto()
    ELSEWHERE = enum.auto()
    HOME = enum.auto()


# Refusals that another target, or the same one later, would repeat.
LASTING_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.DEADLINE_PASSED,
        Reason.KEY_REUSED,
        Reason.NO_SUCH_SERVICE,
        Reason.UNAUTHENTICATED,
    }
)
# Ends that the caller's own side brought about.
CALLER_REASONS = frozenset({Reason.CANCELLED, Reason.TOO_SLOW_READER})
# Refusals of a key by an agent that do not rest on its ledger.
UNVOUCHED_REASONS = frozenset(
    {
        Reason.HOMES_SETTLING,
        Reason.NEVER_RECEIVED,
        Reason.NO_SUCH_SERVICE,
        Reason.NOT_READY,
        Reason.WRONG_HOME,
    }
)
# Unknown outcomes that a later retry with the same key can still clear up, since the
# key's home may have kept its ledger.
PASSING_UNKNOWN_REASONS = frozenset(
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


def retry_after_end(request, end, shown):
    """Return what may follow an attempt.

    Parameters
    ----------
    request : CallerRequest
        The request.
    end : siskinthread.outcomes.End
        How the attempt ended.
    shown : bool
        Whether the caller has been shown anything of the response.

    Returns
    -------
    Retry

    Notes
    -----
    A non-idempotent request that was sent again on silence would run twice when the
    first copy had arrived after all; one would notice two executions of one
    ``request_id``.  So only the word of the one that refused it permits another
    attempt.
    """
    if shown or end.reason in LASTING_REASONS or end.reason in CALLER_REASONS:
        return Retry.NO
    if end.outcome is Outcome.REFUSED_NOT_RUN:
        return _retry_after_refusal(request, end)
    if end.outcome is Outcome.ANSWERED or not is_repeatable(request):
        return Retry.NO
    return Retry.ELSEWHERE


def _retry_after_refusal(request, end):
    if request.idempotency_key is None:
        return Retry.ELSEWHERE
    # Only a change of the configuration, here or there, can make the home accept a key
    # that it refused, and no other host may run it.
    return Retry.HOME if end.reason is Reason.WRONG_HOME else Retry.NO


def is_vouched(end, written):
    """Return whether a refusal of a key rests on the ledger of its home.

    Parameters
    ----------
    end : siskinthread.outcomes.End
        How the attempt ended.
    written : bool
        Whether the request reached a connection to the home, so that the end is the
        home's own word.
    """
    return written and end.reason not in UNVOUCHED_REASONS


def unvouched_end(end):
    """Return the final end of a key that nobody who knows its history refused.

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
    The key may have been issued before, through another entry host, and have run.  Only
    its home can tell.  "Refused, not run" from anyone else would invite the caller to
    issue the alert anew under another key, and it would run twice.
    """
    message = f"{end.message} Whether the key ran before isn't known here.".lstrip()
    return End(Outcome.UNKNOWN, end.reason, message, retry_after_s=end.retry_after_s)


def is_repeatable(request):
    """Return whether running the request twice does no harm."""
    return request.idempotent and request.idempotency_key is None


def come_back_after_s(request, end, default_s):
    """Return the seconds after which the caller's own retry may help, or None.

    Parameters
    ----------
    request : CallerRequest
        The request.
    end : siskinthread.outcomes.End
        Its final end.
    default_s : float
        Wait when the end states none, seconds.
    """
    if not _coming_back_helps(request, end):
        return None
    return default_s if end.retry_after_s is None else end.retry_after_s


def _coming_back_helps(request, end):
    if end.outcome is Outcome.ANSWERED:
        return False
    if end.reason in LASTING_REASONS or end.reason in CALLER_REASONS:
        return False
    if end.outcome is Outcome.REFUSED_NOT_RUN or is_repeatable(request):
        return True
    return request.idempotency_key is not None and end.reason in PASSING_UNKNOWN_REASONS
