"""Tests of requests with an idempotency key."""

import pytest

from siskinthread.execution.tests.fakes import (
    FakeState,
    KEY_LIFETIME_S,
    keyed_request,
    resume_request,
    run,
    start_request,
)
from siskinthread.outcomes import Outcome, Reason
from siskinthread.wire import CancelRequest


def test_retry_through_another_entry_attaches():
    """A retry through another entry gets the answer of the one execution.

    Symptom: one fault halts two trains.  Sequence: the caller's connection to its entry
    host dies; it retries with the same key through another.  Cause: without a ledger at
    the key's home, each entry host would run the request.
    """

    async def scenario(bench):
        first = await bench.entry("entry-inc-1")
        second = await bench.entry("entry-inc-2")
        await first.send(keyed_request(bench, 1))
        call = await bench.begun()
        await call.head()
        await call.part(b"halt ")
        await first.received(1, 5)
        await first.cut()
        await second.send(keyed_request(bench, 9))
        await second.received(9, 5)
        await call.part(b"train 41")
        await call.end()
        assert (await second.ended(9)).body == b"halt train 41"
        third = await bench.entry("entry-inc-3")
        await third.send(keyed_request(bench, 4))
        assert (await third.ended(4)).body == b"halt train 41"
        assert len(bench.target.calls) == 1

    run(scenario)


def test_caller_that_leaves_does_not_cancel():
    """A request with a key goes on after its caller left, for the retry."""

    async def scenario(bench):
        entry = await bench.entry()
        message = keyed_request(bench, 1)
        await entry.send(message)
        call = await bench.begun()
        await entry.send(CancelRequest(1, message.request_id))
        await entry.ended(1)
        await call.answer(b"done")
        await entry.send(keyed_request(bench, 2))
        assert (await entry.ended(2)).body == b"done"
        assert not bench.target.cancelled

    run(scenario)


def test_key_with_another_body():
    """A key that comes again with another body is refused and does not run."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(keyed_request(bench, 1))
        call = await bench.begun()
        await entry.send(keyed_request(bench, 2, body=b"fault 8"))
        assert (await entry.ended(2)).word == (
            Outcome.REFUSED_NOT_RUN,
            Reason.KEY_REUSED,
        )
        await call.answer(b"done")
        assert (await entry.ended(1)).body == b"done"
        assert len(bench.target.calls) == 1

    run(scenario)


@pytest.mark.parametrize(
    ("age_s", "word"),
    [
        (7.9, None),
        (8.0, (Outcome.UNKNOWN, Reason.ISSUED_BEFORE_START)),
        (11.0, (Outcome.UNKNOWN, Reason.ISSUED_BEFORE_START)),
        (302.0, (Outcome.UNKNOWN, Reason.ANSWER_GONE)),
        (-1.0, None),
        (-1.1, (Outcome.REFUSED_NOT_RUN, Reason.BAD_REQUEST)),
    ],
)
def test_key_issued_before_start(age_s, word):
    """A key that may be older than the agent, by the clocks' error, does not run.

    Symptom: a doubled alert.  Sequence: the home runs a request and is replaced; the
    caller, who got no answer, retries.  Cause: the new process's ledger is empty.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(keyed_request(bench, 1, age_s=age_s))
        if word is None:
            await bench.begun()
            return
        assert (await entry.ended(1)).word == word
        assert not bench.target.calls

    run(scenario, clock_error_limit_s=1.0)


def test_clock_set_forward_after_start():
    """A start that was dated too early does not make an old key young.

    Symptom: a doubled alert after a host was replaced.  Sequence: the fresh host's
    clock is an hour behind when the agent starts, and is then set.  Cause: the start
    was read from the wrong clock, so a key of ten minutes ago seemed younger.
    """

    async def scenario(bench):
        bench.clock._unix_ms += 3_600_000
        entry = await bench.entry()
        await entry.send(keyed_request(bench, 1, age_s=100.0))
        assert (await entry.ended(1)).word == (
            Outcome.UNKNOWN,
            Reason.ISSUED_BEFORE_START,
        )
        assert not bench.target.calls

    run(scenario)


def test_stale_home():
    """A host that is not the key's home, or goes by other homes, refuses."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(keyed_request(bench, 1, homes_version=2))
        assert (await entry.ended(1)).word == (
            Outcome.REFUSED_NOT_RUN,
            Reason.WRONG_HOME,
        )
        bench.view.state = FakeState(hosts=["agent-2"])
        await entry.send(keyed_request(bench, 2))
        assert (await entry.ended(2)).end.reason == Reason.WRONG_HOME
        assert not bench.target.calls

    run(scenario)


def test_known_key_is_answered_by_its_former_home():
    """A host that ran a key answers for it after its homes have changed."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(keyed_request(bench, 1))
        await (await bench.begun()).answer(b"done")
        await entry.ended(1)
        bench.view.state = FakeState(version=2, hosts=["agent-2"])
        await entry.send(keyed_request(bench, 2))
        assert (await entry.ended(2)).body == b"done"

    run(scenario)


def test_refused_key_is_held_against_other_entries():
    """After "not run" an earlier attempt of another entry does not run either.

    Symptom: a caller that was told "not run" issues a new key, and the alert goes out
    twice.  Sequence: an attempt is still on its way through a slow entry host; the
    retry through another is refused; then the first one arrives.  Cause: a refusal of
    one attempt said nothing about the others.
    """

    async def scenario(bench):
        slow = await bench.entry("entry-inc-1")
        quick = await bench.entry("entry-inc-2")
        await quick.send(start_request(1, "r-1"))
        await bench.begun()
        await quick.send(keyed_request(bench, 5))
        assert (await quick.ended(5)).end.reason == Reason.OVERLOADED
        await bench.target.calls[0].answer(b"done")
        await quick.ended(1)
        await slow.send(keyed_request(bench, 1))
        answer = await slow.ended(1)
        assert answer.word == (Outcome.REFUSED_NOT_RUN, Reason.NOT_READY)
        assert answer.end.retry_after_ms == 2_000
        # The same entry's next attempt is the retry of what it was told.
        await quick.send(keyed_request(bench, 6))
        assert (await bench.begun()).request_id == keyed_request(bench).request_id

    run(scenario, late_start_limit_s=2.0, running_limit=1, waiting_limit=0)


def test_held_key_runs_in_the_end():
    """A held key runs once its time is over, however often it was tried meanwhile.

    Symptom: an alert can never get through.  Sequence: it is refused; its retries come
    through one entry host after the other.  Cause: each refusal for the hold's sake
    prolonged the hold.
    """

    async def scenario(bench):
        entries = [await bench.entry(f"entry-inc-{number}") for number in range(3)]
        await entries[0].send(start_request(1, "r-1"))
        await bench.begun()
        await entries[0].send(keyed_request(bench, 2))
        await entries[0].ended(2)
        await bench.target.calls[0].answer(b"done")
        await entries[0].ended(1)
        for number in (1, 2):
            await entries[number].send(keyed_request(bench, 1))
            assert (await entries[number].ended(1)).end.reason == Reason.NOT_READY
            bench.clock.advance(1.0)
        await entries[1].send(keyed_request(bench, 2))
        await bench.begun()

    run(scenario, late_start_limit_s=2.0, running_limit=1, waiting_limit=0)


def test_retry_after_a_start_that_never_arrived():
    """A key whose start frame never arrived runs on a retry through any entry."""

    async def scenario(bench):
        entry = await bench.entry("entry-inc-1")
        other = await bench.entry("entry-inc-2")
        await entry.send(resume_request(5, keyed_request(bench).request_id))
        assert (await entry.ended(5)).end.reason == Reason.NEVER_RECEIVED
        await other.send(keyed_request(bench, 1))
        await bench.begun()

    run(scenario)


def test_full_memory_refuses_new_keys_and_forgets_none():
    """When the memory for keys is full, new ones are refused; kept ones answer."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(keyed_request(bench, 1, "k-1"))
        await (await bench.begun()).answer(b"x" * 900)
        await entry.ended(1)
        await entry.send(keyed_request(bench, 2, "k-2"))
        await bench.begun()
        await entry.send(keyed_request(bench, 3, "k-3"))
        assert (await entry.ended(3)).word == (
            Outcome.REFUSED_NOT_RUN,
            Reason.OVERLOADED,
        )
        await entry.send(keyed_request(bench, 4, "k-1"))
        assert (await entry.ended(4)).body == b"x" * 900
        assert len(bench.target.calls) == 2

    run(scenario, keyed_answer_limit_bytes=1024, keyed_memory_limit_bytes=7_000)


def test_record_outlives_every_retry():
    """A key is answered until its lifetime is over, and is never run again."""

    async def scenario(bench):
        entry = await bench.entry()
        message = keyed_request(bench, 1)
        await entry.send(message)
        await (await bench.begun()).answer(b"done")
        await entry.ended(1)
        await entry.cut()
        for attempt, step_s in enumerate((299.0, 1.9, 0.2, 100.0)):
            bench.clock.advance(step_s)
            entry = await bench.entry()
            message.attempt = 10 + attempt
            await entry.send(message)
            answer = await entry.ended(message.attempt)
            assert answer.word in (
                (Outcome.ANSWERED, Reason.COMPLETE),
                (Outcome.UNKNOWN, Reason.ANSWER_GONE),
            )
        assert len(bench.target.calls) == 1

    run(scenario)


def test_record_is_kept_while_its_answer_is_read():
    """A retry that comes at the end of a record's time still gets its whole answer.

    Symptom: a retry hangs until its deadline.  Sequence: it attaches to an answer whose
    time is nearly over; the record is forgotten before the last bytes are written.
    Cause: attaching did not prolong the record's time.
    """

    async def scenario(bench):
        entry = await bench.entry()
        message = keyed_request(bench, 1, window_bytes=4)
        await entry.send(message)
        await (await bench.begun()).answer(b"abcdefgh")
        await entry.received(1, 4)
        await entry.cut()
        bench.clock.advance(KEY_LIFETIME_S + 10.0)
        entry = await bench.entry("entry-inc-2")
        await entry.send(message)
        await entry.received(1, 4)
        bench.ledger.expire()
        await entry.acknowledge(1, 4)
        assert (await entry.ended(1)).body == b"abcdefgh"

    run(scenario, housekeeping_interval_s=1_000.0)


def test_cut_off_home_refuses_if_told_to():
    """With the strict setting a home that can't read the log refuses young keys."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(keyed_request(bench, 1))
        assert (await entry.ended(1)).end.reason == Reason.NOT_READY
        bench.view.confirm(bench.clock.unix_ms())
        await entry.send(keyed_request(bench, 2))
        await bench.begun()

    run(scenario, refuse_unconfirmed_keys=True)
