"""One request at this agent, and the attempts that want its answer."""

import curio

from siskinthread.execution._buffer import StreamBuffer
from siskinthread.outcomes import Outcome


class AttemptId:
    """Names an attempt: the entry's incarnation and its counter.

    Parameters
    ----------
    entry_incarnation : str
        Incarnation of the entry that made the attempt.
    number : int
        The entry's counter.
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
        """Return whether the same entry made this attempt after another one."""
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
        Which one.
    execution : Execution
        Whose answer it wants.
    window_bytes : int
        Bytes that may be under way unacknowledged.
    offset_bytes : int
        First byte that it wants.
    head_sent : bool
        Whether the entry has the head already.

    Attributes
    ----------
    cancelled : bool
        Whether its entry wants nothing but the end.
    link : Link or None
        The connection to write to; None while the entry has none.
    detached_deadline : Deadline or None
        When an attempt without a connection is given up.
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

    def wants_head(self):
        """Return whether the head may be sent now."""
        known = self.execution.head is not None
        return known and not self.head_sent and not self.cancelled

    def acknowledge(self, received_bytes):
        """Take in an acknowledgement; late, repeated and impossible ones are harmless.

        Notes
        -----
        One beyond what was sent is cut off there.  Believing it would free bytes that
        the entry never got, and its answer would have a hole.
        """
        received_bytes = min(received_bytes, self.sent_bytes)
        self.acknowledged_bytes = max(self.acknowledged_bytes, received_bytes)

    def seek(self, offset_bytes, window_bytes, head_sent):
        """Go on from the offset that a resuming entry states."""
        self.sent_bytes = offset_bytes
        self.acknowledged_bytes = max(self.acknowledged_bytes, offset_bytes)
        self.window_bytes = window_bytes
        self.head_sent = head_sent
        self.end_sent = False


class Execution:
    """One request that runs or ran here.

    Parameters
    ----------
    request_id : str
        Id of the request.
    keyed : bool
        Whether it has an idempotency key.
    digest : bytes or None
        Digest of what was asked; None if it is not known.
    priority : int
        0 is the most urgent.
    deadline : Deadline
        When the last of its callers stops waiting.
    forget_deadline : Deadline
        Before this nothing of it is forgotten.
    base_bytes : int
        Offset of the first byte of the body that is held.

    Attributes
    ----------
    request : TargetRequest or None
        What is asked of the target; dropped once it ended.
    call : Call or None
        The call of the target.
    task : curio.Task or None
        The task that runs it.
    end : End or None
        How it ended.
    stopping_reason : Reason or None
        Why it is being cancelled.
    unknown_reason : Reason or None
        Reason to give if the target, asked about a request of an earlier incarnation,
        does not know it.
    keeps_whole : bool
        Whether acknowledged bytes are kept for retries.
    """

    __slots__ = (
        "attempts",
        "buffer",
        "call",
        "deadline",
        "digest",
        "end",
        "forget_deadline",
        "head",
        "keeps_whole",
        "keyed",
        "priority",
        "request",
        "request_id",
        "reserved_bytes",
        "room",
        "stopping_reason",
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
        forget_deadline,
        base_bytes=0,
    ):
        self.request_id = request_id
        self.keyed = keyed
        self.keeps_whole = keyed
        self.digest = digest
        self.priority = priority
        self.deadline = deadline
        self.forget_deadline = forget_deadline
        self.buffer = StreamBuffer(base_bytes)
        self.attempts = {}
        self.reserved_bytes = 0
        self.room = curio.Event()
        self.request = None
        self.call = None
        self.task = None
        self.head = None
        self.end = None
        self.stopping_reason = None
        self.unknown_reason = None

    @property
    def ended(self):
        """Whether the outcome is known."""
        return self.end is not None

    @property
    def refused(self):
        """Whether it ended without having run."""
        return self.ended and self.end.outcome == Outcome.REFUSED_NOT_RUN

    def holds(self, offset_bytes):
        """Return whether the body is held from an offset on."""
        return self.buffer.base_bytes <= offset_bytes <= self.buffer.end_bytes

    def free_acknowledged(self):
        """Drop the bytes that every attempt has, unless retries may want them."""
        if self.keeps_whole:
            return
        wanting = [it for it in self.attempts.values() if not it.cancelled]
        self.buffer.free(
            min(
                (attempt.acknowledged_bytes for attempt in wanting),
                default=self.buffer.end_bytes,
            )
        )
