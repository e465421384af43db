"""Complete sessions, compared byte by byte with golden files."""

from pathlib import Path

import curio
import pytest

from siskinthread.callers.tests.fakes import (
    answered,
    Bench,
    chat_body,
    complete_answer,
    event_stream_head,
    request_bytes,
)
from siskinthread.outcomes import End, Head, Outcome, Part, Reason

GOLDEN = Path(__file__).parent / "golden"

TOKEN = b'data: {"token": "gate"}\n\n'
DONE = b"data: [DONE]\n\n"
BROKEN = End(Outcome.UNKNOWN, Reason.TARGET_SILENT, message="The engine went silent.")


def chat(*events):
    """Return a dispatcher script with the same events for every request."""
    return lambda request: events


SESSIONS = {
    "stream": (
        request_bytes("POST", "/v1/chat/completions", chat_body()),
        chat(event_stream_head(), Part(0, TOKEN), Part(24, DONE), answered(38)),
    ),
    "stream_broken": (
        request_bytes("POST", "/v1/chat/completions", chat_body(), close=False),
        chat(event_stream_head(), Part(0, TOKEN), Part(24, b"data: {"), BROKEN),
    ),
    "whole": (
        request_bytes("POST", "/v1/chat/completions", chat_body(stream=False)),
        chat(
            *complete_answer(b'{"usage": {"completion_tokens": 7}}', "application/json")
        ),
    ),
    "whole_broken": (
        request_bytes("GET", "/services/varsel/alerts/4"),
        chat(Head(200, [("content-type", "text/plain")]), Part(0, b"half"), BROKEN),
    ),
    "refused": (
        request_bytes("GET", "/services/varsel/alerts/4"),
        chat(
            End(
                Outcome.REFUSED_NOT_RUN,
                Reason.NO_TARGET,
                message="No target is left.",
                retry_after_s=0.2,
            )
        ),
    ),
    "pipelined": (
        request_bytes("GET", "/services/varsel/a?b=/c", close=False)
        + request_bytes("HEAD", "/services/varsel/", close=False)
        + request_bytes("GET", "/healthz", key=None, close=False)
        + request_bytes("GET", "/v1/models"),
        lambda request: complete_answer(f"{request.method} {request.path}".encode()),
    ),
    "chunked_body": (
        request_bytes("POST", "/services/varsel/a", Transfer_Encoding="chunked")
        + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        lambda request: complete_answer(b"got " + request.body),
    ),
    "errors": (
        request_bytes("GET", "/nothing", close=False)
        + request_bytes("GET", "/v1/chat/completions", close=False)
        + request_bytes("GET", "/services/varsel/a", key="wrong", close=False)
        + request_bytes("GET", "/services/closed/a", close=False)
        + request_bytes("GET", "/services/triage-llm/load", close=False)
        + request_bytes("POST", "/v1/chat/completions", b"{", close=False)
        + request_bytes("GET", "*"),
        None,
    ),
    "malformed": (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", None),
    "http_1_0": (b"GET /services/varsel/a HTTP/1.0\r\n\r\n", None),
}


@pytest.mark.parametrize("name", SESSIONS)
def test_session_matches_golden_file(name):
    """The bytes of a session equal its golden file."""
    sent, script = SESSIONS[name]

    async def run():
        async with Bench(script).running() as bench:
            return await bench.exchange(sent)

    assert curio.run(run) == (GOLDEN / f"{name}.http").read_bytes()
