"""Tests of calls of plain services."""

import curio
import pytest

from siskinthread.outcomes import Outcome, Reason
from siskinthread.targets import build_target, open_call, resume_call, TargetSettings
from siskinthread.targets.tests.fakes import (
    chunked,
    collect,
    KEEP_OPEN,
    request,
    run,
    sized,
)
from siskinthread.timing import ManualClock, SYSTEM_CLOCK


def test_whole_answer_of_any_status():
    """A complete response is an answer, whatever its status; the key is passed on."""

    async def scenario(target, fake):
        answer = await collect(open_call(target, request()))
        assert (answer.head.status, answer.body) == (503, b"busy")
        assert answer.result == (Outcome.ANSWERED, Reason.COMPLETE)
        assert answer.end.length_bytes == 4
        head = fake.requests[0].lower()
        assert "idempotency-key: k-1" in head
        assert "x-request-id: key/varsel/a b" in head
        assert "connection:" not in head

    run("plain", [[sized(b"busy", b"503 Busy")]], scenario)


def test_unreachable_is_not_run():
    """A target without a listening socket has not run the request."""

    async def scenario(target, fake):
        await fake.socket.close()
        answer = await collect(open_call(target, request()))
        assert answer.result == (Outcome.REFUSED_NOT_RUN, Reason.TARGET_UNREACHABLE)

    run("plain", [], scenario)


@pytest.mark.parametrize(
    ("response", "result"),
    [
        (None, (Outcome.UNKNOWN, Reason.TARGET_SILENT)),
        (b"HTTP/1.1 200 O", (Outcome.UNKNOWN, Reason.TARGET_SILENT)),
        (sized(b"halt", length=9), (Outcome.FAILED_RAN, Reason.TARGET_FAILED)),
        (chunked(b"halt", end=False), (Outcome.FAILED_RAN, Reason.TARGET_FAILED)),
        (b"HTTP/1.1 200 OK\r\n\r\nhalt", (Outcome.FAILED_RAN, Reason.TARGET_FAILED)),
    ],
)
def test_lost_answer(response, result):
    """An alert was sent twice, or a truncated answer looked complete.

    The service dies before, within or after the head of its answer.  Silence was
    treated as "not run", or the end of the connection as the end of the body.
    """

    async def scenario(target, fake):
        answer = await collect(open_call(target, request()))
        assert answer.result == result
        assert len(fake.requests) == 1

    run("plain", [[response]], scenario)


def test_silent_target():
    """The outcome is unknown if a service receives a request and does not answer."""

    async def scenario(target, fake):
        answer = await collect(open_call(target, request()))
        assert answer.result == (Outcome.UNKNOWN, Reason.TARGET_SILENT)

    run("plain", [[None, KEEP_OPEN]], scenario, SYSTEM_CLOCK, silence_limit_s=0.05)


def test_stale_idle_connection_is_not_used():
    """An alert sometimes had an unknown outcome without any failure.

    The target had closed an idle connection; the next request was written to it without
    a check, and no answer came.
    """

    async def scenario(target, fake):
        assert (await collect(open_call(target, request()))).body == b"one"
        await fake.closed.acquire()
        assert (await collect(open_call(target, request()))).body == b"two"

    run("plain", [[sized(b"one")], [sized(b"two")]], scenario)


@pytest.mark.parametrize(
    ("idempotent", "age_s", "connections"),
    [(False, 0.0, 1), (False, 3.0, 2), (True, 3.0, 1), (True, 31.0, 2)],
)
def test_old_idle_connection(idempotent, age_s, connections):
    """A non-idempotent request uses only a connection that was idle for a short time.

    Otherwise the target's keep-alive limit may expire while the request is in transit,
    if the connection is about as old as this limit.
    """

    async def scenario(target, fake):
        await collect(open_call(target, request()))
        target.clock.advance(age_s)
        await collect(open_call(target, request(idempotent=idempotent)))
        assert 3 - len(fake.scripts) == connections

    script = [sized(b"one"), sized(b"two"), KEEP_OPEN]
    run("plain", [script, script, script], scenario)


def test_cancel_before_and_after_the_first_byte():
    """Only a call that has written nothing is cancelled as not run."""

    async def scenario(target, fake):
        assert await open_call(target, request()).cancel() == Outcome.REFUSED_NOT_RUN
        call = open_call(target, request())
        task = await curio.spawn(call.next_event)
        while not fake.requests:
            await curio.sleep(0)
        await task.cancel()
        assert await call.cancel() == Outcome.UNKNOWN

    run("plain", [[None, KEEP_OPEN]], scenario)


def test_plain_service_cannot_be_resumed():
    """A request at a plain service can't be resumed."""
    settings = TargetSettings(kind="plain", address=None)
    assert resume_call(build_target(settings, ManualClock()), "r-1", 0) is None
