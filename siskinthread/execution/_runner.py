"""Runs executions at the target."""

import functools

import curio

from siskinthread.execution._keys import refused
from siskinthread.execution._start_rules import overloaded
from siskinthread.observability import part_logger
from siskinthread.outcomes import End, Head, Outcome, Part, Reason
from siskinthread.targets import open_call

_logger = part_logger("execution")


class Runner:
    """Runs executions, each in a task of its own.

    Parameters
    ----------
    settings : ExecutionSettings
        Limits.
    target : Target
        Where they run.
    ledger : Ledger
        Records the outcomes.
    turns : Turns
        Decides who runs.
    progress : Progress
        Is told of each event from the target.
    metrics : ExecutionMetrics
        Counters.
    """

    __slots__ = (
        "_closed",
        "_ledger",
        "_metrics",
        "_progress",
        "_settings",
        "_target",
        "turns",
    )

    def __init__(self, settings, target, ledger, turns, progress, metrics):
        self._settings = settings
        self._target = target
        self._ledger = ledger
        self._progress = progress
        self._metrics = metrics
        self._closed = False
        self.turns = turns

    async def follow_up(self, execution, placed):
        """Do what the placing of a new execution entails.

        Parameters
        ----------
        execution : Execution
            The new one, with its first attempt attached.
        placed : Placed
            How it was placed.
        """
        if placed.runs:
            await self._begin(execution)
        if placed.displaced is not None:
            await self.finish(placed.displaced, overloaded(self._settings))

    async def go_on(self, execution, call):
        """Run an execution whose call goes on since an earlier incarnation."""
        execution.call = call
        self.turns.running.add(execution)
        execution.task = await curio.spawn(self._run, execution, daemon=True)

    async def _begin(self, execution):
        execution.call = open_call(self._target, execution.request)
        execution.task = await curio.spawn(self._run, execution, daemon=True)

    async def _run(self, execution):
        self._progress.note()
        try:
            await self._relay(execution)
        except curio.CancelledError:
            await self._finish_stopped(execution)
        except Exception:
            # A fault of this program in one request must not leave its callers
            # waiting for ever.
            _logger.exception("Request %s failed inside.", execution.request_id)
            outcome = await execution.call.cancel()
            await self.finish(execution, End(outcome, Reason.TARGET_FAILED))

    async def _relay(self, execution):
        call = execution.call
        while not execution.ended:
            event = await call.next_event()
            self._progress.note()
            await _take(event, execution, self)
            if execution.buffer.size_bytes >= self._settings.stream_buffer_limit_bytes:
                await self._wait_for_room(execution)

    async def _wait_for_room(self, execution):
        limit_bytes = self._settings.stream_buffer_limit_bytes
        if execution.keeps_whole:
            if execution.buffer.size_bytes <= self._settings.keyed_answer_limit_bytes:
                return
            # The answer can't be kept for retries; its present readers still get it.
            execution.keeps_whole = False
            execution.free_acknowledged()
        while execution.buffer.size_bytes >= limit_bytes and not execution.ended:
            if execution.keyed and not execution.attempts:
                execution.buffer.free(execution.buffer.end_bytes)
                return
            execution.room.clear()
            await execution.room.wait()
            self._progress.note()

    async def _finish_stopped(self, execution):
        if execution.ended:
            return
        outcome = await execution.call.cancel()
        reason = execution.stopping_reason or Reason.CANCELLED
        await self.finish(execution, End(outcome, reason, "Stopped before its end."))

    async def stop(self, execution, reason):
        """Cancel an execution that runs or waits."""
        if execution.ended or execution.stopping_reason is not None:
            return
        execution.stopping_reason = reason
        if execution.task is None:
            await self.finish(execution, refused(reason, "Stopped while it waited."))
        else:
            await execution.task.cancel(blocking=False)

    def open(self):
        """Let executions begin, also after `close`."""
        self._closed = False

    async def stop_all(self, reason):
        """Cancel everything; what waits is refused and does not run."""
        for execution in [*self.turns.waiting(), *self.turns.running]:
            await self.stop(execution, reason)

    async def close(self):
        """End every task; nothing begins any more."""
        self._closed = True
        tasks = [execution.task for execution in self.turns.running]
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()

    async def finish(self, execution, end):
        """Record the outcome, tell the attempts and let the next one run."""
        attempts = list(execution.attempts.values())
        links = [attempt.link for attempt in attempts]
        execution.task = None
        execution.call = None
        self._ledger.end(execution, end)
        self.turns.leave(execution)
        self._metrics.ends.labels(end.outcome.label, str(end.reason)).inc()
        for attempt, link in zip(attempts, links, strict=True):
            if link is None:
                continue
            if execution.refused:
                await link.send_end(attempt.attempt_id, end)
            else:
                await link.mark(attempt)
        await self._run_next()

    async def _run_next(self):
        while not self._closed:
            execution = self.turns.next_to_run()
            if execution is None:
                return
            if execution.deadline.passed():
                end = refused(Reason.DEADLINE_PASSED, "It waited past its deadline.")
                await self.finish(execution, end)
            else:
                await self._begin(execution)


async def wake_attempts(execution):
    """Let the links of all attempts look for something to send."""
    for attempt in list(execution.attempts.values()):
        if attempt.link is not None:
            await attempt.link.mark(attempt)


@functools.singledispatch
async def _take(event, execution, runner):
    raise TypeError(f"unknown event {type(event).__name__}")


@_take.register
async def _(event: Head, execution, runner):
    execution.head = event
    await wake_attempts(execution)


@_take.register
async def _(event: Part, execution, runner):
    execution.buffer.append(event.data)
    await wake_attempts(execution)


@_take.register
async def _(event: End, execution, runner):
    asked = execution.unknown_reason is not None and execution.head is None
    if asked and event.outcome == Outcome.UNKNOWN:
        event.reason = execution.unknown_reason
    await runner.finish(execution, event)
