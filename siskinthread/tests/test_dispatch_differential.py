"""Differential test of dispatch against a sequential reference model."""

import enum
import random

import curio
import pytest

from siskinthread.dispatch.tests.fakes import Bench, FakeStatus, HEAD
from siskinthread.outcomes import End, Outcome, Part, Reason

REQUEST_COUNT = 400
BODY = b"the whole answer"
PARTIAL_BODY_BYTES = 5


class TargetBehavior(enum.Enum):
    """Behavior of a target in one attempt.

    The values are whether the target runs the request, the part of the body that it
    sends (``None`` without a head), the outcome and the reason.
    """

    ANSWER = (True, BODY, Outcome.ANSWERED, Reason.COMPLETE)
    REFUSE = (False, None, Outcome.REFUSED_NOT_RUN, Reason.LEAVING)
    REFUSE_WRONG_HOME = (False, None, Outcome.REFUSED_NOT_RUN, Reason.WRONG_HOME)
    REFUSE_PERMANENTLY = (False, None, Outcome.REFUSED_NOT_RUN, Reason.BAD_REQUEST)
    FAIL_BEFORE_HEAD = (True, None, Outcome.FAILED_RAN, Reason.TARGET_FAILED)
    FAIL_AFTER_HEAD = (True, b"", Outcome.FAILED_RAN, Reason.TARGET_FAILED)
    FAIL_IN_BODY = (
        True,
        BODY[:PARTIAL_BODY_BYTES],
        Outcome.FAILED_RAN,
        Reason.TARGET_FAILED,
    )
    LOSE_ANSWER = (True, None, Outcome.UNKNOWN, Reason.AGENT_UNREACHABLE)
    LOSE_REQUEST = (False, None, Outcome.UNKNOWN, Reason.AGENT_UNREACHABLE)

    def __init__(self, runs, body, outcome, reason):
        self.runs = runs
        self.body = body
        self.outcome = outcome
        self.reason = reason


def scripted_behavior(seed, request_id, attempt_number):
    """Return the behavior in an attempt, the same for dispatcher and model."""
    source = random.Random(f"{seed}/{request_id}/{attempt_number}")
    return source.choice(list(TargetBehavior))


class ScriptedExchange:
    """Exchange with scripted events and a scheduling point before each event."""

    def __init__(self, behavior):
        self.written = True
        self._events = []
        if behavior.body is not None:
            self._events.append(HEAD)
        if behavior.body:
            self._events.append(Part(0, behavior.body))
        self._events.append(
            End(behavior.outcome, behavior.reason, length_bytes=len(BODY))
        )

    async def next_event(self):
        """Return the next event."""
        await curio.sleep(0)
        return self._events.pop(0)


class ScriptedLinks:
    """Links to targets with scripted behavior that count runs by request."""

    def __init__(self, seed):
        self._seed = seed
        self._attempts = {}
        self.runs = {}

    def status(self, host):
        """Return the status of a connected link."""
        return FakeStatus(True)

    async def start(self, host, start_request, deadline):
        """Start the next attempt of a request with its scripted behavior."""
        request_id = start_request.request_id
        number = self._attempts[request_id] = self._attempts.get(request_id, 0) + 1
        behavior = scripted_behavior(self._seed, request_id, number)
        self.runs[request_id] = self.runs.get(request_id, 0) + behavior.runs
        return ScriptedExchange(behavior)


def model_result(seed, request, attempt_limit):
    """Return outcome, body and number of runs that a request should have."""
    attempts = []
    runs = 0
    for number in range(1, attempt_limit + 1):
        behavior = scripted_behavior(seed, request.request_id, number)
        attempts.append(behavior)
        runs += behavior.runs
        keyed = request.idempotency_key is not None
        if behavior is TargetBehavior.REFUSE:
            is_retried = not keyed
        elif behavior is TargetBehavior.REFUSE_WRONG_HOME:
            is_retried = True
        elif behavior.outcome in (Outcome.FAILED_RAN, Outcome.UNKNOWN):
            is_retried = request.idempotent and not keyed and not behavior.body
        else:
            is_retried = False
        if not is_retried:
            break
    outcomes = {behavior.outcome for behavior in attempts}
    if attempts[-1] is TargetBehavior.ANSWER:
        return Outcome.ANSWERED, BODY, runs
    body = attempts[-1].body or b""
    if Outcome.UNKNOWN in outcomes:
        return Outcome.UNKNOWN, body, runs
    if Outcome.FAILED_RAN in outcomes:
        return Outcome.FAILED_RAN, body, runs
    if keyed and attempts[-1] is TargetBehavior.REFUSE_WRONG_HOME:
        return Outcome.UNKNOWN, body, runs
    return Outcome.REFUSED_NOT_RUN, body, runs


def make_requests(bench, seed):
    """Return a random mix of idempotent, plain and keyed requests."""
    source = random.Random(seed)
    requests = []
    for number in range(REQUEST_COUNT):
        kind = source.choice(["idempotent", "plain", "keyed"])
        key = f"key/{number}" if kind == "keyed" else None
        request = bench.request(idempotent=kind == "idempotent", key=key)
        request.request_id = key or f"request/{number}"
        requests.append(request)
    return requests


async def answer_all(bench, requests):
    """Dispatch all requests concurrently and return the events of their answers."""
    async with curio.TaskGroup() as group:
        for request in requests:
            await group.spawn(bench.answer, request)
    return group.results


@pytest.mark.parametrize("seed", range(5))
def test_outcomes_and_runs_agree_with_the_naive_model(seed):
    """Outcome, received bytes and number of runs equal those of the model."""
    bench = Bench(hosts=tuple("abcdef"), budget=10 * REQUEST_COUNT)
    bench.dispatcher.links = links = ScriptedLinks(seed)
    requests = make_requests(bench, seed)
    answers = curio.run(answer_all, bench, requests)
    seen_outcomes = set()
    for request, events in zip(requests, answers, strict=True):
        body = b"".join(event.data for event in events if isinstance(event, Part))
        runs = links.runs[request.request_id]
        result = (events[-1].outcome, body, runs)
        limit = bench.settings.attempt_limit
        assert result == model_result(seed, request, limit), request.request_id
        check_invariants(request, *result)
        seen_outcomes.add(events[-1].outcome)
    assert seen_outcomes == set(Outcome)
    assert bench.router.in_flight == 0


def check_invariants(request, outcome, body, runs):
    """Check the invariants that hold independently of the model."""
    assert outcome is not Outcome.REFUSED_NOT_RUN or runs == 0
    assert outcome is not Outcome.FAILED_RAN or runs >= 1
    assert outcome is not Outcome.ANSWERED or body == BODY
    assert request.idempotent or runs <= 1
