"""Tests of requests with an idempotency key, and of waiting for links."""

import curio
import pytest

from siskinthread.dispatch import Dispatcher
from siskinthread.dispatch.tests.fakes import (
    ANSWER,
    Bench,
    failed,
    FakeState,
    HEAD,
    refused,
    run,
    unknown,
)
from siskinthread.outcomes import Outcome, Reason

KEY = "key/varsel/varsel-team/crossing-17"


def test_request_waits_a_little_while_no_link_to_a_target_is_up():
    """An entry resumed from a pause does not refuse requests that queued meanwhile.

    During a pause of two seconds the agents close the entry's links.  After it, the
    entry reads queued requests before the new links are up; without a wait it refuses
    one request in ten with ``no_target``.
    """
    bench = Bench(ANSWER)
    bench.settings.values["link_wait_s"] = 1.0
    hosts = [None, None, "a"]
    bench.router.choose = lambda request, excluded: hosts.pop(0)
    assert run(bench) == ANSWER
    assert hosts == []


def test_refused_request_without_another_target_does_not_wait():
    """A request that all targets refused is answered without waiting for a link."""
    bench = Bench([refused()], hosts=("a",))
    bench.settings.values["link_wait_s"] = 1.0
    choices = []
    choose = bench.router.choose

    def note_choice(request, excluded):
        choices.append(choose(request, excluded))
        return choices[-1]

    bench.router.choose = note_choice
    (final,) = run(bench)
    assert final.reason is Reason.LEAVING
    assert choices == ["a", None]


def test_missing_link_to_a_home_is_wanted():
    """The entry requests a link to a home outside of its subset of hosts."""
    bench = Bench(ANSWER)
    wanted = []
    bench.dispatcher = Dispatcher(
        bench.settings,
        bench.view,
        bench.links,
        bench.router,
        bench.budget,
        bench.clock,
        bench.metrics,
        request_link=wanted.append,
    )
    bench.links.status = lambda host: None
    (final,) = run(bench, key=KEY)
    assert final.reason is Reason.NO_TARGET
    assert set(wanted) == {"a"}


def test_key_whose_home_is_not_connected_is_not_held_back():
    """A request whose home is unreachable does not wait until its deadline.

    A link that is down queues requests and resolves them only at their deadline, so
    the dispatcher must not pass the request to it.
    """
    bench = Bench(ANSWER, down=("a",))
    (final,) = run(bench, key=KEY)
    assert (final.outcome, final.reason) == (Outcome.UNKNOWN, Reason.NO_TARGET)
    assert final.retry_after_s == bench.settings.retry_after_s
    assert bench.links.starts == []


def test_refusal_of_a_key_that_was_never_sent_is_unknown():
    """A refusal made by the link does not cover earlier tries of the key."""
    bench = Bench([refused(Reason.TARGET_UNREACHABLE)])
    start = bench.links.start

    async def start_unwritten(*arguments):
        exchange = await start(*arguments)
        exchange.written = False
        return exchange

    bench.links.start = start_unwritten
    (final,) = run(bench, key=KEY)
    assert final.outcome is Outcome.UNKNOWN
    assert final.retry_after_s == bench.settings.retry_after_s


def test_key_goes_back_to_its_home_after_wrong_home():
    """After ``wrong_home`` a key is sent again with the newer configuration."""
    bench = Bench([refused(Reason.WRONG_HOME)], ANSWER)

    async def main():
        answer = await bench.dispatcher.begin(bench.request(key=KEY))
        bench.router.ended = lambda *arguments: setattr(
            bench.view, "state", FakeState(8)
        )
        return await answer.next_event()

    assert curio.run(main) is HEAD
    assert [(host, frame.homes_version) for host, frame in bench.links.starts] == [
        ("a", 7),
        ("a", 8),
    ]


@pytest.mark.parametrize(
    ("end", "outcome"),
    [
        (refused(Reason.TARGET_REFUSED), Outcome.REFUSED_NOT_RUN),
        (refused(Reason.LEAVING), Outcome.REFUSED_NOT_RUN),
        (refused(Reason.NEVER_RECEIVED), Outcome.UNKNOWN),
        (refused(Reason.HOMES_SETTLING), Outcome.UNKNOWN),
        (failed(), Outcome.FAILED_RAN),
        (unknown(), Outcome.UNKNOWN),
    ],
    ids=repr,
)
def test_key_is_never_sent_again_for_another_reason(end, outcome):
    """A request with a key has no second attempt, even if declared idempotent.

    Guards against reporting "refused, not run" without the ledger of the key's home:
    the request may have run through another entry host whose answer was lost, and the
    caller would issue it again under a new key.
    """
    bench = Bench([end], ANSWER)
    (final,) = run(bench, key=KEY, idempotent=True)
    assert final.outcome is outcome
    assert len(bench.links.starts) == 1


@pytest.mark.parametrize(
    ("reason", "helps"),
    [(Reason.AGENT_UNREACHABLE, True), (Reason.ISSUED_BEFORE_START, False)],
)
def test_retry_after_is_told_only_where_coming_back_helps(reason, helps):
    """The caller gets no retry delay if the home has lost its ledger."""
    (final,) = run(Bench([unknown(reason)]), key=KEY)
    assert (final.retry_after_s is not None) is helps
