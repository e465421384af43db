"""Tests of calls of engines."""

from siskinthread.outcomes import Outcome, Reason
from siskinthread.targets import open_call, resume_call
from siskinthread.targets.tests.fakes import (
    chunked,
    collect,
    KEEP_OPEN,
    request,
    run,
    sized,
)
from siskinthread.timing import SYSTEM_CLOCK

DONE = b"data: [DONE]\n\n"
UNKNOWN_REQUEST = sized(b"{}", b"404 Not Found")


def test_engine_headers():
    """An engine gets the id, priority and account of a request."""

    async def scenario(target, fake):
        answer = await collect(open_call(target, request(priority=3)))
        assert answer.result == (Outcome.ANSWERED, Reason.COMPLETE)
        head = fake.requests[0].lower()
        assert "x-request-id: key/varsel/a b" in head
        assert "x-priority: 3" in head
        assert "x-account: account-1" in head
        assert "idempotency-key" not in head

    run("engine", [[chunked(b"data: a\n\n", DONE)]], scenario)


def test_truncated_stream_is_resumed():
    """A draft was truncated although the engine continued it.

    The connection between agent and engine fails twice, and the rest of the response is
    requested by its id.
    """

    async def scenario(target, fake):
        answer = await collect(open_call(target, request()))
        assert answer.body == b"data: a\n\ndata: b\n\n" + DONE
        assert answer.result == (Outcome.ANSWERED, Reason.COMPLETE)
        assert answer.end.length_bytes == len(answer.body)
        path = "GET /v1/requests/key%2Fvarsel%2Fa%20b?offset="
        assert fake.lines() == ["POST /alerts", f"{path}9", f"{path}18"]

    scripts = [
        [chunked(b"data: a\n\n", end=False)],
        [chunked(b"data: b\n\n", end=False)],
        [chunked(DONE)],
    ]
    run("engine", scripts, scenario)


def test_answer_lost_before_its_head():
    """The outcome is unknown if the engine fails and has forgotten the request."""

    async def scenario(target, fake):
        answer = await collect(open_call(target, request()))
        assert answer.result == (Outcome.UNKNOWN, Reason.TARGET_SILENT)

    run("engine", [[None], [UNKNOWN_REQUEST]], scenario)


def test_engine_restarted_mid_stream():
    """A stream that the engine has forgotten fails, and does not count as complete."""

    async def scenario(target, fake):
        answer = await collect(open_call(target, request()))
        assert answer.body == b"data: a\n\n"
        assert answer.result == (Outcome.FAILED_RAN, Reason.TARGET_FAILED)

    run("engine", [[chunked(b"data: a\n\n", end=False)], [UNKNOWN_REQUEST]], scenario)


def test_stream_without_closing_event():
    """A draft lacked its last sentences and looked complete.

    An engine that is shut down closes its responses properly, and the end of the HTTP
    body was treated as the end of the answer.
    """

    async def scenario(target, fake):
        answer = await collect(open_call(target, request()))
        assert answer.result == (Outcome.FAILED_RAN, Reason.TARGET_FAILED)

    run("engine", [[chunked(b"data: a\n\n")]], scenario)


def test_silent_engine_is_queried_and_cancelled():
    """A silent engine is queried a few times, then the request is cancelled."""

    async def scenario(target, fake):
        answer = await collect(open_call(target, request()))
        assert answer.result == (Outcome.FAILED_RAN, Reason.TARGET_FAILED)
        methods = [line.split()[0] for line in fake.lines()]
        assert methods == ["POST", "GET", "GET", "DELETE"]

    silent = [chunked(b"data: a\n\n", end=False), KEEP_OPEN]
    quiet = [chunked(end=False), KEEP_OPEN]
    run(
        "engine",
        [silent, quiet, quiet, [sized(b"{}")]],
        scenario,
        SYSTEM_CLOCK,
        silence_limit_s=0.05,
    )


def test_continuation_for_a_replaced_agent():
    """A request of an earlier incarnation continues at the requested offset."""

    async def scenario(target, fake):
        call = resume_call(target, "r-1", 9)
        call_events = [await call.next_event() for _ in range(3)]
        head, part, end = call_events
        assert head.status == 200
        assert (part.offset_bytes, part.data) == (9, DONE)
        assert (end.outcome, end.length_bytes) == (Outcome.ANSWERED, 9 + len(DONE))
        assert fake.lines() == ["GET /v1/requests/r-1?offset=9"]

    run("engine", [[chunked(DONE)]], scenario)


def test_cancel_is_confirmed_by_the_engine():
    """A cancellation that the engine confirms means that the request has run."""

    async def scenario(target, fake):
        call = open_call(target, request())
        await call.next_event()
        await call.next_event()
        assert await call.cancel() == Outcome.FAILED_RAN
        assert fake.lines()[-1].startswith("DELETE /v1/requests/")

    running = [chunked(b"data: a\n\n", end=False), KEEP_OPEN]
    run("engine", [running, [sized(b"{}")]], scenario)


def test_load_report():
    """The engine's own load report is read."""

    async def scenario(target, fake):
        load = await target.fetch_load()
        assert (load.running, load.waiting, load.capacity) == (3, 1, 8)
        assert load.age_ms == 40

    body = b'{"running": 3, "waiting": 1, "capacity": 8, "age_ms": 40}'
    run("engine", [[sized(body)]], scenario)
