"""Tests of the attempts of one request."""

import curio
import pytest

from siskinthread.dispatch.tests.fakes import (
    ANSWER,
    Bench,
    failed,
    HEAD,
    refused,
    run,
    unknown,
)
from siskinthread.errors import InvariantError
from siskinthread.outcomes import Outcome, Part, Reason


def test_answer_is_relayed_in_order():
    """Head, parts and end are relayed in order; the frame has all fields."""
    bench = Bench(ANSWER)
    assert run(bench) == ANSWER
    ((host, frame),) = bench.links.starts
    assert host == "a"
    assert frame.request_id == "request-1"
    assert frame.homes_version == -1
    assert frame.time_left_ms == 10_000
    assert [(header.name, header.value) for header in frame.headers] == [
        ("content-type", "application/json")
    ]
    assert bench.budget.requests == 1
    assert bench.router.in_flight == 0
    assert bench.router.first_bytes == 1


@pytest.mark.parametrize("end", [failed(), unknown()], ids=repr)
def test_non_idempotent_request_is_sent_once(end):
    """A non-idempotent request is not retried after a failure or a missing response.

    The target may have run the request before its host stopped responding.  If the
    entry treats a missing response as "not run" and retries, the request runs twice.
    """
    bench = Bench([end], ANSWER)
    (final,) = run(bench)
    assert (final.outcome, final.reason) == (end.outcome, end.reason)
    assert final.retry_after_s is None
    assert len(bench.links.starts) == 1


def test_refused_request_goes_elsewhere():
    """A non-idempotent request that was refused, not run, goes to another target."""
    bench = Bench([refused()], [refused()], ANSWER)
    assert run(bench) == ANSWER
    assert [host for host, frame in bench.links.starts] == ["a", "b", "c"]


def test_attempts_are_bounded():
    """After ``attempt_limit`` attempts the request ends with the merged outcome."""
    bench = Bench([refused()], [refused()], [refused()], ANSWER)
    (final,) = run(bench)
    assert final.outcome is Outcome.REFUSED_NOT_RUN
    assert final.retry_after_s == bench.settings.retry_after_s
    assert len(bench.links.starts) == bench.settings.attempt_limit


def test_spent_retry_budget_ends_the_request():
    """Without retry budget the request ends after its first attempt."""
    bench = Bench([refused()], ANSWER, budget=0)
    (final,) = run(bench)
    assert final.outcome is Outcome.REFUSED_NOT_RUN
    assert len(bench.links.starts) == 1


def test_retry_does_not_pass_the_deadline():
    """A request whose back-off would exceed its deadline is answered at once.

    If the first target refuses shortly before the deadline and the wait is not compared
    with the time left, the caller learns of the refusal only after its deadline.
    """
    bench = Bench([refused()], ANSWER)
    bench.settings.values["first_back_off_s"] = 0.2
    bench.settings.values["longest_back_off_s"] = 0.2
    (final,) = run(bench, wait_s=0.1)
    assert final.outcome is Outcome.REFUSED_NOT_RUN
    assert bench.budget.left == 100
    assert len(bench.links.starts) == 1


def test_idempotent_request_is_repeated_before_anything_was_shown():
    """A failure before the first body byte is retried and not relayed."""
    bench = Bench([unknown()], [HEAD, failed()], ANSWER)
    assert run(bench, idempotent=True) == ANSWER
    assert len(bench.links.starts) == 3


def test_idempotent_stream_is_not_restarted_once_shown():
    """A stream that breaks after its first bytes ends as failed.

    A retry at another target would relay the beginning of the answer twice, or join
    parts of two different answers.
    """
    part = Part(0, b"half")
    bench = Bench([HEAD, part, failed()], ANSWER)
    head, shown, final = run(bench, idempotent=True)
    assert (head, shown) == (HEAD, part)
    assert final.outcome is Outcome.FAILED_RAN
    assert len(bench.links.starts) == 1


def test_whole_outcome_stays_unknown_when_the_last_attempt_is_refused():
    """An unknown outcome followed by refusals stays unknown."""
    bench = Bench([unknown()], [refused()], [refused()])
    (final,) = run(bench, idempotent=True)
    assert final.outcome is Outcome.UNKNOWN
    assert final.reason is Reason.AGENT_UNREACHABLE


def test_no_target_is_refused_at_once():
    """Without a target the request is refused at once, with a retry delay."""
    bench = Bench(hosts=())
    (final,) = run(bench)
    assert (final.outcome, final.reason) == (
        Outcome.REFUSED_NOT_RUN,
        Reason.NO_TARGET,
    )
    assert final.retry_after_s == bench.settings.retry_after_s


def test_repeatable_request_leaves_an_agent_that_is_lost():
    """A request that may be repeated does not wait for an unreachable agent.

    If an agent dies with the request in flight, the link queries it for ten seconds.
    A dispatcher that waits for that limit delays the answer although other targets are
    idle.
    """
    bench = Bench([], ANSWER)

    async def never():
        bench.links.down = {"a"}
        await curio.Event().wait()

    start = bench.links.start

    async def start_then_lose(host, start_request, deadline):
        exchange = await start(host, start_request, deadline)
        if host == "a":
            exchange.next_event = never
        return exchange

    bench.links.start = start_then_lose
    assert run(bench, idempotent=True) == ANSWER
    assert [host for host, frame in bench.links.starts] == ["a", "b"]
    assert bench.links.cancelled == 1


def test_deadline_passed_before_the_first_attempt_is_refused():
    """Nothing is sent to a target after the deadline."""
    bench = Bench(ANSWER)
    (final,) = run(bench, wait_s=0.0)
    assert final.reason is Reason.DEADLINE_PASSED
    assert bench.links.starts == []


def test_reading_past_the_end_is_a_broken_invariant():
    """`next_event` after the end raises `InvariantError`."""
    bench = Bench([failed()])

    async def main():
        answer = await bench.dispatcher.begin(bench.request())
        await answer.next_event()
        await answer.next_event()

    with pytest.raises(InvariantError):
        curio.run(main)
