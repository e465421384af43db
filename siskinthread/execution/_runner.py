"""Relays the responses of the target into executions."""

import functools

import curio

from siskinthread.execution._keys import refused
from siskinthread.execution._start_rules import overloaded
from siskinthread.observability import part_logger
from siskinthread.outcomes import End, Head, Outcome, Part, Reason
from siskinthread.targets import open_call

_logger = part_logger("execution")


class Runner:
    """Runs each execution in a task of its own.

    Parameters
    ----------
    settings : ExecutionSettings
        Limits of buffers.
    target : Target
        The target to which requests are sent.
    ledger : Ledger
        Records the outcomes.
    run_queue : RunQueue
        Decides which executions run.
    stall_detector : StallDetector
        Notified of each event from the target.
    metrics : ExecutionMetrics
        Counter of outcomes.
    """

    __slots__ = (
        "_closed",
        "_ledger",
        "_metrics",
        "_stall_detector",
        "_settings",
        "_target",
        "run_queue",
    )

    def __init__(self, settings, target, ledger, run_queue, stall_detector, metrics):
        self._settings = settings
        self._target = target
        self._ledger = ledger
        self._stall_detector = stall_detector
        self._metrics = metrics
        self._closed = False
        self.run_queue = run_queue

    async def apply_placement(self, execution, placement):
        """Start an admitted execution, and refuse the execution that it displaced.

        Parameters
        ----------
        execution : Execution
            The new execution, with its first attempt attached.
        placement : Placement
            Result of `RunQueue.admit`.
        """
        if placement.runs:
            await self._start_call(execution)
        if placement.displaced is not None:
            await self.finish(placement.displaced, overloaded(self._settings))

    async def run_resumed(self, execution, call):
        """Run an execution whose call was opened by an earlier incarnation."""
        execution.call = call
        self.run_queue.running.add(execution)
        execution.task = await curio.spawn(self._run, execution, daemon=True)

    async def _start_call(self, execution):
        execution.call = open_call(self._target, execution.request)
        execution.task = await curio.spawn(self._run, execution, daemon=True)

    async def _run(self, execution):
        self._stall_detector.note_progress()
        try:
            await self._relay(execution)
        except curio.CancelledError:
            await self._finish_cancelled(execution)
        except Exception:
            # An unexpected error must not leave the callers of the request waiting
            # for ever.
            _logger.exception("Unexpected error in request %s.", execution.request_id)
            outcome = await execution.call.cancel()
            await self.finish(execution, End(outcome, Reason.TARGET_FAILED))

    async def _relay(self, execution):
        call = execution.call
        while not execution.ended:
            event = await call.next_event()
            self._stall_detector.note_progress()
            await _handle_event(event, execution, self)
            if execution.buffer.size_bytes >= self._settings.stream_buffer_limit_bytes:
                await self._wait_for_buffer_space(execution)

    async def _wait_for_buffer_space(self, execution):
        limit_bytes = self._settings.stream_buffer_limit_bytes
        if execution.retains_body:
            if execution.buffer.size_bytes <= self._settings.keyed_answer_limit_bytes:
                return
            # The answer is too long to be kept for retries.  Attempts that are
            # attached now still get all of it.
            execution.retains_body = False
            execution.discard_acknowledged()
        while execution.buffer.size_bytes >= limit_bytes and not execution.ended:
            if execution.keyed and not execution.attempts:
                execution.buffer.discard_before(execution.buffer.end_bytes)
                return
            execution.space_freed.clear()
            await execution.space_freed.wait()
            self._stall_detector.note_progress()

    async def _finish_cancelled(self, execution):
        if execution.ended:
            return
        outcome = await execution.call.cancel()
        reason = execution.cancel_reason or Reason.CANCELLED
        await self.finish(execution, End(outcome, reason, "Stopped before its end."))

    async def stop(self, execution, reason):
        """Cancel an execution that runs or waits."""
        if execution.ended or execution.cancel_reason is not None:
            return
        execution.cancel_reason = reason
        if execution.task is None:
            await self.finish(execution, refused(reason, "Stopped while it waited."))
        else:
            await execution.task.cancel(blocking=False)

    def open(self):
        """Allow executions to start, also after `close`."""
        self._closed = False

    async def stop_all(self, reason):
        """Cancel all executions; those that wait are refused and do not run."""
        for execution in [*self.run_queue.waiting(), *self.run_queue.running]:
            await self.stop(execution, reason)

    async def close(self):
        """Cancel all tasks and let no execution start until `open`."""
        self._closed = True
        tasks = [execution.task for execution in self.run_queue.running]
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()

    async def finish(self, execution, end):
        """Record the outcome, report it to all attempts and run the next execution."""
        attempts = list(execution.attempts.values())
        links = [attempt.link for attempt in attempts]
        execution.task = None
        execution.call = None
        self._ledger.end(execution, end)
        self.run_queue.remove(execution)
        self._metrics.ends.labels(end.outcome.label, str(end.reason)).inc()
        for attempt, link in zip(attempts, links, strict=True):
            if link is None:
                continue
            if execution.refused:
                await link.send_end(attempt.attempt_id, end)
            else:
                await link.schedule_write(attempt)
        await self._run_next()

    async def _run_next(self):
        while not self._closed:
            execution = self.run_queue.next_to_run()
            if execution is None:
                return
            if execution.deadline.passed():
                end = refused(Reason.DEADLINE_PASSED, "It waited past its deadline.")
                await self.finish(execution, end)
            else:
                await self._start_call(execution)


async def wake_attempts(execution):
    """Schedule a write on the links of all attempts."""
    for attempt in list(execution.attempts.values()):
        if attempt.link is not None:
            await attempt.link.schedule_write(attempt)


@functools.singledispatch
async def _handle_event(event, execution, runner):
    raise TypeError(f"unknown event {type(event).__name__}")


@_handle_event.register
async def _(event: Head, execution, runner):
    execution.head = event
    await wake_attempts(execution)


@_handle_event.register
async def _(event: Part, execution, runner):
    execution.buffer.append(event.data)
    await wake_attempts(execution)


@_handle_event.register
async def _(event: End, execution, runner):
    is_query = execution.unknown_reason is not None and execution.head is None
    if is_query and event.outcome == Outcome.UNKNOWN:
        event.reason = execution.unknown_reason
    await runner.finish(execution, event)
