"""A request at this agent, and the attempts that read its answer."""

import curio

from siskinthread.execution._buffer import StreamBuffer
from siskinthread.outcomes import Outcome


class AttemptId:
    """Identifies an attempt by the entry's incarnation and a sequence number.

    Parameters
    ----------
    entry_incarnation : str
        Incarnation of the entry that made the attempt.
    number : int
        Sequence number of the attempt at the entry.
    """

    __slots__ = ("entry_incarnation", "number")

    def __init__(self, entry_incarnation, number):
        self.entry_incarnation = entry_incarnation
        self.number = number

    def __eq__(self, other):
        return (
            self.number == other.number
            and self.entry_incarnation == other.entry_incarnation
        )

    def __hash__(self):
        return hash((self.entry_incarnation, self.number))

    def follows(self, other):
        """Return whether this is a later attempt of the same entry as `other`."""
        return (
            self.entry_incarnation == other.entry_incarnation
            and self.number > other.number
        )

    def __repr__(self):
        return f"{self.entry_incarnation}/{self.number}"


class Attempt:
    """One attempt of an entry, attached to an execution.

    Parameters
    ----------
    attempt_id : AttemptId
        Id of the attempt.
    execution : Execution
        The execution whose answer the attempt reads.
    window_bytes : int
        Maximum number of sent but unacknowledged bytes.
    offset_bytes : int
        Offset of the first byte of the body to send.
    head_sent : bool
        Whether the entry has already received the head.

    Attributes
    ----------
    cancelled : bool
        Whether the entry needs only the end.
    link : Link or None
        The connection to write to; None while the entry has no connection.
    detached_deadline : Deadline or None
        When an attempt without a connection is dropped.
    """

    __slots__ = (
        "acknowledged_bytes",
        "attempt_id",
        "cancelled",
        "detached_deadline",
        "end_sent",
        "execution",
        "head_sent",
        "link",
        "sent_bytes",
        "window_bytes",
    )

    def __init__(self, attempt_id, execution, window_bytes, offset_bytes, head_sent):
        self.attempt_id = attempt_id
        self.execution = execution
        self.window_bytes = window_bytes
        self.sent_bytes = offset_bytes
        self.acknowledged_bytes = offset_bytes
        self.head_sent = head_sent
        self.cancelled = False
        self.end_sent = False
        self.link = None
        self.detached_deadline = None

    def sendable_bytes(self):
        """Return how many bytes may be sent now."""
        if self.cancelled:
            return 0
        window_end = self.acknowledged_bytes + self.window_bytes
        end = min(window_end, self.execution.buffer.end_bytes)
        return max(0, end - self.sent_bytes)

    def may_send_head(self):
        """Return whether the head may be sent now."""
        known = self.execution.head is not None
        return known and not self.head_sent and not self.cancelled

    def acknowledge(self, received_bytes):
        """Apply an acknowledgement, which may be late, repeated or out of range.

        Notes
        -----
        The offset is limited to the bytes that were sent.  Otherwise bytes that the
        entry never received would be discarded, and its answer would have a gap.
        """
        received_bytes = min(received_bytes, self.sent_bytes)
        self.acknowledged_bytes = max(self.acknowledged_bytes, received_bytes)

    def seek(self, offset_bytes, window_bytes, head_sent):
        """Continue from the offset that a resuming entry gives."""
        self.sent_bytes = offset_bytes
        self.acknowledged_bytes = max(self.acknowledged_bytes, offset_bytes)
        self.window_bytes = window_bytes
        self.head_sent = head_sent
        self.end_sent = False


class Execution:
    """A request that waits, runs or has run at this agent.

    Parameters
    ----------
    request_id : str
        Id of the request.
    keyed : bool
        Whether it has an idempotency key.
    digest : bytes or None
        Digest of the request's content; None if it is not known.
    priority : int
        0 is the most urgent.
    deadline : Deadline
        When the last of its callers stops waiting.
    retention_deadline : Deadline
        Until when the record is kept.
    base_bytes : int
        Offset of the first byte of the body in the buffer.

    Attributes
    ----------
    attempts : dict of AttemptId to Attempt
        The attempts that read the answer.
    request : TargetRequest or None
        The request to the target; dropped once the execution ended.
    call : Call or None
        The call of the target.
    task : curio.Task or None
        The task that runs the execution.
    end : End or None
        The outcome, once it is known.
    cancel_reason : Reason or None
        Why the execution is being cancelled.
    unknown_reason : Reason or None
        Reason of the outcome if the target does not know the request of an earlier
        incarnation.
    retains_body : bool
        Whether acknowledged bytes are kept for retries.
    reserved_bytes : int
        Memory that the ledger counts for the record of a key.
    space_freed : curio.Event
        Set when the buffer may have space again.
    """

    __slots__ = (
        "attempts",
        "buffer",
        "call",
        "deadline",
        "digest",
        "end",
        "retention_deadline",
        "head",
        "retains_body",
        "keyed",
        "priority",
        "request",
        "request_id",
        "reserved_bytes",
        "space_freed",
        "cancel_reason",
        "task",
        "unknown_reason",
    )

    def __init__(
        self,
        request_id,
        keyed,
        digest,
        priority,
        deadline,
        retention_deadline,
        base_bytes=0,
    ):
        self.request_id = request_id
        self.keyed = keyed
        self.retains_body = keyed
        self.digest = digest
        self.priority = priority
        self.deadline = deadline
        self.retention_deadline = retention_deadline
        self.buffer = StreamBuffer(base_bytes)
        self.attempts = {}
        self.reserved_bytes = 0
        self.space_freed = curio.Event()
        self.request = None
        self.call = None
        self.task = None
        self.head = None
        self.end = None
        self.cancel_reason = None
        self.unknown_reason = None

    @property
    def ended(self):
        """Whether the outcome is known."""
        return self.end is not None

    @property
    def refused(self):
        """Whether the execution ended without having run."""
        return self.ended and self.end.outcome == Outcome.REFUSED_NOT_RUN

    def contains_from(self, offset_bytes):
        """Return whether an offset lies in the buffered body or directly after it."""
        return self.buffer.base_bytes <= offset_bytes <= self.buffer.end_bytes

    def discard_acknowledged(self):
        """Discard bytes that all attempts acknowledged, unless kept for retries."""
        if self.retains_body:
            return
        active = [it for it in self.attempts.values() if not it.cancelled]
        self.buffer.discard_before(
            min(
                (attempt.acknowledged_bytes for attempt in active),
                default=self.buffer.end_bytes,
            )
        )
