"""Tests of attempts from start to end."""

from siskinthread.execution.tests.fakes import (
    lost,
    resume_request,
    run,
    start_request,
)
from siskinthread.outcomes import Outcome, Reason
from siskinthread.wire import CancelRequest, Frame, LoadReport


def test_whole_answer():
    """Head, body and end of the target's response arrive, with the whole length."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request())
        call = await bench.begun()
        await call.answer(b"halt train 41")
        answer = await entry.ended()
        assert answer.head.status == 200
        assert answer.body == b"halt train 41"
        assert answer.word == (Outcome.ANSWERED, Reason.COMPLETE)
        assert answer.end.length_bytes == len(answer.body)

    run(scenario)


def test_duplicate_start_runs_once():
    """The same start frame twice runs the request once.

    Symptom: one fault halts two trains.  Sequence: a start frame is repeated on the
    link.  Cause: without the ledger each frame would run the request.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request())
        await entry.send(start_request())
        call = await bench.begun()
        await call.answer(b"done")
        await entry.ended()
        await entry.send(start_request())
        await entry.settled()
        assert len(bench.target.calls) == 1

    run(scenario)


def test_late_start_after_refused_resume():
    """A start frame that comes after its attempt was refused does not run.

    Symptom: a request that was reported as not run runs, and its retry runs too.
    Sequence: the start frame lies in a silent connection; the entry asks over a new one
    and is told "never received"; then the frame arrives.  Cause: the refusal was said
    but not recorded.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(resume_request())
        assert (await entry.ended()).word == (
            Outcome.REFUSED_NOT_RUN,
            Reason.NEVER_RECEIVED,
        )
        entry.answers.clear()
        await entry.send(start_request())
        assert (await entry.ended()).word == (
            Outcome.REFUSED_NOT_RUN,
            Reason.NEVER_RECEIVED,
        )
        assert not bench.target.calls

    run(scenario)


def test_retry_after_refusal_runs():
    """A further attempt of a request that was refused does run.

    Symptom: an alert is lost.  Sequence: its start frame never arrived, the attempt was
    refused, the entry tries again.  Cause: a refusal that stands for the request and
    not for the attempt would refuse each retry as well.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(resume_request(1))
        await entry.ended(1)
        await entry.send(start_request(2))
        call = await bench.begun()
        await call.answer(b"done")
        assert (await entry.ended(2)).body == b"done"

    run(scenario)


def test_resume_over_a_new_connection():
    """After a lost connection the stream goes on at the byte that the entry wants.

    Symptom: a draft breaks off, or a piece is missing or doubled.  Sequence: parts were
    written to a connection that died before they arrived.  Cause: the agent has to hold
    bytes until they are acknowledged and not until they are written.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request())
        call = await bench.begun()
        await call.head()
        await call.part(b"abcdef")
        await entry.received(1, 6)
        await entry.acknowledge(1, 2)
        await entry.settled()
        await entry.cut()
        again = await bench.entry()
        again.answer(1).body = b"abc"
        await again.send(resume_request(1, offset_bytes=3))
        await again.received(1, 6)
        await call.part(b"ghi")
        await call.end()
        answer = await again.ended()
        assert answer.body == b"abcdefghi"
        assert answer.head is None
        assert len(bench.target.calls) == 1

    run(scenario)


def test_end_lost_with_its_connection():
    """An end that was written to a dead connection is told again."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request())
        call = await bench.begun()
        await call.answer(b"done")
        await entry.ended()
        await entry.cut()
        again = await bench.entry()
        await again.send(resume_request())
        answer = await again.ended()
        assert answer.body == b"done"
        assert answer.head.status == 200
        assert answer.word == (Outcome.ANSWERED, Reason.COMPLETE)

    run(scenario)


def test_frames_of_a_replaced_connection_are_dropped():
    """A frame of an older connection can't take an attempt back to it.

    Symptom: an answer stops although the agent has it.  Sequence: an entry replaced its
    connection and resumed; then a resume frame that it had written to the older one is
    read there.  Cause: the attempt would be attached to the older connection, which
    nobody reads.
    """

    async def scenario(bench):
        older = await bench.entry()
        await older.send(start_request())
        call = await bench.begun()
        newer = await bench.entry()
        await newer.send(resume_request())
        await newer.settled()
        assert await lost(older)
        await call.answer(b"done")
        assert (await newer.ended()).body == b"done"

    run(scenario)


def test_target_not_reached_is_not_run_and_retry_runs():
    """A request that never reached the target is refused, and a retry runs."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(1))
        call = await bench.begun()
        await call.end(Outcome.REFUSED_NOT_RUN, Reason.TARGET_UNREACHABLE)
        assert (await entry.ended(1)).end.reason == Reason.TARGET_UNREACHABLE
        await entry.send(start_request(2))
        call = await bench.begun()
        await call.answer(b"done")
        assert (await entry.ended(2)).body == b"done"

    run(scenario)


def test_broken_response_is_not_whole():
    """A response that breaks in the middle ends as failed, behind all its bytes."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request())
        call = await bench.begun()
        await call.head()
        await call.part(b"halt tr")
        await call.end(Outcome.FAILED_RAN, Reason.TARGET_FAILED)
        answer = await entry.ended()
        assert answer.body == b"halt tr"
        assert answer.word == (Outcome.FAILED_RAN, Reason.TARGET_FAILED)

    run(scenario)


def test_fault_inside_one_request():
    """A fault of the program in one request ends that request and no other.

    Symptom: callers wait until their deadlines, and the place at the target is never
    free again.  Sequence: an error that nobody foresaw while a response is relayed.
    Cause: the task that relayed it was gone, and nothing ended the request.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(1, "r-1"))
        await entry.send(start_request(2, "r-2"))
        await (await bench.begun()).events.put(ValueError("unforeseen"))
        assert (await entry.ended(1)).word == (
            Outcome.FAILED_RAN,
            Reason.TARGET_FAILED,
        )
        await (await bench.begun()).answer(b"done")
        assert (await entry.ended(2)).body == b"done"

    run(scenario, running_limit=1)


def test_cancel_stops_the_target_and_answers():
    """A cancelled request is stopped at the target, and its end is told."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request())
        call = await bench.begun()
        await call.head()
        await call.part(b"abc")
        await entry.received(1, 3)
        await entry.send(CancelRequest(1, "r-1"))
        assert (await entry.ended()).end.reason == Reason.CANCELLED
        assert bench.target.cancelled == ["r-1"]

    run(scenario)


def test_late_start_after_cancel():
    """A start frame that comes after its cancellation does not run.

    Symptom: an engine works for a caller that left.  Sequence: the cancellation, sent
    over a new connection, overtakes the start frame.  Cause: an unknown cancellation
    was ignored.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(CancelRequest(1, "r-1"))
        await entry.ended()
        await entry.send(start_request())
        await entry.settled()
        assert not bench.target.calls

    run(scenario)


def test_deadline_stops_the_target():
    """A request that runs past its deadline is stopped at the target."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(time_left_ms=1_000))
        await bench.begun()
        bench.clock.advance(1.5)
        assert (await entry.ended()).word == (
            Outcome.FAILED_RAN,
            Reason.DEADLINE_PASSED,
        )
        assert bench.target.cancelled == ["r-1"]

    run(scenario)


def test_orphan_is_cancelled():
    """A request without key whose entry is gone for too long is stopped."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request())
        await bench.begun()
        other = await bench.entry("entry-inc-2")
        await entry.cut()
        while bench.server.links.get("entry-inc-1") is not None:
            await other.settled()
        bench.clock.advance(1.9)
        await other.settled()
        await bench.server.handler.expire()
        assert not bench.target.cancelled
        bench.clock.advance(0.2)
        while not bench.target.cancelled:
            await other.settled()

    run(scenario, orphan_limit_s=2.0)


def test_paused_connection():
    """Frames that waited in a connection past the silence limit are not looked at.

    Symptom: a request runs long after its entry had given it up and reported it as
    unknown.  Sequence: the agent's process is paused; a start frame lies in its socket;
    it wakes.  Cause: frames were handled before the age of the connection was checked.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.settled()
        bench.clock.advance(bench.peer_settings.silence_limit_s + 0.1)
        await entry.send(start_request())
        assert await lost(entry)
        assert not bench.target.calls

    run(scenario)


def test_replaced_agent_does_not_know():
    """An agent that was replaced says that the outcome is unknown.

    Symptom: "not run" is reported for a request that its predecessor ran.  Sequence:
    the process is replaced, and asked about an attempt of the earlier one.  Cause: an
    empty ledger proves something only about this incarnation.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(resume_request(sent_to_incarnation="inc-0"))
        assert (await entry.ended()).word == (Outcome.UNKNOWN, Reason.AGENT_REPLACED)
        assert bench.target.resumed == [("r-1", 0)]

    run(scenario)


def test_unknown_peer_gets_nothing():
    """A peer that is no entry is cut off before any frame of it is handled."""

    async def scenario(bench):
        stranger = await bench.entry_of_role("agent")
        assert await lost(stranger)
        assert not stranger.loads

    run(scenario)


def test_heartbeats_carry_the_load():
    """Heartbeats tell what runs and waits here, and that the target is stalled."""

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(1, "r-1"))
        await entry.send(start_request(2, "r-2"))
        await bench.begun()
        await entry.settled()
        bench.clock.advance(2.0)
        del entry.loads[:]
        await entry.until(lambda: entry.loads)
        load = entry.loads[-1]
        assert isinstance(load, LoadReport)
        assert (load.running, load.waiting, load.stalled) == (1, 1, True)

    run(scenario, running_limit=1, stall_limit_s=1.0)


def test_frame_of_a_newer_version():
    """A frame of a kind that is not known yet does not end the link.

    Symptom: links come and go without end while entries are replaced by newer ones.
    Sequence: a newer entry sends a frame that this version lacks.  Cause: it was taken
    for a broken peer.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.channel.send(Frame())
        await entry.settled()

    run(scenario)


def test_first_bytes_and_ends_do_not_wait_for_others():
    """The first part and the end of a response are written at once.

    Symptom: first tokens come some milliseconds late under load.  Sequence: a stream
    is under way, so that the writer gathers parts; another request gets its first
    token.  Cause: it waits for the end of the gathering like any later token.
    """

    async def scenario(bench):
        entry = await bench.entry()
        await entry.send(start_request(1, "r-1"))
        stream = await bench.begun()
        await stream.head()
        await stream.part(b"first")
        await entry.received(1, len(b"first"))
        await stream.part(b", later")
        await entry.send(start_request(2, "r-2"))
        other = await bench.begun()
        await other.head()
        await other.part(b"first")
        await entry.received(2, len(b"first"))
        await stream.end()
        assert (await entry.ended(1)).body == b"first, later"

    run(scenario, coalesce_wait_s=3600.0)
