"""Read deadlines, idempotency keys and issue times from request headers."""

import re

from siskinthread.callers import _header_names
from siskinthread.http_server import bad_request, Refusal
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.timing import Deadline

MILLISECONDS_PER_SECOND = 1000
UNIX_MS_PATTERN = re.compile(r"[0-9]{1,15}", re.ASCII)
SECONDS_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
# The key is part of the request id, which appears in paths and logs.
KEY_PATTERN = re.compile(r"[A-Za-z0-9._:~+=@-]+", re.ASCII)


class StatedTimes:
    """Deadline and idempotency as stated in the headers of a request.

    Parameters
    ----------
    deadline : siskinthread.timing.Deadline
        When the caller stops waiting.
    deadline_unix_ms : int or None
        Absolute deadline if the caller stated one, Unix milliseconds.
    idempotency_key : str or None
        The caller's key.
    idempotent : bool or None
        Whether the caller declares the request idempotent; None for the default of the
        service.
    issued_at_ms : int or None
        Time of the key's first issue if stated, Unix milliseconds.
    """

    __slots__ = (
        "deadline",
        "deadline_unix_ms",
        "idempotency_key",
        "idempotent",
        "issued_at_ms",
    )

    def __init__(
        self, deadline, deadline_unix_ms, idempotency_key, idempotent, issued_at_ms
    ):
        self.deadline = deadline
        self.deadline_unix_ms = deadline_unix_ms
        self.idempotency_key = idempotency_key
        self.idempotent = idempotent
        self.issued_at_ms = issued_at_ms


class KeyedTimes:
    """Issue time and deadline of a request with an idempotency key.

    Parameters
    ----------
    issued_at_ms : int
        Lower bound of the time of the first issue, Unix milliseconds.
    deadline : siskinthread.timing.Deadline
        Deadline of the caller, limited to the end of the key's lifetime.
    """

    __slots__ = ("deadline", "issued_at_ms")

    def __init__(self, issued_at_ms, deadline):
        self.issued_at_ms = issued_at_ms
        self.deadline = deadline


def read_stated_times(head, settings, clock):
    """Return the `StatedTimes` of a `RequestHead`, or a `Refusal`."""
    idempotent = head.value(_header_names.IDEMPOTENT)
    if idempotent not in (None, "yes", "no"):
        return bad_request("Siskinthread-Idempotent must be yes or no.")
    key = head.value(_header_names.IDEMPOTENCY_KEY)
    if key is not None and not _is_valid_key(key, settings):
        return bad_request(
            "Idempotency-Key must have 1 to "
            f"{settings.idempotency_key_limit_chars} of the characters "
            "A-Z a-z 0-9 . _ : ~ + = @ and -."
        )
    if key is not None and idempotent == "yes":
        return bad_request(
            "A request with an Idempotency-Key is not idempotent; leave out one of "
            "Idempotency-Key and Siskinthread-Idempotent."
        )
    issued_at = head.value(_header_names.ISSUED_AT)
    if issued_at is not None and not UNIX_MS_PATTERN.fullmatch(issued_at):
        return bad_request("Siskinthread-Issued-At must be Unix milliseconds.")
    deadline_ms = head.value(_header_names.DEADLINE)
    if deadline_ms is not None and not UNIX_MS_PATTERN.fullmatch(deadline_ms):
        return bad_request("Siskinthread-Deadline must be Unix milliseconds.")
    timeout = head.value(_header_names.TIMEOUT)
    if timeout is not None and not SECONDS_PATTERN.fullmatch(timeout):
        return bad_request("Siskinthread-Timeout-S must be a number of seconds.")
    if timeout is not None and deadline_ms is not None:
        return bad_request(
            "State Siskinthread-Deadline or Siskinthread-Timeout-S, not both."
        )
    return StatedTimes(
        _deadline(deadline_ms, timeout, settings, clock),
        None if deadline_ms is None else int(deadline_ms),
        key,
        None if idempotent is None else idempotent == "yes",
        None if issued_at is None else int(issued_at),
    )


def keyed_times(times, service, settings, clock):
    """Return the `KeyedTimes` of a request with an idempotency key, or a `Refusal`.

    Parameters
    ----------
    times : StatedTimes
        Times stated in the head.
    service : siskinthread.configuration.Service
        The requested service.
    settings : CallerSettings
        Settings with the limit of the clock error.
    clock : siskinthread.timing.Clock
        Clock for the age of the key.

    Notes
    -----
    These checks keep a request from running twice.  An agent forgets a key at the end
    of the key's lifetime, and a replaced agent knows no keys; both would handle a late
    retry as a first try.  The issue time distinguishes the two, so it must be known,
    must not lie in the future and must not be older than the lifetime of a key.  The
    deadline is limited so that the request does not wait past that lifetime either.
    """
    lifetime_ms = round(service.lifetime_limit_s * MILLISECONDS_PER_SECOND)
    clock_error_ms = round(settings.clock_error_limit_s * MILLISECONDS_PER_SECOND)
    issued_at_ms = times.issued_at_ms
    if issued_at_ms is None and times.deadline_unix_ms is None:
        return bad_request(
            "A request with an Idempotency-Key must state Siskinthread-Issued-At, or "
            "the absolute Siskinthread-Deadline; without either it can't be "
            "guaranteed to run at most once."
        )
    if issued_at_ms is None:
        issued_at_ms = times.deadline_unix_ms - lifetime_ms
    age_ms = clock.unix_ms() - issued_at_ms
    if age_ms < -clock_error_ms:
        return bad_request(_future_message(times, service))
    life_left_ms = lifetime_ms - clock_error_ms - age_ms
    if life_left_ms <= 0:
        return _expired_key_refusal(service)
    end_of_life = Deadline.after_ms(clock, life_left_ms)
    deadline = min(times.deadline, end_of_life, key=lambda either: either.at_s)
    return KeyedTimes(issued_at_ms, deadline)


def _is_valid_key(key, settings):
    return len(key) <= settings.idempotency_key_limit_chars and KEY_PATTERN.fullmatch(
        key
    )


def _deadline(deadline_ms, timeout, settings, clock):
    if deadline_ms is not None:
        wait_s = (int(deadline_ms) - clock.unix_ms()) / MILLISECONDS_PER_SECOND
    elif timeout is not None:
        wait_s = float(timeout)
    else:
        wait_s = settings.default_timeout_s
    return Deadline.after(clock, min(wait_s, settings.timeout_limit_s))


def _future_message(times, service):
    if times.issued_at_ms is not None:
        return "Siskinthread-Issued-At lies in the future."
    return (
        "Siskinthread-Deadline lies more than the life of a key, "
        f"{service.lifetime_limit_s:g} s, in the future; state "
        "Siskinthread-Issued-At as well."
    )


def _expired_key_refusal(service):
    end = End(
        Outcome.UNKNOWN,
        Reason.ANSWER_GONE,
        message=f"The idempotency key is older than {service.lifetime_limit_s:g} s, "
        "the longest that it is remembered; this try was not run, but an earlier one "
        "may have been.",
    )
    return Refusal(end, 504)
