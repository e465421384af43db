"""Process that acts as callers in the path measurement.

It is started as ``python -m siskinthread.measurement._path_load ORDER`` from a
checkout, where ORDER is a `LoadOrder` in JSON, and writes a `LoadResult` in JSON to
the file ``result_path`` of the order.
"""

import json
import os
import sys
import time
from pathlib import Path

import curio

from scripts._caller_http import CallerConnection
from scripts._cluster_configuration import ACCOUNTS, MODEL
from siskinthread.measurement._first_token import next_step_wait_s
from siskinthread.measurement._path_schedule import LoadLevel, schedule
from siskinthread.measurement._process_usage import core_share, read_usage
from standins.tokens import DONE_EVENT, expected_answer

REQUESTS_PATH = "/v1/requests"
CANCEL_WAIT_S = 5.0
COMPLETIONS_PATH = "/v1/chat/completions"
COMMON_HEADERS = (
    ("authorization", f"Bearer {ACCOUNTS[0].key}"),
    ("content-type", "application/json"),
)
EVENT_END = b"\n\n"
STATUS_FINE = 200
PROMPT_TEXT = "The barrier at the crossing stays down; water stands by the relay box. "
PROMPT_REPEATS = 14
"""Number of repeats that give a prompt of about a thousand characters."""


class LoadOrder:
    """Parameters of a caller process.

    Parameters
    ----------
    level : LoadLevel
        Load of all caller processes together.
    part, parts : int
        Index of the part of the requests that this process sends, and number of parts.
    addresses : list
        IP number and TCP port of each server; requests use them in round-robin order.
    cancels : bool
        Whether to cancel unfinished requests.  It is needed if the servers are engines,
        which otherwise generate each answer to its end.
    starts_at_s : float
        Start of the load, monotonic seconds.
    result_path : str
        File for the result.
    """

    __slots__ = (
        "addresses",
        "cancels",
        "level",
        "part",
        "parts",
        "result_path",
        "starts_at_s",
    )

    def __init__(
        self, level, part, parts, addresses, cancels, starts_at_s, result_path
    ):
        self.cancels = cancels
        self.level = level
        self.part = part
        self.parts = parts
        self.addresses = addresses
        self.starts_at_s = starts_at_s
        self.result_path = result_path

    @property
    def window_starts_at_s(self):
        """Start of the measured window, monotonic seconds."""
        return self.starts_at_s + self.level.ramp_s

    @property
    def window_ends_at_s(self):
        """End of the measured window and of the load, monotonic seconds."""
        return self.window_starts_at_s + self.level.window_s

    def requests(self):
        """Return the `ScheduledRequest` objects of this part."""
        return schedule(self.level)[self.part :: self.parts]

    def to_json(self):
        """Return the order encoded as JSON."""
        values = {name: getattr(self, name) for name in self.__slots__}
        level = {name: getattr(self.level, name) for name in self.level.__slots__}
        return json.dumps({**values, "level": level})

    @classmethod
    def from_json(cls, text):
        """Return the order that a JSON text encodes."""
        values = json.loads(text)
        return cls(**{**values, "level": LoadLevel(**values["level"])})


class LoadResult:
    """Results of a caller process.

    Attributes
    ----------
    first_token_times_s, next_step_waits_s : list of float
        Time to first token, and wait for the next step of the engine, of each arrival
        of the steady state that got a token, seconds.
    whole_count, cut_count : int
        Number of complete answers, and of answers cut off by the end of the load.
    wrong_count : int
        Number of answers with unexpected bytes, or that end too early.
    failed_count : int
        Number of requests with a status other than 200, or without a response.
    waiting_count : int
        Number of arrivals of the steady state without a token at the end.
    token_count : int
        Number of tokens that arrived within the window.
    core_share : float
        Share of a core that the caller process used.
    """

    __slots__ = (
        "core_share",
        "cut_count",
        "failed_count",
        "first_token_times_s",
        "next_step_waits_s",
        "token_count",
        "waiting_count",
        "whole_count",
        "wrong_count",
    )

    def __init__(self):
        self.first_token_times_s = []
        self.next_step_waits_s = []
        self.whole_count = 0
        self.cut_count = 0
        self.wrong_count = 0
        self.failed_count = 0
        self.waiting_count = 0
        self.token_count = 0
        self.core_share = 0.0

    def add(self, order, request, body, answer):
        """Check the bytes of an answer and count it."""
        if answer.status is None and time.monotonic() >= order.window_ends_at_s:
            self.waiting_count += request.sampled
            return
        if answer.status != STATUS_FINE:
            self.failed_count += 1
            return
        self._check(body, answer)
        self.token_count += _tokens_within(order, answer)
        if not request.sampled:
            return
        if not answer.arrivals_s:
            self.waiting_count += 1
            return
        self.first_token_times_s.append(answer.arrivals_s[0] - answer.sent_at_s)
        self.next_step_waits_s.append(
            next_step_wait_s(answer.sent_at_s, answer.arrivals_s, order.level.step_s)
        )

    def to_json(self):
        """Return the result encoded as JSON."""
        return json.dumps({name: getattr(self, name) for name in self.__slots__})

    @classmethod
    def from_json(cls, text):
        """Return the result that a JSON text encodes."""
        result = cls()
        for name, value in json.loads(text).items():
            setattr(result, name, value)
        return result

    def _check(self, body, answer):
        expected = expected_answer(json.loads(body))
        if answer.whole:
            self.whole_count += 1
            fine = answer.body == expected
        else:
            self.cut_count += 1
            fine = expected.startswith(answer.body)
        if not fine:
            self.wrong_count += 1


def _tokens_within(order, answer):
    """Return the number of tokens of an answer that arrived within the window.

    Several tokens may arrive in one piece when a process is too slow, so the tokens
    count as evenly distributed over the pieces of the answer.
    """
    arrivals_s = answer.arrivals_s
    if not arrivals_s:
        return 0
    within = sum(
        order.window_starts_at_s <= arrival_s < order.window_ends_at_s
        for arrival_s in arrivals_s
    )
    tokens = answer.body.count(EVENT_END) - answer.body.count(DONE_EVENT)
    return tokens * within / len(arrivals_s)


class LoadRun:
    """Sends the requests of an order at their scheduled times.

    Parameters
    ----------
    order : LoadOrder
        Requests to send, and their servers.
    """

    __slots__ = ("_idle", "_order", "_result")

    def __init__(self, order):
        self._order = order
        self._result = LoadResult()
        self._idle = {tuple(address): [] for address in order.addresses}

    async def run(self):
        """Send all requests, wait for their ends and return the `LoadResult`."""
        order = self._order
        usage = None
        async with curio.TaskGroup(wait=all) as group:
            for request in order.requests():
                await _sleep_until(order.starts_at_s + request.start_s)
                if usage is None and time.monotonic() >= order.window_starts_at_s:
                    usage = read_usage(os.getpid())
                await group.spawn(self._send, request)
            await _sleep_until(order.window_ends_at_s)
            self._result.core_share = core_share(usage, read_usage(os.getpid()))
        return self._result

    async def _send(self, request):
        order = self._order
        address = tuple(order.addresses[request.number % len(order.addresses)])
        idle = self._idle[address]
        connection = idle.pop() if idle else CallerConnection(address)
        body = _request_body(order, request)
        wait_s = max(0.0, order.window_ends_at_s - time.monotonic())
        request_id = f"{order.level.name}-{request.number}"
        headers = [*COMMON_HEADERS, ("x-request-id", request_id)]
        answer = await connection.call("POST", COMPLETIONS_PATH, headers, body, wait_s)
        if order.cancels and not answer.whole:
            target = f"{REQUESTS_PATH}/{request_id}"
            await connection.call("DELETE", target, [], b"", CANCEL_WAIT_S)
        idle.append(connection)
        self._result.add(order, request, body, answer)


def _request_body(order, request):
    prompt = f"{PROMPT_TEXT * PROMPT_REPEATS}{order.level.name} {request.number}"
    content = {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": request.token_count,
        "stream": True,
    }
    return json.dumps(content).encode()


async def _sleep_until(time_s):
    left_s = time_s - time.monotonic()
    if left_s > 0:
        await curio.sleep(left_s)


def main():
    """Run the load of the order in the first argument."""
    order = LoadOrder.from_json(sys.argv[1])
    result = curio.run(LoadRun(order).run)
    Path(order.result_path).write_text(result.to_json())


if __name__ == "__main__":
    main()
