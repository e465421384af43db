"""Service of a stand-in server under steady load, and the record of its runs.

Paths that begin with ``/stream/`` are answered by a stream of `EVENT_COUNT` events,
which resumes after ``Last-Event-Id``; other paths by one line with the request id and
the path.  A request whose body begins with `ENDING_MARK` ends the process.  ``GET
/health`` is not recorded as a request; its answer states how long the server stays
cold.
"""

import json
import math
import os
import random
import sys
import time

import curio
from curio import socket

from standins.platform_behaviours import (
    answer_bytes,
    answer_invalid_bytes,
    CLOSE,
    CRASH_EXIT_STATUS,
    event,
    sealed,
)

SLOT_COUNT = 6
WORK_S = 0.04
EVENT_COUNT = 8
EVENT_GAP_S = 0.03
STREAM_PATH = "/stream/"
HEALTH_PATH = "/health"
MILLISECONDS_PER_SECOND = 1000
# A request whose body begins with this mark ends the server process.
ENDING_MARK = b"ends the server"
CRASH_AFTER_S = 0.02


def expected_body(request_id, path):
    """Return the body of a complete answer to a request."""
    if path.startswith(STREAM_PATH):
        return b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
    return f"{request_id} {path}\n".encode()


class Run:
    """Record of a request at a server.

    Parameters
    ----------
    request_id, path, account : str
        Id and path of the request, and the client account that the gateway stated.
    arrived_s : float
        Monotonic time of arrival; all processes of a host share this clock.

    Attributes
    ----------
    ran : bool
        Whether the server started to process it.
    ended_s : float or None
        When processing ended, monotonic seconds.
    answered : bool
        Whether a complete answer was sent.
    is_misdirected : bool
        Whether the request was meant for another instance.
    backoff_asked_s : float
        Back-off that its refusal requested, seconds.
    refused_s : float or None
        When that refusal had been sent, monotonic seconds.
    said_leaving : bool
        Whether its answer announced that the server leaves.
    limit_named_s : float or None
        When an answer that states a limit, or the head of a streamed answer, had been
        sent, monotonic seconds.
    """

    __slots__ = (
        "account",
        "answered",
        "arrived_s",
        "ended_s",
        "is_misdirected",
        "limit_named_s",
        "path",
        "ran",
        "refused_s",
        "request_id",
        "backoff_asked_s",
        "said_leaving",
    )

    def __init__(self, request_id, path, account, arrived_s):
        self.request_id = request_id
        self.path = path
        self.account = account
        self.arrived_s = arrived_s
        self.ran = False
        self.ended_s = None
        self.answered = False
        self.is_misdirected = False
        self.backoff_asked_s = 0.0
        self.refused_s = None
        self.said_leaving = False
        self.limit_named_s = None

    def as_json(self):
        """Return the record as a JSON value."""
        return {name: getattr(self, name) for name in self.__slots__}


class SteadyService:
    """Behaviour of a server with limited slots, a service time and random faults.

    Parameters
    ----------
    instance_id : str
        Requests for another instance are declined.

    Attributes
    ----------
    runs : list of Run
        Records of all requests, in the order of arrival.
    limit : str or None
        Limit that its answers state, requests per second.
    backoff : list of float or None
        Share of the requests that it declines, and the back-off that it then requests,
        seconds.
    leaving : bool
        Whether its answers announce that it leaves.
    cold_until_s : float
        Monotonic time until which it is cold.
    """

    __slots__ = (
        "_instance_id",
        "_random",
        "_running",
        "_fault_shares",
        "cold_until_s",
        "leaving",
        "limit",
        "backoff",
        "runs",
    )

    def __init__(self, instance_id, cold_until_s=0.0):
        self._instance_id = instance_id
        self.cold_until_s = cold_until_s
        self._random = random.Random(0)
        self._fault_shares = {}
        self._running = 0
        self.limit = None
        self.backoff = None
        self.leaving = False
        self.runs = []

    def set_faults(self, shares, seed):
        """Set the share of requests that meets each fault of `_FAULTS`."""
        unknown = set(shares) - set(_FAULTS)
        if unknown:
            raise ValueError(f"unknown faults: {', '.join(sorted(unknown))}")
        self._fault_shares = shares
        self._random = random.Random(seed)

    def as_json(self):
        """Return the records of all requests as a JSON value."""
        return {"runs": [run.as_json() for run in self.runs]}

    async def __call__(self, server, request, client):
        """Serve one request."""
        path = request.line.split()[1]
        if path == HEALTH_PATH:
            headers = self._health_headers()
            await client.sendall(answer_bytes(request.request_id, headers=headers))
            return None
        run = Run(
            request.request_id,
            path,
            request.headers.get("x-tenant", ""),
            time.monotonic(),
        )
        self.runs.append(run)
        if request.headers.get("x-expect-instance", self._instance_id) != (
            self._instance_id
        ):
            run.is_misdirected = True
            return await self._decline(run, request, client, "421 Misdirected Request")
        run.said_leaving = self.leaving
        if self.backoff is not None and self._random.random() < self.backoff[0]:
            return await self._request_backoff(run, request, client)
        if self._running >= SLOT_COUNT:
            return await self._decline(run, request, client, "503 Service Unavailable")
        self._running += 1
        run.ran = True
        try:
            return await self._serve(run, request, client)
        finally:
            run.ended_s = time.monotonic()
            self._running -= 1

    async def _request_backoff(self, run, request, client):
        run.backoff_asked_s = self.backoff[1]
        backoff = f"Retry-After: {run.backoff_asked_s}"
        status = "503 Service Unavailable"
        await self._decline(run, request, client, status, [backoff])
        run.refused_s = time.monotonic()

    async def _decline(self, run, request, client, status, headers=()):
        headers = ["X-Not-Executed: 1", *headers, *self._state_headers()]
        states_limit = self.limit is not None
        await client.sendall(
            answer_bytes(request.request_id, status, b"", headers),
        )
        _record_limit_time(run, states_limit)

    async def _serve(self, run, request, client):
        if request.body.startswith(ENDING_MARK):
            await curio.sleep(CRASH_AFTER_S)
            _end_process(run)
        fault = self._draw_fault()
        if run.path.startswith(STREAM_PATH):
            return await self._stream(run, request, client, fault)
        if await _disconnected_within(client, WORK_S):
            return CLOSE
        body = expected_body(request.request_id, run.path)
        headers = sealed(self._state_headers())
        answer = answer_bytes(request.request_id, body=body, headers=headers)
        states_limit = self.limit is not None
        if fault is not None:
            return await _FAULTS[fault](answer, request, client)
        await client.sendall(answer)
        run.answered = True
        _record_limit_time(run, states_limit)
        return None

    async def _stream(self, run, request, client, fault):
        first = int(request.headers.get("last-event-id", 0)) + 1
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request.request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *sealed([f"X-Instance-Id: {self._instance_id}", *self._limit_headers()]),
        ]
        states_limit = self.limit is not None
        await client.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        _record_limit_time(run, states_limit)
        cut_at = None
        if fault is not None:
            cut_at = self._random.randint(first, EVENT_COUNT)
        for number in range(first, EVENT_COUNT + 1):
            if await _disconnected_within(client, EVENT_GAP_S):
                return CLOSE
            data = event(number)
            if number == cut_at:
                await client.sendall(f"{len(data):x}\r\n".encode() + data[:5])
                return CLOSE
            await client.sendall(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await client.sendall(b"0\r\n\r\n")
        run.answered = True
        return None

    def _health_headers(self):
        left_s = self.cold_until_s - time.monotonic()
        if left_s <= 0:
            return []
        return [f"X-Cold-Ms: {math.ceil(left_s * MILLISECONDS_PER_SECOND)}"]

    def _draw_fault(self):
        drawn = self._random.random()
        for name, share in self._fault_shares.items():
            if drawn < share:
                return name
            drawn -= share
        return None

    def _state_headers(self):
        load = f"X-Server-Load: {self._running},0,{SLOT_COUNT}"
        return [load, *self._limit_headers()]

    def _limit_headers(self):
        headers = [] if self.limit is None else [f"Server-Limit: {self.limit}"]
        return [*headers, "Server-Leaving: 1"] if self.leaving else headers


def _record_limit_time(run, states_limit):
    if states_limit:
        run.limit_named_s = time.monotonic()


def _end_process(run):
    """End the process as a crash does, and log the request that caused it."""
    line = {"ended_under": run.request_id, "arrived_s": run.arrived_s}
    print(json.dumps(line), file=sys.stderr, flush=True)
    os._exit(CRASH_EXIT_STATUS)


async def _disconnected_within(client, wait_s):
    """Wait; return True at once if the caller closes its connection."""
    peeked = await curio.ignore_after(wait_s, client.recv, 1, socket.MSG_PEEK)
    return peeked == b""


async def _lose(answer, request, client):
    return CLOSE


async def _cut(answer, request, client):
    await client.sendall(answer[:-2])
    return CLOSE


async def _send_twice(answer, request, client):
    await client.sendall(answer + answer)


async def _send_another_first(answer, request, client):
    other = answer_bytes("another-request", body=b"not yours\n", headers=sealed())
    await client.sendall(other + answer)


async def _send_invalid_bytes(answer, request, client):
    await answer_invalid_bytes(None, request, client)


async def _hang(answer, request, client):
    while await client.recv(1):
        pass
    return CLOSE


async def _fail(answer, request, client):
    await client.sendall(
        answer_bytes(
            request.request_id, "500 Internal Server Error", b"sorry\n", sealed()
        )
    )


_FAULTS = {
    "lose": _lose,
    "cut": _cut,
    "twice": _send_twice,
    "another": _send_another_first,
    "nonsense": _send_invalid_bytes,
    "hang": _hang,
    "fail": _fail,
}
