"""Handling of the frames that start, resume, acknowledge and cancel attempts."""

import curio

from siskinthread.execution._building import (
    digest_of,
    ExecutionBuilder,
    is_keyed,
    new_attempt,
    requested_offset_bytes,
    window_bytes_of,
)
from siskinthread.execution._execution import AttemptId
from siskinthread.execution._keys import refused, unknown
from siskinthread.execution._start_rules import overloaded, StartRules
from siskinthread.outcomes import Outcome, Reason
from siskinthread.targets import resume_call
from siskinthread.timing import Deadline


class AttemptHandler:
    """Starts, resumes, acknowledges and cancels attempts.

    Parameters
    ----------
    parts : ExecutionParts
        Objects that the parts of an agent share.
    runner : Runner
        Runs executions.
    key_rules : KeyRules
        Checks whether a missing record proves that a key did not run.

    Attributes
    ----------
    leaving : bool
        Whether new requests are refused.
    """

    __slots__ = (
        "_builder",
        "_clock",
        "_detached",
        "_identity",
        "_ledger",
        "_metrics",
        "_runner",
        "_settings",
        "_start_rules",
        "_target",
        "leaving",
    )

    def __init__(self, parts, runner, key_rules):
        self._identity = parts.identity
        self._settings = parts.settings
        self._target = parts.target
        self._clock = parts.clock
        self._ledger = parts.ledger
        self._metrics = parts.metrics
        self._builder = ExecutionBuilder(parts)
        self._runner = runner
        self._start_rules = StartRules(parts, key_rules)
        self._detached = set()
        self.leaving = False

    async def start(self, message, link):
        """Run a request, attach the attempt to its execution, or refuse it."""
        attempt_id = AttemptId(link.entry_incarnation, message.attempt)
        if attempt_id in self._ledger.attempts:
            return
        refusal = self._ledger.refusal(attempt_id)
        execution = self._ledger.find(message.request_id)
        if refusal is not None:
            await link.send_end(attempt_id, refusal.end)
        elif execution is None:
            await self._start_new(message, attempt_id, link)
        elif execution.digest not in (None, digest_of(message)):
            end = refused(Reason.KEY_REUSED, "The key stands for another request.")
            await self._reject(attempt_id, end, message, link)
        else:
            await self._attach_to_existing(execution, attempt_id, message, link)

    async def _start_new(self, message, attempt_id, link):
        rejection = self._start_rules.rejection(message, attempt_id, self.leaving)
        if rejection is None:
            rejection = await self._run(message, attempt_id, link)
        if rejection is None:
            return
        if rejection.outcome == Outcome.UNKNOWN:
            digest = digest_of(message)
            await self._query_target(
                message, attempt_id, link, rejection.reason, digest
            )
            return
        self._start_rules.note_refusal(message, attempt_id, rejection)
        await self._reject(attempt_id, rejection, message, link)

    async def _run(self, message, attempt_id, link):
        """Run a new request, or return its refusal if the run queue is full."""
        execution = self._builder.new_execution(message)
        placement = self._runner.run_queue.admit(execution)
        if placement is None:
            return overloaded(self._settings)
        self._ledger.add(execution)
        await self._attach(new_attempt(attempt_id, execution, message), link)
        await self._runner.apply_placement(execution, placement)
        return None

    async def _attach_to_existing(self, execution, attempt_id, message, link):
        if not execution.contains_from(requested_offset_bytes(message)):
            end = unknown(Reason.ANSWER_GONE, "Bytes that are wanted are gone.")
            await self._reject(attempt_id, end, message, link)
            return
        self._extend_retention(execution, message)
        await self._attach(new_attempt(attempt_id, execution, message), link)

    def _extend_retention(self, execution, message):
        # If the record expired while an attempt still reads the answer, the attempt
        # would never get its end.
        deadline = self._builder.deadline(message)
        if deadline.at_s > execution.deadline.at_s:
            execution.deadline = deadline
        wait_s = deadline.left_s() + self._settings.forget_grace_s
        retention_deadline = Deadline.after(self._clock, wait_s)
        if retention_deadline.at_s > execution.retention_deadline.at_s:
            execution.retention_deadline = retention_deadline
            self._ledger.schedule_expiry(execution)

    async def _attach(self, attempt, link):
        if attempt.attempt_id not in self._ledger.attempts:
            self._ledger.attach(attempt)
        if attempt.link is not None:
            attempt.link.drop_attempt(attempt)
        attempt.link = link
        attempt.detached_deadline = None
        self._detached.discard(attempt)
        link.attempts.add(attempt)
        await link.schedule_write(attempt)

    async def _reject(self, attempt_id, end, message, link):
        deadline = self._builder.deadline(message)
        self._ledger.refuse(attempt_id, end, deadline)
        self._metrics.ends.labels(end.outcome.label, str(end.reason)).inc()
        await link.send_end(attempt_id, end)

    async def resume(self, message, link):
        """Continue an attempt over a new connection."""
        attempt_id = AttemptId(link.entry_incarnation, message.attempt)
        attempt = self._ledger.attempts.get(attempt_id)
        refusal = self._ledger.refusal(attempt_id)
        execution = self._ledger.find(message.request_id)
        if attempt is not None and attempt.execution.contains_from(
            message.offset_bytes
        ):
            window_bytes = window_bytes_of(message)
            head_received = bool(message.head_received)
            attempt.seek(message.offset_bytes, window_bytes, head_received)
            await self._attach(attempt, link)
        elif refusal is not None:
            await link.send_end(attempt_id, refusal.end)
        elif execution is not None:
            await self._attach_to_existing(execution, attempt_id, message, link)
        elif message.sent_to_incarnation == self._identity.incarnation:
            await self._refuse_never_received(message, attempt_id, link)
        else:
            await self._query_target(message, attempt_id, link, Reason.AGENT_REPLACED)

    async def _refuse_never_received(self, message, attempt_id, link):
        # The refusal has to be recorded before it is sent, since the start frame may
        # still arrive on an older connection.  Past the deadline the record of a
        # request that did run may have expired, so its outcome is unknown.
        deadline = self._builder.deadline(message)
        if deadline.passed() or not self._ledger.has_room_for_refusal():
            end = unknown(Reason.ANSWER_GONE, "No record of the request is left.")
        else:
            end = refused(Reason.NEVER_RECEIVED, "The request never arrived.")
        await self._reject(attempt_id, end, message, link)

    async def _query_target(self, message, attempt_id, link, reason, digest=None):
        """Query the target about a request that an earlier incarnation may have sent.

        If the target can't be queried, the outcome is unknown.
        """
        execution = self._builder.resumed_execution(message, digest)
        offset_bytes = execution.buffer.base_bytes
        call = resume_call(self._target, message.request_id, offset_bytes)
        if call is None:
            end = unknown(reason, "This process can't tell whether it ran.")
            await self._reject(attempt_id, end, message, link)
            return
        execution.unknown_reason = reason
        self._ledger.add(execution)
        await self._attach(new_attempt(attempt_id, execution, message), link)
        await self._runner.run_resumed(execution, call)

    async def acknowledge(self, message, link):
        """Discard acknowledged bytes, and send more or drop a finished attempt."""
        attempt_id = AttemptId(link.entry_incarnation, message.attempt)
        attempt = self._ledger.attempts.get(attempt_id)
        if attempt is None:
            return
        attempt.acknowledge(message.received_bytes)
        if message.finished:
            await self._drop_attempt(attempt)
            return
        await self._discard_acknowledged(attempt.execution)
        if attempt.link is not None:
            await attempt.link.schedule_write(attempt)

    async def _discard_acknowledged(self, execution):
        execution.discard_acknowledged()
        await execution.space_freed.set()

    async def _drop_attempt(self, attempt):
        """Drop an attempt whose entry needs nothing more.

        Stops an execution without key that has no other attempts.
        """
        execution = attempt.execution
        self._ledger.detach(attempt)
        self._detached.discard(attempt)
        await self._discard_acknowledged(execution)
        if execution.keyed or execution.attempts:
            return
        if execution.ended:
            grace_s = self._settings.finished_grace_s
            execution.retention_deadline = Deadline.after(self._clock, grace_s)
            self._ledger.schedule_expiry(execution)
        else:
            await self._runner.stop(execution, Reason.CANCELLED)

    async def cancel(self, message, link):
        """Stop a request whose caller left, unless it has a key or other attempts.

        The entry repeats the frame over new connections until an end arrives.
        """
        attempt_id = AttemptId(link.entry_incarnation, message.attempt)
        attempt = self._ledger.attempts.get(attempt_id)
        refusal = self._ledger.refusal(attempt_id)
        if refusal is not None:
            await link.send_end(attempt_id, refusal.end)
        elif attempt is None:
            await self._cancel_unknown(message, attempt_id, link)
        elif attempt.execution.keyed or len(attempt.execution.attempts) > 1:
            end = unknown(Reason.CANCELLED, "The request goes on for others.")
            await link.send_end(attempt_id, end)
            await self._drop_attempt(attempt)
        else:
            attempt.cancelled = True
            await self._attach(attempt, link)
            await self._discard_acknowledged(attempt.execution)
            await self._runner.stop(attempt.execution, Reason.CANCELLED)

    async def _cancel_unknown(self, message, attempt_id, link):
        # The start frame may still arrive on an older connection, or an earlier
        # incarnation of this agent may have sent the request to the target.
        end = unknown(Reason.CANCELLED, "Cancelled; no record of it.")
        deadline = Deadline.after(self._clock, self._settings.forget_grace_s)
        self._ledger.refuse(attempt_id, end, deadline)
        await link.send_end(attempt_id, end)
        call = resume_call(self._target, message.request_id, 0)
        if call is not None and not is_keyed(message):
            await curio.spawn(call.cancel, daemon=True)

    def detach_link(self, link):
        """Keep the attempts of a lost connection for up to `orphan_limit_s`."""
        for attempt in list(link.attempts):
            link.drop_attempt(attempt)
            attempt.link = None
            wait_s = self._settings.orphan_limit_s
            attempt.detached_deadline = Deadline.after(self._clock, wait_s)
            self._detached.add(attempt)

    async def expire(self):
        """Stop executions, and drop attempts and records, whose deadline passed."""
        for attempt in list(self._detached):
            if attempt.attempt_id not in self._ledger.attempts:
                self._detached.discard(attempt)
            elif attempt.detached_deadline.passed() and not attempt.execution.ended:
                await self._drop_attempt(attempt)
        run_queue = self._runner.run_queue
        for execution in [*run_queue.running, *run_queue.waiting()]:
            if _is_overdue(execution):
                await self._runner.stop(execution, Reason.DEADLINE_PASSED)
        self._ledger.expire()

    def is_drained(self):
        """Return whether nothing runs or waits and no end can still be delivered."""
        run_queue = self._runner.run_queue
        if run_queue.running or run_queue.waiting_count:
            return False
        attempts = self._ledger.attempts.values()
        return not any(_may_get_end(attempt) for attempt in attempts)


def _may_get_end(attempt):
    return attempt.link is not None or not attempt.detached_deadline.passed()


def _is_overdue(execution):
    # A request with a key that has started continues past its deadline, for retries.
    if execution.keyed and execution.task is not None:
        return execution.retention_deadline.passed()
    return execution.deadline.passed()
