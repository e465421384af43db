"""Reasons why no target of a service can take a request."""

import enum


class BindingCause(enum.Enum):
    """Why no target can take a request now; the values are written to the log."""

    # No group or target of the service is usable.
    OUTAGE = "outage"
    # Too few slots are free.
    FULL = "full"
    # The free slots are reserved for more urgent requests.
    RESERVED = "reserved"
    # One more stream would make the streams of its group late.
    LATE_PASSES = "late_passes"
    # No target has free memory for its tokens.
    NO_MEMORY = "no_memory"
    # The client account uses several times its usual load while slots are scarce.
    SURGING = "surging"
    # The limits of the targets are exhausted.
    LIMITED = "limited"
    # The targets are cold, and the quotas of this host are exhausted.
    COLD = "cold"
    # The targets requested back-off.
    BACKED_OFF = "backed_off"
    # The free slots are left to callers that were told to retry now.
    BOOKED = "booked"
    # Requests that already wait have precedence.
    QUEUED = "queued"
    # The service has no target, or all of its targets have declined the request.
    NO_TARGET = "no_target"

    @property
    def is_transient(self):
        """Whether the cause may end while a request waits."""
        return self not in (BindingCause.SURGING, BindingCause.NO_TARGET)
