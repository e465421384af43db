"""Answers that end early, or that are not valid HTTP."""

import pytest

from siskinthread.callers.tests.fakes import (
    answered,
    GET,
    LAST_GET,
    run_bench,
)
from siskinthread.outcomes import End, Head, Outcome, Part, Reason

UNKNOWN = End(Outcome.UNKNOWN, Reason.TARGET_SILENT)
PLAIN = [("content-type", "text/plain")]
LONG = Part(0, b"x" * 2000)


@pytest.mark.parametrize(
    ("events", "end_of_session"),
    [
        ([Head(200, PLAIN), LONG, UNKNOWN], b"x\r\n"),
        ([Head(200, [*PLAIN, ("content-length", "9999")]), LONG, UNKNOWN], b"x"),
        ([Head(200, [*PLAIN, ("content-length", "9999")]), LONG, answered(1)], b"x"),
    ],
)
def test_broken_answer_is_visibly_broken(events, end_of_session):
    """An answer that breaks after its head was relayed is detectably incomplete.

    The target dies or sends fewer bytes than announced.  With a final chunk, or with
    nothing that marks the break, a caller would take the part as the complete answer.
    """

    async def test(bench):
        return await bench.exchange(GET)

    received = run_bench(test, lambda request: events, whole_answer_limit_bytes=1000)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"siskinthread-outcome" not in received
    assert received.endswith(end_of_session)


@pytest.mark.parametrize(
    "events",
    [
        [Head(200, [("content-length", "3")]), Part(0, b"ab"), answered(2)],
        [Head(200, [("bad name", "x")]), answered()],
        [Head(200, [("name", "bad\r\nvalue")]), answered()],
        [Head(101, []), answered()],
        [answered()],
    ],
)
def test_answer_that_is_no_http_is_a_failure(events):
    """A response that can't be relayed is reported as failed."""

    async def test(bench):
        return await bench.exchange(LAST_GET)

    received = run_bench(test, lambda request: events)
    assert received.startswith(b"HTTP/1.1 502 ")
    assert b"siskinthread-outcome: failed\r\n" in received


def test_claims_and_framing_of_a_target_are_not_relayed():
    """Hop-by-hop headers and a target's outcome header are not relayed."""
    headers = [
        ("connection", "x-hop, close"),
        ("x-hop", "1"),
        ("siskinthread-outcome", "unknown"),
        ("transfer-encoding", "chunked"),
        ("etag", "kept"),
    ]

    async def test(bench):
        return await bench.exchange(GET + LAST_GET)

    received = run_bench(
        test, lambda request: [Head(200, headers), Part(0, b"ok"), answered(2)]
    )
    assert received.count(b"siskinthread-outcome: answered\r\n") == 2
    assert received.count(b"etag: kept") == 2
    assert b"x-hop" not in received
    assert b"unknown" not in received
