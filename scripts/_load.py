"""Callers that judge every answer and retry as callers should."""

import random
import time

import curio

from scripts._caller_http import CallerConnection
from scripts._judging import judge, Verdict

MILLISECONDS_PER_SECOND = 1000
RETRY_WAIT_FIRST_S = 0.1
RETRY_WAIT_LIMIT_S = 1.0
ANSWER_GRACE_S = 1.0
"""Past its deadline a caller listens this long for the word of the system."""
FINAL_VERDICTS = (
    Verdict.ANSWERED,
    Verdict.FAILED,
    Verdict.WRONG_BYTES,
    Verdict.TRUNCATED_AS_WHOLE,
)


class Call:
    """One request as its caller sees it, with all attempts at it.

    Parameters
    ----------
    kind : str
        "draft" or "alert"; for the report.
    account_key : str
        Bearer key.
    target : str
        Path.
    body : bytes
        The whole body.
    timeout_s : float
        Time that the caller gives it.
    idempotent : bool
        Whether it may run twice.
    idempotency_key : str or None
        Key under which it is retried.
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
        """Verdict of the last attempt that an entry saw; UNKNOWN before the first.

        That a later attempt found no entry says nothing of the earlier ones.
        """
        if not self.attempts:
            return Verdict.UNKNOWN
        seen = [attempt for attempt in self.attempts if attempt.answer.sent]
        return (seen or self.attempts)[-1].verdict

    def headers(self):
        """Return the headers, the same for each attempt."""
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
    """Sends calls to the entries and collects what came of them.

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
        """Carry a call through to its end and note it."""
        self.calls.append(call)
        call.issued_at_ms = time.time_ns() // 1_000_000
        deadline_s = time.monotonic() + call.timeout_s
        address = self._random.choice(self._entries)
        retry_wait_s = RETRY_WAIT_FIRST_S
        while True:
            attempt = await self._attempt(call, address, deadline_s)
            call.attempts.append(attempt)
            if not _worth_retrying(call, attempt):
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


def _worth_retrying(call, attempt):
    # Without a key nothing tells the system that two requests are one, so that only a
    # request that never left may be sent again.
    if attempt.verdict in FINAL_VERDICTS:
        return False
    return call.idempotency_key is not None or not attempt.answer.sent
