"""Requests read through `RequestFraming` and by h11 alone."""

import h11
import pytest
from hypothesis import given, strategies

from siskinthread.http_server._request_framing import (
    LINES_PER_TURN,
    PARTS_PER_TURN,
    RequestFraming,
)

LIMIT_BYTES = 512
HEAD = b"POST /a HTTP/1.1\r\nHost: b\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LAST = HEAD + b"Content-Length: 1\r\n\r\nz"
INPUTS = [
    LAST * 3,
    HEAD + b"\r\n" + LAST,
    HEAD + b"Content-Length: 5\r\n\r\nabcde" + LAST,
    HEAD + b"Content-Length: 5\r\n\r\nabc",
    HEAD.replace(b"\r\n", b"\n") + b"\n" + LAST,
    HEAD[:-5],
    b"\r\n" + LAST,
    b"\n" + LAST,
    b"\x16\x03\x01" + LAST,
    HEAD + b"X: " + b"y" * LIMIT_BYTES,
    HEAD + b"X: " + b"y" * LIMIT_BYTES + b"\r\n\r\n" + LAST,
    CHUNKED + b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n" + LAST,
    CHUNKED + b"1\r\na\r\n" * 2 * PARTS_PER_TURN + b"0\r\n\r\n" + LAST,
    CHUNKED + b"0\r\n\r\n" + LAST,
    CHUNKED + b"00\r\nA: b\r\nC: d\r\n\r\n" + LAST,
    CHUNKED + b"0\r\nA: b\r\n  c\r\n\n" + LAST,
    CHUNKED + b"0\r\n A: b\r\n\r\n" + LAST,
    CHUNKED + b"0\r\nA: " + b"y" * LIMIT_BYTES,
    CHUNKED + b"0\r\nA",
    CHUNKED + b"0A;x=y\r\n0123456789\r\nb; z \t\r\n01234567890\r\n0\r\n\r\n" + LAST,
    CHUNKED + b"2\r\nabX\r\n0\r\n\r\n",
    CHUNKED + b"2\r\nab\rX",
    CHUNKED + b"2\r\nab5\r\n",
    CHUNKED + b"2\nab\r\n0\r\n\r\n",
    CHUNKED + b"-2\r\nab\r\n0\r\n\r\n",
    CHUNKED + b"0x2\r\nab\r\n0\r\n\r\n",
    CHUNKED + b"1_0\r\nab\r\n0\r\n\r\n",
    CHUNKED + b" 2\r\nab\r\n0\r\n\r\n",
    CHUNKED + b"2 ;a\r\nab\r\n0\r\n\r\n",
    CHUNKED + b"2;a\nb\r\nab\r\n0\r\n\r\n",
    CHUNKED + b"2;a\rb\r\nab\r\n0\r\n\r\n",
    CHUNKED + b"\r\nab\r\n0\r\n\r\n",
    CHUNKED + b"123456789012345678901\r\nab",
    CHUNKED + b"2;" + b"y" * LIMIT_BYTES,
    CHUNKED + b"2\r\nab\r\n",
    CHUNKED + b"5\r\nab",
]


class Plain:
    """Passes pieces of input on to h11 as they are."""

    def __init__(self, http, pieces):
        self._http = http
        self._pieces = pieces

    def begin_body(self, request):
        """Prepare for nothing."""

    def pass_on(self):
        """Pass on the next piece; return False after the end of the input."""
        if not self._pieces:
            return False
        self._http.receive_data(self._pieces.pop(0))
        return True


class Framed:
    """Passes pieces of input on through `RequestFraming`."""

    def __init__(self, http, pieces):
        self._pieces = pieces
        self._framing = RequestFraming(http, LIMIT_BYTES)
        self.begin_body = self._framing.begin_body

    def pass_on(self):
        """Pass on the next portion; return False after the end of the input."""
        while not self._framing.pass_on():
            if not self._pieces:
                return False
            self._framing.add(self._pieces.pop(0))
        return True


def read_requests(reader_class, pieces):
    """Return all requests, and the status of the error or how reading ended."""
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=LIMIT_BYTES)
    reader = reader_class(http, list(pieces))
    requests = []
    try:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if not reader.pass_on():
                    return requests, "waits"
            elif isinstance(event, h11.Request):
                reader.begin_body(event)
                requests.append([event.target, list(event.headers), bytearray(), None])
            elif isinstance(event, h11.Data):
                requests[-1][2] += event.data
            elif isinstance(event, h11.EndOfMessage):
                requests[-1][3] = list(event.headers)
                http.send(h11.Response(status_code=204, headers=[]))
                http.send(h11.EndOfMessage())
                http.start_next_cycle()
            else:
                return requests, "closed"
    except h11.RemoteProtocolError as error:
        return requests, error.error_status_hint


def check(pieces):
    """Compare the framing of some pieces with that by h11."""
    expected = read_requests(Plain, [*pieces, b""])
    assert read_requests(Framed, [*pieces, b""]) == expected


@pytest.mark.parametrize("data", INPUTS)
@pytest.mark.parametrize("size_bytes", [1, 2, 3, 7, 4096])
def test_requests_are_the_same_however_their_bytes_come(data, size_bytes):
    """Guards against framing that differs from that of h11."""
    starts = range(0, len(data), size_bytes)
    check([data[start : start + size_bytes] for start in starts])


@given(strategies.data())
def test_requests_of_random_chunks_are_the_same(draw):
    """Guards against chunks that are merged wrongly at some split."""
    bodies = draw.draw(strategies.lists(strategies.binary(min_size=1, max_size=9)))
    chunks = [b"%x\r\n%b\r\n" % (len(body), body) for body in bodies]
    data = CHUNKED + b"".join(chunks) + b"0\r\n\r\n" + LAST
    cuts = draw.draw(strategies.sets(strategies.integers(1, len(data) - 1)))
    edges = [0, *sorted(cuts), len(data)]
    check([data[a:b] for a, b in zip(edges, edges[1:], strict=False)])


def test_many_small_chunks_are_read_in_turns():
    """Guards against small chunks that keep the processor from other callers."""
    http = h11.Connection(h11.SERVER)
    framing = RequestFraming(http, LIMIT_BYTES)
    framing.add(CHUNKED + b"1\r\na\r\n" * 2 * PARTS_PER_TURN)
    framing.pass_on()
    assert not framing.is_costly
    framing.begin_body(http.next_event())
    framing.pass_on()
    assert framing.is_costly
    assert len(http.next_event().data) <= PARTS_PER_TURN


def test_many_header_lines_are_parsed_in_turns():
    """Guards against header lines that keep the processor from other callers."""
    framing = RequestFraming(h11.Connection(h11.SERVER), LIMIT_BYTES)
    framing.add(HEAD + b"a:\r\n" * 2 * LINES_PER_TURN + b"\r\n")
    framing.pass_on()
    assert framing.is_costly
