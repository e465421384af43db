"""Heads of answers that are none, from a server in trouble."""

import pytest

from siskinthread.platform.tests.system import (
    behave,
    body_of,
    is_whole,
    ONCE_PATH,
    run_system,
    SAFE_PATH,
    status_of,
    STREAM_PATH,
)
from standins.odd_answers import BODY, MARK, ODD_ANSWERS


def answer_beside(odd, path):
    """Send a request to a server that answers oddly, beside a sound one.

    Returns
    -------
    tuple of bytes, int
        What the caller has received, and how many requests servers have got.
    """

    async def test(system):
        behave(system, odd)
        answer = await system.request(path)
        await system.request(SAFE_PATH)
        return answer, len(system.seen()) - 1

    return run_system(test)


@pytest.mark.parametrize("odd", ODD_ANSWERS.values(), ids=ODD_ANSWERS)
def test_request_is_repeated_after_an_odd_answer(odd):
    """Guards against an odd head, or another body, that a caller gets as an answer."""
    answer, seen_count = answer_beside(odd, SAFE_PATH)
    assert is_whole(answer)
    assert status_of(answer) == 200
    assert body_of(answer) == BODY
    assert MARK not in answer
    assert seen_count == 2


@pytest.mark.parametrize("path", [ONCE_PATH, STREAM_PATH])
@pytest.mark.parametrize("odd", ODD_ANSWERS.values(), ids=ODD_ANSWERS)
def test_odd_answer_is_not_passed_on(odd, path):
    """Guards against an odd answer to a request that must not be repeated."""
    answer, seen_count = answer_beside(odd, path)
    assert is_whole(answer)
    assert MARK not in answer
    if path == ONCE_PATH:
        assert status_of(answer) == 502
        assert b"x-response-seal" not in answer.lower()
        assert seen_count == 1
