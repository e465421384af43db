"""Golden file of the encoded frames of a whole session.

``python -m siskinthread.wire.tests.test_golden_session`` rewrites the file.  Do so only
together with a new `PROTOCOL_VERSION`: a changed file means that processes of the old
and the new version can't read each other's frames.
"""

import pathlib

from siskinthread.wire import (
    Acknowledge,
    CancelRequest,
    encode_frame,
    Frame,
    FrameDecoder,
    Header,
    Heartbeat,
    Hello,
    Leaving,
    LoadReport,
    Proof,
    PROTOCOL_VERSION,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    ResumeRequest,
    StartRequest,
)

GOLDEN_PATH = pathlib.Path(__file__).parent / "golden" / "session.hex"
FRAME_LIMIT_BYTES = 4096


def session_frames():
    """Return the frames of a fixed session in the order in which they are sent.

    An entry and an agent complete the handshake.  A request with an idempotency key
    starts, loses its connection after the first part, is resumed and ends.  A second
    request is cancelled.  The agent leaves.
    """
    return [
        Frame(hello=_hello("entry-1", "e-1", "trondheim-a", "entry", b"n" * 16, [])),
        Frame(
            hello=_hello(
                "gpu-7", "a-1", "trondheim-b", "agent", b"m" * 16, ["triage-llm"]
            )
        ),
        Frame(proof=Proof("key-1", bytes(range(32)))),
        Frame(proof=Proof("key-1", bytes(range(32, 64)))),
        Frame(heartbeat=Heartbeat(1)),
        Frame(heartbeat=Heartbeat(1, LoadReport(3, 1, 32, 250, False, False))),
        Frame(start=_start_request()),
        Frame(head=ResponseHead(1, 200, [Header("content-type", "text/event-stream")])),
        Frame(part=ResponsePart(1, 0, b"data: one\n\n")),
        Frame(
            resume=ResumeRequest(1, "r-1", "a-1", True, 11, 262144, 28000, "triage-llm")
        ),
        Frame(part=ResponsePart(1, 11, b"data: [DONE]\n\n")),
        Frame(end=ResponseEnd(1, 1, 25, "complete", "")),
        Frame(acknowledge=Acknowledge(1, 25, True)),
        Frame(cancel=CancelRequest(2, "r-2")),
        Frame(end=ResponseEnd(2, 2, 0, "overloaded", "The queue is full.", 1500)),
        Frame(leaving=Leaving(60000)),
    ]


def _hello(host, incarnation, failure_domain, role, nonce, services):
    return Hello(
        PROTOCOL_VERSION, host, incarnation, failure_domain, role, nonce, services
    )


def _start_request():
    return StartRequest(
        attempt=1,
        request_id="r-1",
        service_name="triage-llm",
        account="inspectorate",
        priority=0,
        idempotent=False,
        idempotency_key="crossing-17",
        time_left_ms=30000,
        issued_at_ms=1_700_000_000_000,
        homes_version=4,
        method="POST",
        path="/v1/chat/completions",
        headers=[Header("content-type", "application/json")],
        body=b'{"stream": true}',
        window_bytes=262144,
    )


def golden_text():
    """Return the text of the golden file, one frame per line in hexadecimal."""
    return "".join(encode_frame(frame).hex() + "\n" for frame in session_frames())


def test_session_is_written_as_in_the_golden_file():
    """Every frame is encoded to the bytes that released versions send."""
    assert golden_text() == GOLDEN_PATH.read_text()


def test_golden_file_is_read_as_the_session():
    """The frames that released versions send are decoded unchanged."""
    decoder = FrameDecoder(Frame, FRAME_LIMIT_BYTES)
    data = b"".join(bytes.fromhex(line) for line in GOLDEN_PATH.read_text().split())
    assert decoder.feed(data) == session_frames()


if __name__ == "__main__":
    GOLDEN_PATH.write_text(golden_text())
