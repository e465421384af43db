"""Tests of bounded memory, turns by priority, leaving and draining."""

import gc

import curio

from siskinthread.execution import ExecutionSettings
from siskinthread.execution._execution import Execution
from siskinthread.execution._turns import Turns
from siskinthread.execution.tests.fakes import keyed_request, run, start_request
from siskinthread.outcomes import Outcome, Reason
from siskinthread.timing import Deadline
from siskinthread.wire import Leaving


def test_slow_reader_does_not_grow_memory():
    """While its reader is slow, a response is not read from the target.

    Symptom: an agent's memory grows until it is killed, with all its streams.
    Sequence: one caller reads slower than the engine writes.  Cause: the agent went on
    reading from the target.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(window_bytes=100))
        call = await bench.begun()
        await call.head()
        for _ in range(50):
            await call.part(b"x" * 100)
        await call.end()
        await entry.received(1, 100)
        await entry.settled()
        assert len(entry.answer(1).body) == 100
        execution = bench.server._runner.turns.running.copy().pop()
        assert execution.buffer.size_bytes == 1000
        assert call.taken == 11
        answer = entry.answer(1)
        while answer.end is None:
            await entry.acknowledge(1, len(answer.body))
            entry._take(await entry.channel.receive())
            assert execution.buffer.size_bytes <= 1100
        assert answer.body == b"x" * 5000
        assert answer.word == (Outcome.ANSWERED, Reason.COMPLETE)

    run(scenario, stream_buffer_limit_bytes=1000)


def test_finished_answers_hold_no_memory():
    """The answer of a finished request without key is freed, and then its record.

    Symptom: an agent's memory grows with its rate of requests.  Sequence: many short
    answers arrive and are finished.  Cause: what arrived with the last acknowledgement
    stayed until the requests' deadlines.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(1, "memory-1"))
        await (await bench.begun()).answer(b"x" * 1000)
        await entry.ended()
        execution = bench.ledger.find("memory-1")
        await entry.acknowledge(1, 1000, finished=True)
        await entry.settled()
        assert execution.buffer.size_bytes == 0
        del execution
        bench.clock.advance(1.1)
        bench.ledger.expire()
        gc.collect()
        known = [item for item in gc.get_objects() if isinstance(item, Execution)]
        assert "memory-1" not in [execution.request_id for execution in known]

    run(scenario, finished_grace_s=1.0)


def test_acknowledgement_of_bytes_never_sent():
    """An acknowledgement beyond what was sent frees nothing that is wanted.

    Symptom: an answer with a hole, or a stream that never ends.  Sequence: a damaged or
    stray acknowledgement.  Cause: it was believed.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(window_bytes=4))
        call = await bench.begun()
        await call.answer(b"abcdefgh")
        await entry.received(1, 4)
        await entry.acknowledge(1, 1_000_000)
        await entry.acknowledge(1, 2)
        assert (await entry.ended()).body == b"abcdefgh"

    run(scenario)


def test_long_keyed_answer_is_bounded():
    """An answer over the limit reaches its reader, but is not kept for retries."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(keyed_request(bench, 1, window_bytes=1000))
        call = await bench.begun()
        await call.head()
        for _ in range(30):
            await call.part(b"x" * 100)
        await call.end()
        answer = entry.answer(1)
        while answer.end is None:
            await entry.acknowledge(1, len(answer.body))
            entry._take(await entry.channel.receive())
        assert answer.body == b"x" * 3000
        await entry.send(keyed_request(bench, 2))
        assert (await entry.ended(2)).word == (Outcome.UNKNOWN, Reason.ANSWER_GONE)
        assert len(bench.target.calls) == 1

    run(scenario, keyed_answer_limit_bytes=1000, stream_buffer_limit_bytes=500)


def test_overload_sheds_the_least_urgent():
    """Beyond the limits the least urgent is refused; an alert waits for no draft.

    Symptom: an alert waits behind drafts, or is refused while drafts wait.  Sequence:
    the target is full of drafts, and so is the queue; an alert arrives.  Cause: the
    queue was first come, first served.
    """

    async def scenario(bench):
        entry = await bench.entry()
        for number in range(1, 4):
            message = start_request(number, f"draft-{number}", priority=5)
            await entry.send(message)
        assert (await entry.ended(3)).word == (
            Outcome.REFUSED_NOT_RUN,
            Reason.OVERLOADED,
        )
        assert entry.answer(3).end.retry_after_ms == 1000
        await entry.send(start_request(10, "alert-1", priority=0))
        await entry.settled()
        running = [call.request_id for call in bench.target.calls]
        assert running == ["draft-1", "alert-1"]
        await entry.send(start_request(11, "alert-2", priority=0))
        assert (await entry.ended(2)).end.reason == Reason.OVERLOADED
        await bench.target.calls[0].answer(b"done")
        await entry.ended(1)
        await bench.target.calls[1].answer(b"done")
        await entry.ended(10)
        assert [call.request_id for call in bench.target.calls][2:] == ["alert-2"]

    run(scenario, running_limit=1, urgent_running_limit=1, waiting_limit=1)


def test_waiting_past_the_deadline_is_not_run():
    """A request whose deadline passes while it waits is refused and never runs."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(1, "r-1"))
        await entry.send(start_request(2, "r-2", time_left_ms=500))
        await bench.begun()
        await entry.settled()
        bench.clock.advance(1.0)
        assert (await entry.ended(2)).word == (
            Outcome.REFUSED_NOT_RUN,
            Reason.DEADLINE_PASSED,
        )
        await bench.target.calls[0].answer(b"done")
        await entry.ended(1)
        assert len(bench.target.calls) == 1

    run(scenario, running_limit=1)


def test_turns_by_priority_then_arrival():
    """The most urgent goes first; equals go in the order of their arrival."""

    class Work:
        def __init__(self, priority):
            self.priority = priority

    turns = Turns(
        ExecutionSettings(running_limit=1, urgent_running_limit=0, waiting_limit=9)
    )
    first, *others = [Work(priority) for priority in (4, 3, 1, 3, 2, 1)]
    for work in (first, *others):
        turns.place(work)
    order = []
    current = first
    while current is not None:
        order.append(current)
        turns.leave(current)
        current = turns.next_to_run()
    assert order == [first, *sorted(others, key=lambda work: work.priority)]


def test_leaving_refuses_at_once_and_can_be_taken_back():
    """A host that the list marks as leaving refuses; a stale mark does not last."""

    async def scenario(bench):
        entry = await bench.entry()
        bench.server.set_listed_leaving(True)
        await entry.send(start_request(1, "r-1"))
        assert (await entry.ended(1)).word == (Outcome.REFUSED_NOT_RUN, Reason.LEAVING)
        del entry.loads[:]
        await entry.until(lambda: entry.loads)
        assert entry.loads[-1].leaving
        bench.server.set_listed_leaving(False)
        await entry.send(start_request(2, "r-1"))
        await bench.begun()

    run(scenario)


def test_drain_cuts_off_nothing():
    """A drain lets what runs and waits come to its end, and refuses the rest.

    Symptom: a planned restart breaks drafts in the middle.  Sequence: a stop signal
    while requests run and wait.  Cause: the process ended once the target had, before
    the last bytes had arrived.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(1, "r-1", window_bytes=4))
        await entry.send(start_request(2, "r-2"))
        await bench.begun()
        deadline = Deadline.after(bench.clock, 60.0)
        draining = await curio.spawn(bench.server.drain, deadline)
        await entry.until(lambda: entry.others)
        assert isinstance(entry.others[0], Leaving)
        await entry.send(start_request(3, "r-3"))
        assert (await entry.ended(3)).end.reason == Reason.LEAVING
        await bench.target.calls[0].answer(b"abcdefgh")
        await entry.received(1, 4)
        await (await bench.begun()).answer(b"done")
        await entry.ended(2)
        await entry.acknowledge(2, 4, finished=True)
        await entry.settled()
        assert not bench.server.handler.is_quiet()
        await entry.acknowledge(1, 4)
        assert (await entry.ended(1)).body == b"abcdefgh"
        await entry.acknowledge(1, 8, finished=True)
        assert await draining.join()

    run(scenario, running_limit=1)


def test_start_that_crosses_with_the_leaving_notice():
    """An idle agent that drains still refuses what was sent before its notice came.

    Symptom: a planned restart of an idle agent leaves an alert with an unknown outcome.
    Sequence: a start frame crosses with the leaving notice.  Cause: nothing ran, so the
    agent closed its links at once, and the frame died unread.
    """

    async def scenario(bench):
        entry = await bench.entry()
        deadline = Deadline.after(bench.clock, 60.0)
        draining = await curio.spawn(bench.server.drain, deadline)
        await entry.until(lambda: entry.others)
        bench.clock.advance(0.9)
        # Two heartbeats later the drain has looked whether all is quiet.
        del entry.loads[:]
        await entry.until(lambda: len(entry.loads) > 1)
        assert not draining.terminated
        await entry.send(start_request())
        assert (await entry.ended()).word == (Outcome.REFUSED_NOT_RUN, Reason.LEAVING)
        bench.clock.advance(0.1)
        assert await draining.join()

    run(scenario, leaving_notice_s=1.0)


def test_drain_past_its_limit():
    """At the limit of a drain what waits is refused and what runs is stopped."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(1, "r-1"))
        await entry.send(start_request(2, "r-2"))
        await bench.begun()
        await entry.settled()
        deadline = Deadline.after(bench.clock, 0.0)
        draining = await curio.spawn(bench.server.drain, deadline)
        assert (await entry.ended(2)).word == (Outcome.REFUSED_NOT_RUN, Reason.LEAVING)
        assert (await entry.ended(1)).word == (Outcome.FAILED_RAN, Reason.LEAVING)
        await entry.acknowledge(1, 0, finished=True)
        assert not await draining.join()

    run(scenario, running_limit=1)
