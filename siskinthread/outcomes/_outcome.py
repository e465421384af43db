"""The outcomes of requests and their reasons."""

import enum


class Outcome(enum.IntEnum):
    """Outcome of a request; the values are those on the wire.

    Notes
    -----
    ``REFUSED_NOT_RUN`` may be reported only if no target received the request, or the
    target that received it has recorded that it did not and will not run it.
    """

    ANSWERED = 1
    REFUSED_NOT_RUN = 2
    FAILED_RAN = 3
    UNKNOWN = 4

    @property
    def label(self):
        """Name reported to callers, for example ``refused_not_run``."""
        return _LABELS[self]


_LABELS = {
    Outcome.ANSWERED: "answered",
    Outcome.REFUSED_NOT_RUN: "refused_not_run",
    Outcome.FAILED_RAN: "failed",
    Outcome.UNKNOWN: "unknown",
}


class Reason(enum.StrEnum):
    """Machine-readable reason of an outcome, as on the wire and in responses.

    Notes
    -----
    A new reason needs a member here before it is used.
    """

    COMPLETE = "complete"
    # Refused, not run.
    UNAUTHENTICATED = "unauthenticated"
    NO_SUCH_SERVICE = "no_such_service"
    BAD_REQUEST = "bad_request"
    NOT_READY = "not_ready"
    LIMITED = "limited"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NO_TARGET = "no_target"
    DEADLINE_PASSED = "deadline_passed"
    WRONG_HOME = "wrong_home"
    HOMES_SETTLING = "homes_settling"
    NEVER_RECEIVED = "never_received"
    TARGET_REFUSED = "target_refused"
    TARGET_UNREACHABLE = "target_unreachable"
    KEY_REUSED = "key_reused"
    ENDS_TARGETS = "ends_targets"
    # Failed, ran.
    TARGET_FAILED = "target_failed"
    CANCELLED = "cancelled"
    TOO_SLOW_READER = "too_slow_reader"
    # Unknown.
    HOST_STOPPED = "host_stopped"
    AGENT_REPLACED = "agent_replaced"
    AGENT_UNREACHABLE = "agent_unreachable"
    ISSUED_BEFORE_START = "issued_before_start"
    TARGET_SILENT = "target_silent"
    ANSWER_GONE = "answer_gone"
