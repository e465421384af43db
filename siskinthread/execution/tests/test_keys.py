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
    """A retry through another entry gets the answer of the first execution.

    Guards against running a request twice when the caller's connection to its entry
    host breaks and the caller retries with the same key through another entry host.
    """

    async def scenario(harness):
        first = await harness.entry("entry-inc-1")
        second = await harness.entry("entry-inc-2")
        await first.send(keyed_request(harness, 1))
        call = await harness.next_call()
        await call.head()
        await call.part(b"halt ")
        await first.receive_body(1, 5)
        await first.disconnect()
        await second.send(keyed_request(harness, 9))
        await second.receive_body(9, 5)
        await call.part(b"train 41")
        await call.end()
        assert (await second.receive_end(9)).body == b"halt train 41"
        third = await harness.entry("entry-inc-3")
        await third.send(keyed_request(harness, 4))
        assert (await third.receive_end(4)).body == b"halt train 41"
        assert len(harness.target.calls) == 1

    run(scenario)


def test_caller_that_leaves_does_not_cancel():
    """A request with a key continues after its caller left, for a retry."""

    async def scenario(harness):
        entry = await harness.entry()
        message = keyed_request(harness, 1)
        await entry.send(message)
        call = await harness.next_call()
        await entry.send(CancelRequest(1, message.request_id))
        await entry.receive_end(1)
        await call.answer(b"done")
        await entry.send(keyed_request(harness, 2))
        assert (await entry.receive_end(2)).body == b"done"
        assert not harness.target.cancelled

    run(scenario)


def test_key_with_another_body():
    """A key that is reused with another body is refused and does not run."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(keyed_request(harness, 1))
        call = await harness.next_call()
        await entry.send(keyed_request(harness, 2, body=b"fault 8"))
        assert (await entry.receive_end(2)).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.KEY_REUSED,
        )
        await call.answer(b"done")
        assert (await entry.receive_end(1)).body == b"done"
        assert len(harness.target.calls) == 1

    run(scenario)


@pytest.mark.parametrize(
    ("age_s", "result"),
    [
        (7.9, None),
        (8.0, (Outcome.UNKNOWN, Reason.ISSUED_BEFORE_START)),
        (11.0, (Outcome.UNKNOWN, Reason.ISSUED_BEFORE_START)),
        (302.0, (Outcome.UNKNOWN, Reason.ANSWER_GONE)),
        (-1.0, None),
        (-1.1, (Outcome.REFUSED_NOT_RUN, Reason.BAD_REQUEST)),
    ],
)
def test_key_issued_before_start(age_s, result):
    """A key that, within the clock error, may be older than the agent does not run.

    Guards against running a request twice: the home runs it and is replaced, the
    caller gets no answer and retries, and the ledger of the new process is empty.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(keyed_request(harness, 1, age_s=age_s))
        if result is None:
            await harness.next_call()
            return
        assert (await entry.receive_end(1)).result == result
        assert not harness.target.calls

    run(scenario, clock_error_limit_s=1.0)


def test_clock_set_forward_after_start():
    """A key older than the agent is refused if the clock was set after the start.

    Guards against running a request twice after a host was replaced: the new host's
    wall clock is an hour behind when the agent starts, so that the recorded start time
    would be earlier than the time of issue of an old key.
    """

    async def scenario(harness):
        harness.clock._unix_ms += 3_600_000
        entry = await harness.entry()
        await entry.send(keyed_request(harness, 1, age_s=100.0))
        assert (await entry.receive_end(1)).result == (
            Outcome.UNKNOWN,
            Reason.ISSUED_BEFORE_START,
        )
        assert not harness.target.calls

    run(scenario)


def test_stale_home():
    """A host refuses a key of which it is not the home, or another version of homes."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(keyed_request(harness, 1, homes_version=2))
        assert (await entry.receive_end(1)).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.WRONG_HOME,
        )
        harness.view.state = FakeState(hosts=["agent-2"])
        await entry.send(keyed_request(harness, 2))
        assert (await entry.receive_end(2)).end.reason == Reason.WRONG_HOME
        assert not harness.target.calls

    run(scenario)


def test_known_key_is_answered_by_its_former_home():
    """A host that ran a key still answers its retries after the homes have changed."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(keyed_request(harness, 1))
        await (await harness.next_call()).answer(b"done")
        await entry.receive_end(1)
        harness.view.state = FakeState(version=2, hosts=["agent-2"])
        await entry.send(keyed_request(harness, 2))
        assert (await entry.receive_end(2)).body == b"done"

    run(scenario)


def test_refused_key_is_held_against_other_entries():
    """After "not run", an earlier attempt of another entry does not run either.

    Guards against running a request twice: an attempt is still in transit through a
    slow entry host, the retry through another host is refused, the caller issues a new
    key, and then the first attempt arrives.
    """

    async def scenario(harness):
        slow = await harness.entry("entry-inc-1")
        quick = await harness.entry("entry-inc-2")
        await quick.send(start_request(1, "r-1"))
        await harness.next_call()
        await quick.send(keyed_request(harness, 5))
        assert (await quick.receive_end(5)).end.reason == Reason.OVERLOADED
        await harness.target.calls[0].answer(b"done")
        await quick.receive_end(1)
        await slow.send(keyed_request(harness, 1))
        answer = await slow.receive_end(1)
        assert answer.result == (Outcome.REFUSED_NOT_RUN, Reason.NOT_READY)
        assert answer.end.retry_after_ms == 2_000
        # The next attempt of the same entry comes after the refusal, and runs.
        await quick.send(keyed_request(harness, 6))
        assert (await harness.next_call()).request_id == keyed_request(
            harness
        ).request_id

    run(scenario, late_start_limit_s=2.0, running_limit=1, waiting_limit=0)


def test_held_key_runs_in_the_end():
    """A blocked key runs once the block expires, however often it was retried.

    Guards against a key that never runs because it is retried through one entry host
    after the other and each refusal extends the block.
    """

    async def scenario(harness):
        entries = [await harness.entry(f"entry-inc-{number}") for number in range(3)]
        await entries[0].send(start_request(1, "r-1"))
        await harness.next_call()
        await entries[0].send(keyed_request(harness, 2))
        await entries[0].receive_end(2)
        await harness.target.calls[0].answer(b"done")
        await entries[0].receive_end(1)
        for number in (1, 2):
            await entries[number].send(keyed_request(harness, 1))
            assert (await entries[number].receive_end(1)).end.reason == Reason.NOT_READY
            harness.clock.advance(1.0)
        await entries[1].send(keyed_request(harness, 2))
        await harness.next_call()

    run(scenario, late_start_limit_s=2.0, running_limit=1, waiting_limit=0)


def test_retry_after_a_start_that_never_arrived():
    """A key whose start frame never arrived runs on a retry through any entry."""

    async def scenario(harness):
        entry = await harness.entry("entry-inc-1")
        other = await harness.entry("entry-inc-2")
        await entry.send(resume_request(5, keyed_request(harness).request_id))
        assert (await entry.receive_end(5)).end.reason == Reason.NEVER_RECEIVED
        await other.send(keyed_request(harness, 1))
        await harness.next_call()

    run(scenario)


def test_full_memory_refuses_new_keys_and_forgets_none():
    """When the memory for keys is full, new keys are refused and old keys answered."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(keyed_request(harness, 1, "k-1"))
        await (await harness.next_call()).answer(b"x" * 900)
        await entry.receive_end(1)
        await entry.send(keyed_request(harness, 2, "k-2"))
        await harness.next_call()
        await entry.send(keyed_request(harness, 3, "k-3"))
        assert (await entry.receive_end(3)).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.OVERLOADED,
        )
        await entry.send(keyed_request(harness, 4, "k-1"))
        assert (await entry.receive_end(4)).body == b"x" * 900
        assert len(harness.target.calls) == 2

    run(scenario, keyed_answer_limit_bytes=1024, keyed_memory_limit_bytes=7_000)


def test_record_outlives_every_retry():
    """A key is answered until its lifetime ends, and never runs again."""

    async def scenario(harness):
        entry = await harness.entry()
        message = keyed_request(harness, 1)
        await entry.send(message)
        await (await harness.next_call()).answer(b"done")
        await entry.receive_end(1)
        await entry.disconnect()
        for attempt, step_s in enumerate((299.0, 1.9, 0.2, 100.0)):
            harness.clock.advance(step_s)
            entry = await harness.entry()
            message.attempt = 10 + attempt
            await entry.send(message)
            answer = await entry.receive_end(message.attempt)
            assert answer.result in (
                (Outcome.ANSWERED, Reason.COMPLETE),
                (Outcome.UNKNOWN, Reason.ANSWER_GONE),
            )
        assert len(harness.target.calls) == 1

    run(scenario)


def test_record_is_kept_while_its_answer_is_read():
    """A retry shortly before a record expires still gets its whole answer.

    Guards against a retry that hangs until its deadline because the record expires
    before the last bytes are written: attaching has to extend the retention.
    """

    async def scenario(harness):
        entry = await harness.entry()
        message = keyed_request(harness, 1, window_bytes=4)
        await entry.send(message)
        await (await harness.next_call()).answer(b"abcdefgh")
        await entry.receive_body(1, 4)
        await entry.disconnect()
        harness.clock.advance(KEY_LIFETIME_S + 10.0)
        entry = await harness.entry("entry-inc-2")
        await entry.send(message)
        await entry.receive_body(1, 4)
        harness.ledger.expire()
        await entry.acknowledge(1, 4)
        assert (await entry.receive_end(1)).body == b"abcdefgh"

    run(scenario, housekeeping_interval_s=1_000.0)


def test_cut_off_home_refuses_if_told_to():
    """With `refuse_unconfirmed_keys`, a home cut off from the log refuses new keys."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(keyed_request(harness, 1))
        assert (await entry.receive_end(1)).end.reason == Reason.NOT_READY
        harness.view.confirm(harness.clock.unix_ms())
        await entry.send(keyed_request(harness, 2))
        await harness.next_call()

    run(scenario, refuse_unconfirmed_keys=True)
