"""Records of requests at this agent: executions, attempts and refusals."""

import heapq
import itertools

from siskinthread.outcomes import Outcome
from siskinthread.timing import Deadline

RECORD_SIZE_BYTES = 2048


class Refusal:
    """End of an attempt that has no execution, and when its record expires."""

    __slots__ = ("deadline", "end")

    def __init__(self, end, deadline):
        self.end = end
        self.deadline = deadline


class KeyBlock:
    """Temporary block of a key of which an attempt was refused as not run.

    Notes
    -----
    An earlier attempt of the key may still be in transit on another entry's link.  If
    that attempt ran, the "not run" that the caller received would be wrong.  Until the
    deadline, only later attempts of the same entry may run.
    """

    __slots__ = ("attempt_id", "deadline")

    def __init__(self, attempt_id, deadline):
        self.attempt_id = attempt_id
        self.deadline = deadline


class Ledger:
    """Executions by request id, and attempts and refusals by attempt id.

    Parameters
    ----------
    settings : ExecutionSettings
        Limits and retention times.
    clock : Clock
        Clock of the deadlines.

    Attributes
    ----------
    attempts : dict of AttemptId to Attempt
        The attempts that are attached to an execution.
    kept_bytes : int
        Memory that is used by or reserved for the records of keys.
    """

    __slots__ = (
        "_clock",
        "_executions",
        "_expiries",
        "_key_blocks",
        "_refusals",
        "_sequence",
        "_settings",
        "attempts",
        "kept_bytes",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._executions = {}
        self._refusals = {}
        self._key_blocks = {}
        self._expiries = []
        self._sequence = itertools.count()
        self.attempts = {}
        self.kept_bytes = 0

    def find(self, request_id):
        """Return the `Execution` of a request, or None."""
        return self._executions.get(request_id)

    def executions(self):
        """Return all executions."""
        return self._executions.values()

    def has_room_for_key(self):
        """Return whether the record and answer of another key fit into memory."""
        wanted = RECORD_SIZE_BYTES + self._settings.keyed_answer_limit_bytes
        return self.kept_bytes + wanted <= self._settings.keyed_memory_limit_bytes

    def add(self, execution):
        """Record a new execution."""
        self._executions[execution.request_id] = execution
        if execution.keyed:
            self._set_reserved(execution, self._settings.keyed_answer_limit_bytes)
        self.schedule_expiry(execution)

    def schedule_expiry(self, execution):
        """Have an ended execution removed at its `retention_deadline`."""
        # The heap refers to the execution by id: a reference to the object would keep
        # its answer in memory until the first deadline, long after it was removed.
        request_id = execution.request_id
        self._expire_at(
            execution.retention_deadline, self._expire_execution, request_id
        )

    def count_actual_size(self, execution):
        """Reduce the reservation of an ended execution to the size of its answer."""
        if execution.keyed:
            self._set_reserved(execution, execution.buffer.size_bytes)

    def _set_reserved(self, execution, answer_bytes):
        self.kept_bytes -= execution.reserved_bytes
        execution.reserved_bytes = RECORD_SIZE_BYTES + answer_bytes
        self.kept_bytes += execution.reserved_bytes

    def remove(self, execution):
        """Remove an execution and its attempts."""
        if self._executions.get(execution.request_id) is not execution:
            return
        del self._executions[execution.request_id]
        self.kept_bytes -= execution.reserved_bytes
        execution.reserved_bytes = 0
        for attempt_id in list(execution.attempts):
            self.detach(self.attempts[attempt_id])

    def attach(self, attempt):
        """Record an attempt of an execution."""
        self.attempts[attempt.attempt_id] = attempt
        attempt.execution.attempts[attempt.attempt_id] = attempt

    def detach(self, attempt):
        """Remove an attempt."""
        del self.attempts[attempt.attempt_id]
        del attempt.execution.attempts[attempt.attempt_id]
        if attempt.link is not None:
            attempt.link.drop_attempt(attempt)

    def refusal(self, attempt_id):
        """Return the `Refusal` of an attempt, or None."""
        return self._refusals.get(attempt_id)

    def has_room_for_refusal(self):
        """Return whether another refusal can be recorded."""
        return len(self._refusals) < self._settings.refusals_limit

    def refuse(self, attempt_id, end, deadline):
        """Record the end of an attempt without an execution.

        Parameters
        ----------
        attempt_id : AttemptId
            The attempt.
        end : End
            The end that is sent now and whenever the attempt is repeated.
        deadline : Deadline
            When the attempt's caller stops waiting.

        Notes
        -----
        Refusals are recorded by attempt and not by request, so that a retry of a
        refused key runs.  Beyond `refusals_limit` nothing is recorded.
        """
        if not self.has_room_for_refusal():
            return
        wait_s = deadline.left_s() + self._settings.forget_grace_s
        refusal = Refusal(end, Deadline.after(self._clock, wait_s))
        self._refusals[attempt_id] = refusal
        self._expire_at(refusal.deadline, self._expire_refusal, attempt_id)

    def block_key(self, request_id, attempt_id):
        """Block attempts of a key by other entries for `late_start_limit_s`."""
        deadline = Deadline.after(self._clock, self._settings.late_start_limit_s)
        self._key_blocks[request_id] = KeyBlock(attempt_id, deadline)
        self._expire_at(deadline, self._expire_key_block, request_id)

    def find_block(self, request_id, attempt_id):
        """Return the `KeyBlock` that prevents an attempt from running, or None."""
        block = self._key_blocks.get(request_id)
        if block is None or block.deadline.passed():
            return None
        return None if attempt_id.follows(block.attempt_id) else block

    def expire(self):
        """Remove all records whose deadline passed."""
        now_s = self._clock.monotonic_s()
        while self._expiries and self._expiries[0][0] <= now_s:
            _, _, expire, subject = heapq.heappop(self._expiries)
            expire(subject)

    def _expire_at(self, deadline, expire, subject):
        item = (deadline.at_s, next(self._sequence), expire, subject)
        heapq.heappush(self._expiries, item)

    def _expire_execution(self, request_id):
        execution = self._executions.get(request_id)
        if execution is None or not execution.ended:
            return
        if execution.retention_deadline.passed():
            self.remove(execution)

    def _expire_refusal(self, attempt_id):
        refusal = self._refusals.get(attempt_id)
        if refusal is not None and refusal.deadline.passed():
            del self._refusals[attempt_id]

    def _expire_key_block(self, request_id):
        block = self._key_blocks.get(request_id)
        if block is not None and block.deadline.passed():
            del self._key_blocks[request_id]

    def end(self, execution, end):
        """Record the outcome of an execution.

        The execution of a request that was not run is removed at once, so that a retry
        runs; its attempts are recorded as refused.
        """
        execution.end = end
        execution.request = None
        if end.outcome == Outcome.REFUSED_NOT_RUN:
            self._convert_to_refusals(execution)
            return
        self.count_actual_size(execution)
        grace = Deadline.after(self._clock, self._settings.finished_grace_s)
        if grace.at_s > execution.retention_deadline.at_s:
            execution.retention_deadline = grace
        self.schedule_expiry(execution)

    def _convert_to_refusals(self, execution):
        for attempt_id in execution.attempts:
            self.refuse(attempt_id, execution.end, execution.deadline)
            if execution.keyed:
                self.block_key(execution.request_id, attempt_id)
        self.remove(execution)
