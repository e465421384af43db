"""Heads of answers: what each reader refuses, and what it must not refuse."""

import curio
import h11
import pytest

from siskinthread.settings import Address
from siskinthread.sockets import AnswerParser
from siskinthread.sockets.tests.test_answer_receiver import (
    DEADLINE_S,
    read_by_agent,
    read_by_gateway,
    read_by_http_client,
)
from standins.odd_answers import ODD_ANSWERS
from standins.platform_server import PlatformServerStandin

READERS = [read_by_http_client, read_by_agent, read_by_gateway]
# Text of bodies looks like odd heads.
BODY = b"a\n b\n\tc\x01\x7f\r\rHTTP/9.9 000 d\r\n\r\n e"
SIZE = f"Content-Length: {len(BODY)}".encode()
CHUNKS = b"%x\r\n%s\r\n0\r\nX-A: b\r\n\r\n" % (len(BODY), BODY)
EARLY = b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n"
SOUND_ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\n%s\r\n\r\n%s" % (SIZE, BODY),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
    "early heads": EARLY * 3 + b"HTTP/1.1 200 OK\r\n%s\r\n\r\n%s" % (SIZE, BODY),
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n%s\r\n\r\n%s" % (SIZE, BODY),
    "no reason": b"HTTP/1.1 200\r\n%s\r\n\r\n%s" % (SIZE, BODY),
    "text beyond ASCII": b"HTTP/1.1 200 \xe9\r\nX-A: \xff\tb \r\n%s\r\n\r\n%s"
    % (SIZE, BODY),
    "empty value": b"HTTP/1.1 599 OK\r\nX-A:\r\n%s\r\n\r\n%s" % (SIZE, BODY),
    "line feeds only": b"HTTP/1.1 200 OK\nX-A: b\n%s\n\n%s" % (SIZE, BODY),
}


@pytest.mark.parametrize("read", READERS, ids=lambda one: one.__name__)
@pytest.mark.parametrize("odd", ODD_ANSWERS.values(), ids=ODD_ANSWERS)
def test_no_reader_accepts_an_odd_head(read, odd):
    """Guards against a reader that takes another head or body than was sent."""

    async def main():
        async with PlatformServerStandin("i-1", default=odd) as server:
            address = Address(server.host, server.port)
            await curio.timeout_after(2 * DEADLINE_S, read, address)
            assert len(server.seen) == 1

    curio.run(main)


def read_all(parser, data, step_bytes):
    """Return the statuses and bodies of two answers, received in pieces."""
    received = []
    for _ in range(2):
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        parser.send(h11.EndOfMessage())
        body = b""
        pieces = [data[at : at + step_bytes] for at in range(0, len(data), step_bytes)]
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(pieces.pop(0))
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                break
        received.append((status, body))
        if parser.their_state is not h11.DONE:
            # The connection ends after an answer in HTTP/1.0.
            return received
        parser.start_next_cycle()
    return received


@pytest.mark.parametrize("step_bytes", [1, 7, 100, 100_000])
@pytest.mark.parametrize("data", SOUND_ANSWERS.values(), ids=SOUND_ANSWERS)
def test_sound_answers_are_read_as_sent(data, step_bytes):
    """Guards against a sound answer that is refused for bytes of its body."""
    received = read_all(AnswerParser(), data, step_bytes)
    status = 599 if b" 599 " in data else 200
    assert set(received) == {(status, BODY)}


@pytest.mark.parametrize("odd", ODD_ANSWERS.values(), ids=ODD_ANSWERS)
def test_odd_head_is_refused_however_it_arrives(odd):
    """Guards against an odd line that is split between two receives."""
    data = odd.encode("id-1")
    for step_bytes in (1, 2, 3, len(data)):
        with pytest.raises(h11.RemoteProtocolError):
            # At the end of a body without length, the connection ends.
            read_all(AnswerParser(), data + b"\r\n\r\n", step_bytes)
