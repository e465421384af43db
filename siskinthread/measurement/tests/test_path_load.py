"""Tests of the checks and counts of the callers of the path measurement."""

import json
import time

import pytest

from scripts._caller_http import RawAnswer
from siskinthread.measurement._path_load import LoadOrder, LoadResult
from siskinthread.measurement._path_schedule import LoadLevel, ScheduledRequest
from standins.tokens import EVENTS, streamed_answer

CONTENT = {"model": "draft-llm", "messages": [], "max_tokens": 4, "stream": True}
BODY = json.dumps(CONTENT).encode()
EXPECTED = streamed_answer(CONTENT)
REQUEST = ScheduledRequest(7, 4.0, 4, sampled=True)


@pytest.fixture
def order():
    level = LoadLevel("share", 20.0, 4, 0.078, 1.0, 2.0)
    return LoadOrder(level, 0, 2, [("127.0.0.1", 1)], False, 100.0, "result")


@pytest.fixture
def answer():
    """Complete answer with separate tokens, the first one before the window."""
    answer = RawAnswer()
    answer.status = 200
    answer.body = bytearray(EXPECTED)
    answer.whole = True
    answer.sent_at_s = 100.9
    answer.arrivals_s = [100.95, 101.03, 101.11, 101.19]
    return answer


def result_of(order, answer):
    result = LoadResult()
    result.add(order, REQUEST, BODY, answer)
    return result


def test_whole_answer_is_checked_and_counted(order, answer):
    """Tokens outside the window don't count; the first token of a sample does."""
    result = result_of(order, answer)
    assert (result.whole_count, result.wrong_count) == (1, 0)
    assert result.token_count == 3
    assert result.first_token_times_s == [pytest.approx(0.05)]


@pytest.mark.parametrize("kind", ["exchanged", "short_as_whole", "doubled"])
def test_wrong_bytes_are_counted(order, answer, kind):
    """A changed byte, a missing end or a repeated token is counted as wrong.

    Guards against a measurement that reports good figures while the path loses, repeats
    or mixes up parts of streams.
    """
    if kind == "exchanged":
        answer.body[30] ^= 1
    elif kind == "short_as_whole":
        del answer.body[-20:]
    else:
        answer.body[:0] = EVENTS[0]
    assert result_of(order, answer).wrong_count == 1


def test_answer_cut_by_the_end_is_checked_too(order, answer):
    """A cut answer is correct if it is a prefix of the expected answer."""
    answer.whole = False
    del answer.body[-20:]
    assert result_of(order, answer).wrong_count == 0
    answer.body[5] ^= 1
    assert result_of(order, answer).wrong_count == 1


def test_refusal_and_lost_response_are_failures(order, answer):
    """A status other than 200 counts as failed, no response at the end as waiting."""
    answer.status = 503
    assert result_of(order, answer).failed_count == 1
    answer.status = None
    order.starts_at_s = time.monotonic() - 1000
    assert result_of(order, answer).waiting_count == 1
    order.starts_at_s = time.monotonic() + 1000
    assert result_of(order, answer).failed_count == 1


def test_orders_and_results_pass_between_processes(order, answer):
    """Orders and results are unchanged by encoding and decoding."""
    again = LoadOrder.from_json(order.to_json())
    assert again.to_json() == order.to_json()
    assert [request.number for request in again.requests()] == [
        request.number for request in order.requests()
    ]
    result = result_of(order, answer)
    assert LoadResult.from_json(result.to_json()).to_json() == result.to_json()


def test_parts_share_the_schedule(order):
    """Every request of the schedule belongs to exactly one caller process."""
    numbers = [request.number for request in order.requests()]
    order.part = 1
    numbers += [request.number for request in order.requests()]
    assert sorted(numbers) == list(range(len(numbers)))
