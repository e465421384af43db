"""Continuous batching: every step generates one token for each running request."""

import heapq
import itertools
import time

import curio

from standins.tokens import DONE_EVENT, EVENTS, token_indices, whole_answer

MILLISECONDS_PER_SECOND = 1000


class Run:
    """One execution of a request.

    Parameters
    ----------
    request_id : str
        Id that the agent assigned.
    content : dict
        The request as parsed from JSON.
    priority : int
        0 is the most urgent.
    idempotency_key : str or None
        Idempotency key of the caller.
    """

    __slots__ = (
        "body",
        "cancelled",
        "changed",
        "content",
        "finished",
        "idempotency_key",
        "indices",
        "generated_count",
        "priority",
        "request_id",
        "streamed",
    )

    def __init__(self, request_id, content, priority, idempotency_key):
        self.request_id = request_id
        self.content = content
        self.priority = priority
        self.idempotency_key = idempotency_key
        self.indices = token_indices(content)
        self.streamed = bool(content.get("stream"))
        self.generated_count = 0
        self.body = bytearray()
        self.finished = False
        self.cancelled = False
        self.changed = curio.Event()

    def step(self):
        """Generate the next token; return whether the body or the state changed."""
        if self.generated_count < len(self.indices):
            if self.streamed:
                self.body += EVENTS[self.indices[self.generated_count]]
            self.generated_count += 1
        if self.generated_count < len(self.indices):
            return self.streamed
        self.body += DONE_EVENT if self.streamed else whole_answer(self.content)
        self.finished = True
        return True


class Batcher:
    """Runs requests in steps.

    Parameters
    ----------
    options : argparse.Namespace
        With ``step_ms`` and ``batch_capacity``.
    ledger : standins._ledger.Ledger
        Counts a run when its request joins the batch.
    """

    __slots__ = (
        "_arrived",
        "_ledger",
        "_arrival_numbers",
        "_waiting",
        "batch_capacity",
        "running",
        "stalled",
        "step_ms",
        "steps",
        "tokens",
    )

    def __init__(self, options, ledger):
        self.step_ms = options.step_ms
        self.batch_capacity = options.batch_capacity
        self.stalled = False
        self.running = []
        self.steps = 0
        self.tokens = 0
        self._ledger = ledger
        self._waiting = []
        self._arrival_numbers = itertools.count()
        self._arrived = curio.Event()

    @property
    def waiting_count(self):
        """Number of uncancelled requests that have not joined the batch."""
        return sum(not run.cancelled for _, _, run in self._waiting)

    async def add(self, run):
        """Queue a run behind all runs of the same or a more urgent priority."""
        heapq.heappush(self._waiting, (run.priority, next(self._arrival_numbers), run))
        await self._arrived.set()

    async def cancel(self, run):
        """End a run; a run that is still queued never starts."""
        run.cancelled = True
        await run.changed.set()

    async def run(self):
        """Step until cancelled."""
        next_step_at_s = time.monotonic()
        while True:
            if not self.running and not self._waiting:
                self._arrived.clear()
                await self._arrived.wait()
                next_step_at_s = time.monotonic()
            next_step_at_s += self.step_ms / MILLISECONDS_PER_SECOND
            left_s = next_step_at_s - time.monotonic()
            if left_s < 0:
                # An engine that falls behind its step time does not catch up by shorter
                # steps.
                next_step_at_s = time.monotonic()
            await curio.sleep(max(0.0, left_s))
            if not self.stalled:
                await self._step()

    async def _step(self):
        self._fill()
        changed = [run for run in self.running if run.step()]
        self.steps += 1
        self.tokens += len(self.running)
        for run in changed:
            if run.finished:
                self._ledger.count_finished(run.request_id)
            await run.changed.set()
        self.running = [run for run in self.running if not run.finished]

    def _fill(self):
        self.running = [run for run in self.running if not run.cancelled]
        while self._waiting and len(self.running) < self.batch_capacity:
            _, _, run = heapq.heappop(self._waiting)
            if run.cancelled:
                continue
            self._ledger.count_run(run.request_id, run.idempotency_key)
            self.running.append(run)
