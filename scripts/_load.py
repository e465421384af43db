"""Callers that judge every answer and retry only where that is safe."""

import random
import time

import curio

from scripts._caller_http import CallerConnection
from scripts._judging import judge, Verdict

MILLISECONDS_PER_SECOND = 1000
RETRY_WAIT_FIRST_S = 0.1
RETRY_WAIT_LIMIT_S = 1.0
ANSWER_GRACE_S = 1.0
"""Time after its deadline for which a caller still waits for the final outcome."""
FINAL_VERDICTS = (
    Verdict.ANSWERED,
    Verdict.FAILED,
    Verdict.WRONG_BYTES,
    Verdict.TRUNCATED_AS_WHOLE,
)


class Call:
    """A request from the caller's view, with all of its attempts.

    Parameters
    ----------
    kind : str
        "draft" or "alert"; for the report.
    account_key : str
        Bearer key of the client account.
    target : str
        Path of the request.
    body : bytes
        Complete body.
    timeout_s : float
        Time from issue to the deadline, seconds.
    idempotent : bool
        Whether the request may run twice.
    idempotency_key : str or None
        Key under which the request is retried.
    """

    __slots__ = (
        "account_key",
        "attempts",
        "body",
        "idempotency_key",
        "idempotent",
        "issued_at_ms",
        "kind",
        "target",
        "timeout_s",
    )

    def __init__(
        self,
        kind,
        account_key,
        target,
        body,
        timeout_s,
        idempotent=False,
        idempotency_key=None,
    ):
        self.kind = kind
        self.account_key = account_key
        self.target = target
        self.body = body
        self.timeout_s = timeout_s
        self.idempotent = idempotent
        self.idempotency_key = idempotency_key
        self.issued_at_ms = None
        self.attempts = []

    @property
    def verdict(self):
        """Verdict of the last attempt that was sent; UNKNOWN before the first.

        An attempt without a connection leaves the verdict of earlier attempts.
        """
        if not self.attempts:
            return Verdict.UNKNOWN
        sent_attempts = [attempt for attempt in self.attempts if attempt.answer.sent]
        return (sent_attempts or self.attempts)[-1].verdict

    def headers(self):
        """Return the headers, which are the same for each attempt."""
        headers = [
            ("authorization", f"Bearer {self.account_key}"),
            ("content-type", "application/json"),
            ("siskinthread-deadline", str(self._deadline_ms())),
        ]
        if self.idempotency_key is not None:
            headers.append(("idempotency-key", self.idempotency_key))
            headers.append(("siskinthread-issued-at", str(self.issued_at_ms)))
        else:
            headers.append(
                ("siskinthread-idempotent", "yes" if self.idempotent else "no")
            )
        return headers

    def _deadline_ms(self):
        return self.issued_at_ms + round(self.timeout_s * MILLISECONDS_PER_SECOND)


class Callers:
    """Sends calls to the entries and collects their attempts.

    Parameters
    ----------
    entries : list of tuple
        IP number and TCP port of each entry.
    seed : int
        Seed of the choice of entries.
    """

    __slots__ = ("_entries", "_idle", "_random", "calls")

    def __init__(self, entries, seed=1):
        self._entries = list(entries)
        self._idle = {address: [] for address in self._entries}
        self._random = random.Random(seed)
        self.calls = []

    async def make(self, call):
        """Send a call with retries until it is final, and record it."""
        self.calls.append(call)
        call.issued_at_ms = time.time_ns() // 1_000_000
        deadline_s = time.monotonic() + call.timeout_s
        address = self._random.choice(self._entries)
        retry_wait_s = RETRY_WAIT_FIRST_S
        while True:
            attempt = await self._attempt(call, address, deadline_s)
            call.attempts.append(attempt)
            if not _may_retry(call, attempt):
                return
            if time.monotonic() + retry_wait_s >= deadline_s:
                return
            await curio.sleep(retry_wait_s)
            retry_wait_s = min(2 * retry_wait_s, RETRY_WAIT_LIMIT_S)
            address = self._other_entry(address)

    async def close(self):
        """Close the idle connections."""
        for connections in self._idle.values():
            while connections:
                await connections.pop().close()

    async def _attempt(self, call, address, deadline_s):
        idle = self._idle[address]
        connection = idle.pop() if idle else CallerConnection(address)
        started_at_s = time.monotonic()
        wait_s = max(0.05, deadline_s - started_at_s + ANSWER_GRACE_S)
        answer = await connection.call(
            "POST", call.target, call.headers(), call.body, wait_s
        )
        idle.append(connection)
        attempt = judge(call, answer)
        attempt.entry = address
        attempt.started_at_s = started_at_s
        attempt.ended_at_s = time.monotonic()
        return attempt

    def _other_entry(self, address):
        others = [entry for entry in self._entries if entry != address]
        return self._random.choice(others or self._entries)


def _may_retry(call, attempt):
    # Without a key the system can't detect that two requests are the same, so only a
    # request that was never sent may be retried.
    if attempt.verdict in FINAL_VERDICTS:
        return False
    return call.idempotency_key is not None or not attempt.answer.sent
