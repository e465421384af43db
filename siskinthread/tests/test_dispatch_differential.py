"""Dispatch against a naive model that knows what each target will do."""

import enum
import random

import curio
import pytest

from siskinthread.dispatch.tests.fakes import Bench, FakeStatus, HEAD
from siskinthread.outcomes import End, Outcome, Part, Reason

REQUEST_COUNT = 400
BODY = b"the whole answer"
CUT_BYTES = 5


class Deed(enum.Enum):
    """What a target does with one attempt: runs it or not, shows what, ends how."""

    ANSWER = (True, BODY, Outcome.ANSWERED, Reason.COMPLETE)
    REFUSE = (False, None, Outcome.REFUSED_NOT_RUN, Reason.LEAVING)
    BE_NO_HOME = (False, None, Outcome.REFUSED_NOT_RUN, Reason.WRONG_HOME)
    REFUSE_FOR_GOOD = (False, None, Outcome.REFUSED_NOT_RUN, Reason.BAD_REQUEST)
    FAIL_BEFORE_HEAD = (True, None, Outcome.FAILED_RAN, Reason.TARGET_FAILED)
    FAIL_AFTER_HEAD = (True, b"", Outcome.FAILED_RAN, Reason.TARGET_FAILED)
    FAIL_IN_BODY = (True, BODY[:CUT_BYTES], Outcome.FAILED_RAN, Reason.TARGET_FAILED)
    FALL_SILENT = (True, None, Outcome.UNKNOWN, Reason.AGENT_UNREACHABLE)
    LOSE = (False, None, Outcome.UNKNOWN, Reason.AGENT_UNREACHABLE)

    def __init__(self, runs, body, outcome, reason):
        self.runs = runs
        self.body = body
        self.outcome = outcome
        self.reason = reason


def deed_of(seed, request_id, attempt_number):
    """Return what the target of an attempt does; the same for both versions."""
    source = random.Random(f"{seed}/{request_id}/{attempt_number}")
    return source.choice(list(Deed))


class ScriptedExchange:
    """Plays one deed, with a scheduling point before each event."""

    def __init__(self, deed):
        self.written = True
        self._events = []
        if deed.body is not None:
            self._events.append(HEAD)
        if deed.body:
            self._events.append(Part(0, deed.body))
        self._events.append(End(deed.outcome, deed.reason, length_bytes=len(BODY)))

    async def next_event(self):
        """Return the next event."""
        await curio.sleep(0)
        return self._events.pop(0)


class ScriptedLinks:
    """Links to targets that do their deeds and count what they run."""

    def __init__(self, seed):
        self._seed = seed
        self._attempts = {}
        self.runs = {}

    def status(self, host):
        """Every link is up."""
        return FakeStatus(True)

    async def start(self, host, start_request, deadline):
        """Run the deed of the request's next attempt."""
        request_id = start_request.request_id
        number = self._attempts[request_id] = self._attempts.get(request_id, 0) + 1
        deed = deed_of(self._seed, request_id, number)
        self.runs[request_id] = self.runs.get(request_id, 0) + deed.runs
        return ScriptedExchange(deed)


def naive_answer(seed, request, attempt_limit):
    """Return outcome, body and number of runs, one request at a time."""
    ends = []
    runs = 0
    for number in range(1, attempt_limit + 1):
        deed = deed_of(seed, request.request_id, number)
        ends.append(deed)
        runs += deed.runs
        keyed = request.idempotency_key is not None
        if deed is Deed.REFUSE:
            again = not keyed
        elif deed is Deed.BE_NO_HOME:
            again = True
        elif deed.outcome in (Outcome.FAILED_RAN, Outcome.UNKNOWN):
            again = request.idempotent and not keyed and not deed.body
        else:
            again = False
        if not again:
            break
    outcomes = {deed.outcome for deed in ends}
    if ends[-1] is Deed.ANSWER:
        return Outcome.ANSWERED, BODY, runs
    body = ends[-1].body or b""
    if Outcome.UNKNOWN in outcomes:
        return Outcome.UNKNOWN, body, runs
    if Outcome.FAILED_RAN in outcomes:
        return Outcome.FAILED_RAN, body, runs
    if keyed and ends[-1] is Deed.BE_NO_HOME:
        return Outcome.UNKNOWN, body, runs
    return Outcome.REFUSED_NOT_RUN, body, runs


def make_requests(bench, seed):
    """Return a mix of idempotent, plain and keyed requests."""
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
    """Return the events of the answers to all requests, run at the same time."""
    async with curio.TaskGroup() as group:
        for request in requests:
            await group.spawn(bench.answer, request)
    return group.results


@pytest.mark.parametrize("seed", range(5))
def test_outcomes_and_runs_agree_with_the_naive_model(seed):
    """Outcome, shown bytes and number of runs are those of the naive model."""
    bench = Bench(hosts=tuple("abcdef"), budget=10 * REQUEST_COUNT)
    bench.dispatcher.links = links = ScriptedLinks(seed)
    requests = make_requests(bench, seed)
    answers = curio.run(answer_all, bench, requests)
    seen = set()
    for request, events in zip(requests, answers, strict=True):
        body = b"".join(event.data for event in events if isinstance(event, Part))
        runs = links.runs[request.request_id]
        found = (events[-1].outcome, body, runs)
        limit = bench.settings.attempt_limit
        assert found == naive_answer(seed, request, limit), request.request_id
        check_promises(request, *found)
        seen.add(events[-1].outcome)
    assert seen == set(Outcome)
    assert bench.router.in_flight == 0


def check_promises(request, outcome, body, runs):
    """Check what must always hold, whatever the model says."""
    assert outcome is not Outcome.REFUSED_NOT_RUN or runs == 0
    assert outcome is not Outcome.FAILED_RAN or runs >= 1
    assert outcome is not Outcome.ANSWERED or body == BODY
    assert request.idempotent or runs <= 1
