"""The verdict on a run: it must detect every violation of the invariants."""

import json

import pytest

from scripts._caller_http import RawAnswer
from scripts._judging import judge, Verdict
from scripts._load import Call
from scripts._verdict import RunVerdict
from standins.tokens import expected_answer

CONTENT = {"model": "m", "messages": [], "max_tokens": 4, "stream": True}
WHOLE = expected_answer(CONTENT)
BROKEN = b'event: error\ndata: {"error": {"outcome": "failed", "reason": "x"}}\n\n'


def _draft(idempotency_key=None):
    body = json.dumps(CONTENT).encode()
    return Call("draft", "k", "/v1/chat/completions", body, 1.0, False, idempotency_key)


def _answer(body, whole, outcome=None, status=200, request_id="r-1"):
    answer = RawAnswer()
    answer.sent = True
    answer.status = status
    answer.whole = whole
    answer.body = bytearray(body)
    answer.headers = {"siskinthread-request-id": request_id}
    if outcome is not None:
        answer.headers["siskinthread-outcome"] = outcome
    return answer


def _judged(*answers, idempotency_key=None):
    call = _draft(idempotency_key)
    call.attempts = [judge(call, answer) for answer in answers]
    return call


def _ledgers(runs, idempotency_key=None):
    entry = {"runs": runs, "idempotency_key": idempotency_key, "finished": runs}
    return {"engine-1": {"r-1": entry}}


@pytest.mark.parametrize(
    ("body", "whole", "verdict"),
    [
        pytest.param(WHOLE, True, Verdict.ANSWERED, id="whole"),
        pytest.param(WHOLE[:-1], True, Verdict.TRUNCATED_AS_WHOLE, id="truncated"),
        pytest.param(WHOLE[:40], False, Verdict.UNKNOWN, id="broken"),
        pytest.param(b"x" + WHOLE, False, Verdict.WRONG_BYTES, id="wrong"),
        pytest.param(WHOLE[:40] + BROKEN, False, Verdict.FAILED, id="error event"),
        pytest.param(WHOLE[1:] + BROKEN, False, Verdict.WRONG_BYTES, id="shifted"),
    ],
)
def test_a_stream_is_judged_by_its_bytes_and_its_ending(body, whole, verdict):
    """Only the expected bytes with a regular end count as an answer."""
    call = _draft()
    assert judge(call, _answer(body, whole)).verdict is verdict


def test_a_second_run_is_seen_under_either_name():
    """Guards against two runs of an idempotency key that hide under two request ids."""
    call = _judged(
        _answer(b"", False, "unknown", 504, "r-1"),
        _answer(WHOLE, True, "answered", 200, "r-2"),
        idempotency_key="key-1",
    )
    entry = {"runs": 1, "idempotency_key": "key-1", "finished": 1}
    ledgers = {"plain-1": {"r-1": entry}, "plain-2": {"other": entry}}
    verdict = RunVerdict([call], ledgers)
    assert verdict.run_twice == 1
    assert not verdict.holds()


def test_a_refused_request_that_ran_is_seen():
    """The outcome of the last attempt counts, whatever earlier attempts reported."""
    refused = _answer(b"", True, "refused_not_run", 503)
    unknown = _answer(b"", True, "unknown", 504)
    assert RunVerdict([_judged(refused)], _ledgers(1)).refused_but_ran == 1
    assert RunVerdict([_judged(refused)], _ledgers(0)).refused_but_ran == 0
    assert RunVerdict([_judged(unknown, refused)], _ledgers(1)).refused_but_ran == 1
    assert RunVerdict([_judged(refused, unknown)], _ledgers(1)).refused_but_ran == 0


def test_a_missing_entry_does_not_outweigh_an_unknown_outcome():
    """An attempt that was never sent leaves the outcome of an earlier attempt."""
    call = _judged(_answer(b"", True, "unknown", 504), RawAnswer())
    verdict = RunVerdict([call], _ledgers(1))
    assert (verdict.unknown, verdict.refused_but_ran) == (1, 0)


def test_an_answer_without_a_run_is_seen():
    """Guards against a broken ledger, which would make every other count zero."""
    answered = _judged(_answer(WHOLE, True))
    assert RunVerdict([answered], {}).answered_not_run == 1
    assert RunVerdict([answered], _ledgers(1)).holds()
