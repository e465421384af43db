"""Tests of attempts from their start to their end."""

from siskinthread.execution.tests.fakes import (
    is_disconnected,
    resume_request,
    run,
    start_request,
)
from siskinthread.outcomes import Outcome, Reason
from siskinthread.wire import CancelRequest, Frame, LoadReport


def test_whole_answer():
    """The entry receives the head, body and end of the response, with its length."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request())
        call = await harness.next_call()
        await call.answer(b"halt train 41")
        answer = await entry.receive_end()
        assert answer.head.status == 200
        assert answer.body == b"halt train 41"
        assert answer.result == (Outcome.ANSWERED, Reason.COMPLETE)
        assert answer.end.length_bytes == len(answer.body)

    run(scenario)


def test_duplicate_start_runs_once():
    """A repeated start frame does not run the request again.

    Without the ledger, each copy of a start frame on the link would run it.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request())
        await entry.send(start_request())
        call = await harness.next_call()
        await call.answer(b"done")
        await entry.receive_end()
        await entry.send(start_request())
        await entry.sync()
        assert len(harness.target.calls) == 1

    run(scenario)


def test_late_start_after_refused_resume():
    """A start frame that arrives after its attempt was refused does not run.

    Guards against running a request that was reported as not run: the start frame is
    delayed on a silent connection, the entry resumes over a new one and is refused with
    "never received", and then the frame arrives.  The refusal has to be recorded.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(resume_request())
        assert (await entry.receive_end()).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.NEVER_RECEIVED,
        )
        entry.answers.clear()
        await entry.send(start_request())
        assert (await entry.receive_end()).result == (
            Outcome.REFUSED_NOT_RUN,
            Reason.NEVER_RECEIVED,
        )
        assert not harness.target.calls

    run(scenario)


def test_retry_after_refusal_runs():
    """Another attempt of a request that was refused does run.

    If a refusal because the start frame never arrived were recorded for the request and
    not for the attempt, every retry would be refused as well.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(resume_request(1))
        await entry.receive_end(1)
        await entry.send(start_request(2))
        call = await harness.next_call()
        await call.answer(b"done")
        assert (await entry.receive_end(2)).body == b"done"

    run(scenario)


def test_resume_over_a_new_connection():
    """After a lost connection the stream continues at the offset the entry asks for.

    Guards against truncated answers and missing or duplicate bytes when parts were
    written to a connection that broke before they arrived: bytes have to be kept until
    they are acknowledged, not only until they are written.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request())
        call = await harness.next_call()
        await call.head()
        await call.part(b"abcdef")
        await entry.receive_body(1, 6)
        await entry.acknowledge(1, 2)
        await entry.sync()
        await entry.disconnect()
        again = await harness.entry()
        again.answer(1).body = b"abc"
        await again.send(resume_request(1, offset_bytes=3))
        await again.receive_body(1, 6)
        await call.part(b"ghi")
        await call.end()
        answer = await again.receive_end()
        assert answer.body == b"abcdefghi"
        assert answer.head is None
        assert len(harness.target.calls) == 1

    run(scenario)


def test_end_lost_with_its_connection():
    """An end that was written to a broken connection is sent again."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request())
        call = await harness.next_call()
        await call.answer(b"done")
        await entry.receive_end()
        await entry.disconnect()
        again = await harness.entry()
        await again.send(resume_request())
        answer = await again.receive_end()
        assert answer.body == b"done"
        assert answer.head.status == 200
        assert answer.result == (Outcome.ANSWERED, Reason.COMPLETE)

    run(scenario)


def test_frames_of_a_replaced_connection_are_dropped():
    """A late frame on a replaced connection does not attach an attempt to it again.

    Guards against an answer that stops: an entry replaces its connection and resumes,
    and then the agent reads a resume frame from the older connection, from which the
    entry no longer reads.
    """

    async def scenario(harness):
        older = await harness.entry()
        await older.send(start_request())
        call = await harness.next_call()
        newer = await harness.entry()
        await newer.send(resume_request())
        await newer.sync()
        assert await is_disconnected(older)
        await call.answer(b"done")
        assert (await newer.receive_end()).body == b"done"

    run(scenario)


def test_target_not_reached_is_not_run_and_retry_runs():
    """A request that never reached the target is refused, and a retry runs."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(1))
        call = await harness.next_call()
        await call.end(Outcome.REFUSED_NOT_RUN, Reason.TARGET_UNREACHABLE)
        assert (await entry.receive_end(1)).end.reason == Reason.TARGET_UNREACHABLE
        await entry.send(start_request(2))
        call = await harness.next_call()
        await call.answer(b"done")
        assert (await entry.receive_end(2)).body == b"done"

    run(scenario)


def test_broken_response_is_not_whole():
    """A response that is cut short ends as failed, after all of its bytes."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request())
        call = await harness.next_call()
        await call.head()
        await call.part(b"halt tr")
        await call.end(Outcome.FAILED_RAN, Reason.TARGET_FAILED)
        answer = await entry.receive_end()
        assert answer.body == b"halt tr"
        assert answer.result == (Outcome.FAILED_RAN, Reason.TARGET_FAILED)

    run(scenario)


def test_fault_inside_one_request():
    """An unexpected error in one request ends that request and no other.

    If the task that relays a response ended with an error and nothing ended the
    request, callers would wait until their deadlines and the request would count
    against `running_limit` for ever.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(1, "r-1"))
        await entry.send(start_request(2, "r-2"))
        await (await harness.next_call()).events.put(ValueError("unforeseen"))
        assert (await entry.receive_end(1)).result == (
            Outcome.FAILED_RAN,
            Reason.TARGET_FAILED,
        )
        await (await harness.next_call()).answer(b"done")
        assert (await entry.receive_end(2)).body == b"done"

    run(scenario, running_limit=1)


def test_cancel_stops_the_target_and_answers():
    """A cancelled request is stopped at the target, and its end is sent."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request())
        call = await harness.next_call()
        await call.head()
        await call.part(b"abc")
        await entry.receive_body(1, 3)
        await entry.send(CancelRequest(1, "r-1"))
        assert (await entry.receive_end()).end.reason == Reason.CANCELLED
        assert harness.target.cancelled == ["r-1"]

    run(scenario)


def test_late_start_after_cancel():
    """A start frame that arrives after its cancellation does not run.

    Guards against a target that works for a caller that left: the cancellation, sent
    over a new connection, overtakes the start frame, so it has to be recorded.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(CancelRequest(1, "r-1"))
        await entry.receive_end()
        await entry.send(start_request())
        await entry.sync()
        assert not harness.target.calls

    run(scenario)


def test_deadline_stops_the_target():
    """A request that runs past its deadline is stopped at the target."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(time_left_ms=1_000))
        await harness.next_call()
        harness.clock.advance(1.5)
        assert (await entry.receive_end()).result == (
            Outcome.FAILED_RAN,
            Reason.DEADLINE_PASSED,
        )
        assert harness.target.cancelled == ["r-1"]

    run(scenario)


def test_orphan_is_cancelled():
    """A request without key is stopped if its entry does not reconnect in time."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request())
        await harness.next_call()
        other = await harness.entry("entry-inc-2")
        await entry.disconnect()
        while harness.server.links.get("entry-inc-1") is not None:
            await other.sync()
        harness.clock.advance(1.9)
        await other.sync()
        await harness.server.handler.expire()
        assert not harness.target.cancelled
        harness.clock.advance(0.2)
        while not harness.target.cancelled:
            await other.sync()

    run(scenario, orphan_limit_s=2.0)


def test_paused_connection():
    """Frames that waited in a socket past the silence limit are not handled.

    Guards against running a request long after its entry gave it up as unknown: the
    agent's process is paused while a start frame is in its socket.  The silence limit
    has to be checked before frames are handled.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.sync()
        harness.clock.advance(harness.peer_settings.silence_limit_s + 0.1)
        await entry.send(start_request())
        assert await is_disconnected(entry)
        assert not harness.target.calls

    run(scenario)


def test_replaced_agent_does_not_know():
    """An agent reports attempts sent to an earlier incarnation as unknown.

    Guards against "not run" for a request that the earlier process ran: an empty
    ledger proves nothing about other incarnations.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(resume_request(sent_to_incarnation="inc-0"))
        assert (await entry.receive_end()).result == (
            Outcome.UNKNOWN,
            Reason.AGENT_REPLACED,
        )
        assert harness.target.resumed == [("r-1", 0)]

    run(scenario)


def test_unknown_peer_gets_nothing():
    """A peer whose role is not entry is disconnected before its frames are handled."""

    async def scenario(harness):
        stranger = await harness.entry_of_role("agent")
        assert await is_disconnected(stranger)
        assert not stranger.loads

    run(scenario)


def test_heartbeats_carry_the_load():
    """Heartbeats report running and waiting requests and a stalled target."""

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(1, "r-1"))
        await entry.send(start_request(2, "r-2"))
        await harness.next_call()
        await entry.sync()
        harness.clock.advance(2.0)
        del entry.loads[:]
        await entry.receive_until(lambda: entry.loads)
        load = entry.loads[-1]
        assert isinstance(load, LoadReport)
        assert (load.running, load.waiting, load.stalled) == (1, 1, True)

    run(scenario, running_limit=1, stall_limit_s=1.0)


def test_frame_of_a_newer_version():
    """A frame of an unknown kind does not end the link.

    Guards against links that are lost again and again in a rolling upgrade, when
    entries of a newer version send frames that this version does not know.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.channel.send(Frame())
        await entry.sync()

    run(scenario)


def test_first_bytes_and_ends_do_not_wait_for_others():
    """The first part and the end of a response are written at once.

    Guards against first tokens that are some milliseconds late under load: while the
    writer coalesces parts of a stream, another request gets its first token, which
    must not wait for the end of the coalescing time.
    """

    async def scenario(harness):
        entry = await harness.entry()
        await entry.send(start_request(1, "r-1"))
        stream = await harness.next_call()
        await stream.head()
        await stream.part(b"first")
        await entry.receive_body(1, len(b"first"))
        await stream.part(b", later")
        await entry.send(start_request(2, "r-2"))
        other = await harness.next_call()
        await other.head()
        await other.part(b"first")
        await entry.receive_body(2, len(b"first"))
        await stream.end()
        assert (await entry.receive_end(1)).body == b"first, later"

    run(scenario, coalesce_wait_s=3600.0)
