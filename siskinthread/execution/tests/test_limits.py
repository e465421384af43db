"""Tests of memory limits, the run queue, leaving and draining."""

import gc

import curio

from siskinthread.execution import ExecutionSettings
from siskinthread.execution._execution import Execution
from siskinthread.execution._run_queue import RunQueue
from siskinthread.execution.tests.fakes import keyed_request, run, start_request
from siskinthread.outcomes import Outcome, Reason
from siskinthread.timing import Deadline
from siskinthread.wire import Leaving


def test_slow_reader_does_not_grow_memory():
    """The agent stops reading a response from the target while its reader is slow.

    Guards against an agent that runs out of memory, and loses all its streams, because
    one caller reads more slowly than the target writes.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(window_bytes=100))
        call = await harness.next_call()
        await call.head()
        for _ in range(50):
            await call.part(b"x" * 100)
        await call.end()
        await entry.receive_body(1, 100)
        await entry.sync()
        assert len(entry.answer(1).body) == 100
        execution = harness.server._runner.run_queue.running.copy().pop()
        assert execution.buffer.size_bytes == 1000
        assert call.taken == 11
        answer = entry.answer(1)
        while answer.end is None:
            await entry.acknowledge(1, len(answer.body))
            entry._receive(await entry.channel.receive())
            assert execution.buffer.size_bytes <= 1100
        assert answer.body == b"x" * 5000
        assert answer.result == (Outcome.ANSWERED, Reason.COMPLETE)

    run(scenario, stream_buffer_limit_bytes=1000)


def test_finished_answers_hold_no_memory():
    """The answer of a finished request without key is freed, and later its record.

    Guards against memory that grows with the rate of requests because the answers of
    finished requests are kept until the requests' deadlines.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(1, "memory-1"))
        await (await harness.next_call()).answer(b"x" * 1000)
        await entry.receive_end()
        execution = harness.ledger.find("memory-1")
        await entry.acknowledge(1, 1000, finished=True)
        await entry.sync()
        assert execution.buffer.size_bytes == 0
        del execution
        harness.clock.advance(1.1)
        harness.ledger.expire()
        gc.collect()
        known = [item for item in gc.get_objects() if isinstance(item, Execution)]
        assert "memory-1" not in [execution.request_id for execution in known]

    run(scenario, finished_grace_s=1.0)


def test_acknowledgement_of_bytes_never_sent():
    """An acknowledgement of bytes that were not sent discards no unsent bytes.

    Guards against answers with a gap, or streams that never end, after a corrupt or
    misdirected acknowledgement.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(window_bytes=4))
        call = await harness.next_call()
        await call.answer(b"abcdefgh")
        await entry.receive_body(1, 4)
        await entry.acknowledge(1, 1_000_000)
        await entry.acknowledge(1, 2)
        assert (await entry.receive_end()).body == b"abcdefgh"

    run(scenario)


def test_long_keyed_answer_is_bounded():
    """An answer over the size limit is delivered, but not kept for retries."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(keyed_request(harness, 1, window_bytes=1000))
        call = await harness.next_call()
        await call.head()
        for _ in range(30):
            await call.part(b"x" * 100)
        await call.end()
        answer = entry.answer(1)
        while answer.end is None:
            await entry.acknowledge(1, len(answer.body))
            entry._receive(await entry.channel.receive())
        assert answer.body == b"x" * 3000
        await entry.send(keyed_request(harness, 2))
        assert (await entry.receive_end(2)).result == (
            Outcome.UNKNOWN,
            Reason.ANSWER_GONE,
        )
        assert len(harness.target.calls) == 1

    run(scenario, keyed_answer_limit_bytes=1000, stream_buffer_limit_bytes=500)


def test_overload_sheds_the_least_urgent():
    """Beyond the limits the least urgent request is refused.

    Guards against an urgent request that waits behind less urgent ones, or is refused
    while they wait, because the target and the queue are full of them.
    """

    async def scenario(harness):
        entry = await harness.entry()
        for number in range(1, 4):
            message = start_request(number, f"draft-{number}", priority=5)
            await entry.send(message)
        assert (await entry.receive_end(3)).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.OVERLOADED,
        )
        assert entry.answer(3).end.retry_after_ms == 1000
        await entry.send(start_request(10, "alert-1", priority=0))
        await entry.sync()
        running = [call.request_id for call in harness.target.calls]
        assert running == ["draft-1", "alert-1"]
        await entry.send(start_request(11, "alert-2", priority=0))
        assert (await entry.receive_end(2)).end.reason == Reason.OVERLOADED
        await harness.target.calls[0].answer(b"done")
        await entry.receive_end(1)
        await harness.target.calls[1].answer(b"done")
        await entry.receive_end(10)
        assert [call.request_id for call in harness.target.calls][2:] == ["alert-2"]

    run(scenario, running_limit=1, urgent_running_limit=1, waiting_limit=1)


def test_waiting_past_the_deadline_is_not_run():
    """A request whose deadline passes while it waits is refused and never runs."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(1, "r-1"))
        await entry.send(start_request(2, "r-2", time_left_ms=500))
        await harness.next_call()
        await entry.sync()
        harness.clock.advance(1.0)
        assert (await entry.receive_end(2)).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.DEADLINE_PASSED,
        )
        await harness.target.calls[0].answer(b"done")
        await entry.receive_end(1)
        assert len(harness.target.calls) == 1

    run(scenario, running_limit=1)


def test_turns_by_priority_then_arrival():
    """Requests run by priority, and in order of arrival within a priority."""

    class FakeExecution:
        def __init__(self, priority):
            self.priority = priority

    run_queue = RunQueue(
        ExecutionSettings(running_limit=1, urgent_running_limit=0, waiting_limit=9)
    )
    first, *others = [FakeExecution(priority) for priority in (4, 3, 1, 3, 2, 1)]
    for execution in (first, *others):
        run_queue.admit(execution)
    order = []
    current = first
    while current is not None:
        order.append(current)
        run_queue.remove(current)
        current = run_queue.next_to_run()
    assert order == [first, *sorted(others, key=lambda execution: execution.priority)]


def test_leaving_refuses_at_once_and_can_be_taken_back():
    """A host that the list marks as leaving refuses until the mark is withdrawn."""

    async def scenario(harness):
        entry = await harness.entry()
        harness.server.set_listed_leaving(True)
        await entry.send(start_request(1, "r-1"))
        assert (await entry.receive_end(1)).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.LEAVING,
        )
        del entry.loads[:]
        await entry.receive_until(lambda: entry.loads)
        assert entry.loads[-1].leaving
        harness.server.set_listed_leaving(False)
        await entry.send(start_request(2, "r-1"))
        await harness.next_call()

    run(scenario)


def test_drain_cuts_off_nothing():
    """A drain lets running and waiting requests end, and refuses new ones.

    Guards against answers that are cut short by a planned restart because the process
    exits when the target has finished, before the entries received the last bytes.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(1, "r-1", window_bytes=4))
        await entry.send(start_request(2, "r-2"))
        await harness.next_call()
        deadline = Deadline.after(harness.clock, 60.0)
        draining = await curio.spawn(harness.server.drain, deadline)
        await entry.receive_until(lambda: entry.others)
        assert isinstance(entry.others[0], Leaving)
        await entry.send(start_request(3, "r-3"))
        assert (await entry.receive_end(3)).end.reason == Reason.LEAVING
        await harness.target.calls[0].answer(b"abcdefgh")
        await entry.receive_body(1, 4)
        await (await harness.next_call()).answer(b"done")
        await entry.receive_end(2)
        await entry.acknowledge(2, 4, finished=True)
        await entry.sync()
        assert not harness.server.handler.is_drained()
        await entry.acknowledge(1, 4)
        assert (await entry.receive_end(1)).body == b"abcdefgh"
        await entry.acknowledge(1, 8, finished=True)
        assert await draining.join()

    run(scenario, running_limit=1)


def test_start_that_crosses_with_the_leaving_notice():
    """An idle agent that drains still refuses requests that cross with its notice.

    Guards against an unknown outcome when an idle agent is restarted: if the agent
    closed its links at once, a start frame sent before the notice arrived would be lost
    unread.
    """

    async def scenario(harness):
        entry = await harness.entry()
        deadline = Deadline.after(harness.clock, 60.0)
        draining = await curio.spawn(harness.server.drain, deadline)
        await entry.receive_until(lambda: entry.others)
        harness.clock.advance(0.9)
        # After two heartbeats the drain has checked whether all requests ended.
        del entry.loads[:]
        await entry.receive_until(lambda: len(entry.loads) > 1)
        assert not draining.terminated
        await entry.send(start_request())
        assert (await entry.receive_end()).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.LEAVING,
        )
        harness.clock.advance(0.1)
        assert await draining.join()

    run(scenario, leaving_notice_s=1.0)


def test_drain_past_its_limit():
    """At a drain's deadline, waiting requests are refused and others cancelled."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(1, "r-1"))
        await entry.send(start_request(2, "r-2"))
        await harness.next_call()
        await entry.sync()
        deadline = Deadline.after(harness.clock, 0.0)
        draining = await curio.spawn(harness.server.drain, deadline)
        assert (await entry.receive_end(2)).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.LEAVING,
        )
        assert (await entry.receive_end(1)).result == (
            Outcome.FAILED_RAN,
            Reason.LEAVING,
        )
        await entry.acknowledge(1, 0, finished=True)
        assert not await draining.join()

    run(scenario, running_limit=1)
