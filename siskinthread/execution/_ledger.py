"""What this agent knows of requests: executions, attempts and refusals."""

import heapq
import itertools

from siskinthread.outcomes import Outcome
from siskinthread.timing import Deadline

RECORD_SIZE_BYTES = 2048


class Refusal:
    """An attempt that ended without an execution, and the end that it was told."""

    __slots__ = ("deadline", "end")

    def __init__(self, end, deadline):
        self.end = end
        self.deadline = deadline


class KeyHold:
    """A key that was refused as not run, and to which attempt.

    Notes
    -----
    An earlier attempt of the key may still be on its way over another entry's link.
    Were it to run, the caller that was told "not run" would have been told wrong.  So
    for a while only later attempts of the same entry may run.
    """

    __slots__ = ("attempt_id", "deadline")

    def __init__(self, attempt_id, deadline):
        self.attempt_id = attempt_id
        self.deadline = deadline


class Ledger:
    """Executions by request id, attempts and refusals by attempt id.

    Parameters
    ----------
    settings : ExecutionSettings
        Limits and waits.
    clock : Clock
        Clock of the deadlines.

    Attributes
    ----------
    attempts : dict of AttemptId to Attempt
        The attempts that are attached to an execution.
    kept_bytes : int
        Memory that records of keys hold or have set aside.
    """

    __slots__ = (
        "_clock",
        "_executions",
        "_expiries",
        "_holds",
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
        self._holds = {}
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
        """Return whether another key's record and answer fit."""
        wanted = RECORD_SIZE_BYTES + self._settings.keyed_answer_limit_bytes
        return self.kept_bytes + wanted <= self._settings.keyed_memory_limit_bytes

    def add(self, execution):
        """Take in a new execution."""
        self._executions[execution.request_id] = execution
        if execution.keyed:
            self._set_kept(execution, self._settings.keyed_answer_limit_bytes)
        self.schedule_forgetting(execution)

    def schedule_forgetting(self, execution):
        """Forget an execution at its `forget_deadline`, once it ended."""
        # By id: an entry that held the execution would keep its answer in memory until
        # its first deadline, long after it was forgotten.
        request_id = execution.request_id
        self._expire_at(execution.forget_deadline, self._expire_execution, request_id)

    def settle(self, execution):
        """Count an ended execution by the size of its answer."""
        if execution.keyed:
            self._set_kept(execution, execution.buffer.size_bytes)

    def _set_kept(self, execution, answer_bytes):
        self.kept_bytes -= execution.reserved_bytes
        execution.reserved_bytes = RECORD_SIZE_BYTES + answer_bytes
        self.kept_bytes += execution.reserved_bytes

    def remove(self, execution):
        """Forget an execution and its attempts."""
        if self._executions.get(execution.request_id) is not execution:
            return
        del self._executions[execution.request_id]
        self.kept_bytes -= execution.reserved_bytes
        execution.reserved_bytes = 0
        for attempt_id in list(execution.attempts):
            self.detach(self.attempts[attempt_id])

    def attach(self, attempt):
        """Take in an attempt at an execution."""
        self.attempts[attempt.attempt_id] = attempt
        attempt.execution.attempts[attempt.attempt_id] = attempt

    def detach(self, attempt):
        """Forget an attempt."""
        del self.attempts[attempt.attempt_id]
        del attempt.execution.attempts[attempt.attempt_id]
        if attempt.link is not None:
            attempt.link.forget(attempt)

    def refusal(self, attempt_id):
        """Return the `Refusal` of an attempt, or None."""
        return self._refusals.get(attempt_id)

    def has_room_for_refusal(self):
        """Return whether another refusal can be remembered."""
        return len(self._refusals) < self._settings.refusals_limit

    def refuse(self, attempt_id, end, deadline):
        """Remember the end of an attempt without an execution.

        Parameters
        ----------
        attempt_id : AttemptId
            Which one.
        end : End
            What it is told, now and whenever it asks again.
        deadline : Deadline
            When its caller stops waiting.

        Notes
        -----
        Refusals go by attempt and not by request: a caller that retries a refused key
        has to get it run.
        """
        if not self.has_room_for_refusal():
            return
        wait_s = deadline.left_s() + self._settings.forget_grace_s
        refusal = Refusal(end, Deadline.after(self._clock, wait_s))
        self._refusals[attempt_id] = refusal
        self._expire_at(refusal.deadline, self._expire_refusal, attempt_id)

    def hold_key(self, request_id, attempt_id):
        """Keep other entries' attempts of a key from running for a while."""
        deadline = Deadline.after(self._clock, self._settings.late_start_limit_s)
        self._holds[request_id] = KeyHold(attempt_id, deadline)
        self._expire_at(deadline, self._expire_hold, request_id)

    def hold(self, request_id, attempt_id):
        """Return the `KeyHold` that forbids an attempt to run, or None."""
        hold = self._holds.get(request_id)
        if hold is None or hold.deadline.passed():
            return None
        return None if attempt_id.follows(hold.attempt_id) else hold

    def expire(self):
        """Forget everything whose deadline passed."""
        now_s = self._clock.monotonic_s()
        while self._expiries and self._expiries[0][0] <= now_s:
            _, _, expire, subject = heapq.heappop(self._expiries)
            expire(subject)

    def _expire_at(self, deadline, expire, subject):
        entry = (deadline.at_s, next(self._sequence), expire, subject)
        heapq.heappush(self._expiries, entry)

    def _expire_execution(self, request_id):
        execution = self._executions.get(request_id)
        if execution is None or not execution.ended:
            return
        if execution.forget_deadline.passed():
            self.remove(execution)

    def _expire_refusal(self, attempt_id):
        refusal = self._refusals.get(attempt_id)
        if refusal is not None and refusal.deadline.passed():
            del self._refusals[attempt_id]

    def _expire_hold(self, request_id):
        hold = self._holds.get(request_id)
        if hold is not None and hold.deadline.passed():
            del self._holds[request_id]

    def end(self, execution, end):
        """Record the outcome of an execution.

        A request that was not run is forgotten at once, so that a retry runs; its
        attempts are remembered as refused.
        """
        execution.end = end
        execution.request = None
        if end.outcome == Outcome.REFUSED_NOT_RUN:
            self._turn_into_refusals(execution)
            return
        self.settle(execution)
        grace = Deadline.after(self._clock, self._settings.finished_grace_s)
        if grace.at_s > execution.forget_deadline.at_s:
            execution.forget_deadline = grace
        self.schedule_forgetting(execution)

    def _turn_into_refusals(self, execution):
        for attempt_id in execution.attempts:
            self.refuse(attempt_id, execution.end, execution.deadline)
            if execution.keyed:
                self.hold_key(execution.request_id, attempt_id)
        self.remove(execution)
