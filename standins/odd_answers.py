"""Answers of a server in trouble whose heads are no heads in HTTP/1.1."""

from standins.platform_behaviours import sealed

BODY = b"done\n"
# Marks each odd line, so that a test finds it in what a caller gets.
MARK = b"X-Odd"


class OddAnswer:
    """An answer with an odd line in its head or trailer.

    Parameters
    ----------
    status_line : bytes
        First line without its end.
    lines : tuple of bytes
        Lines of the head after those of a sound answer.
    first_lines : tuple of bytes
        Lines of the head before those.
    framing : bytes
        Line that states how the body is delimited.
    body : bytes
        Body with its framing.
    before : bytes
        Bytes before the status line.
    """

    def __init__(
        self,
        status_line=b"HTTP/1.1 200 OK",
        lines=(),
        first_lines=(),
        framing=b"Content-Length: 5",
        body=BODY,
        before=b"",
    ):
        self._status_line = status_line
        self._lines = lines
        self._first_lines = first_lines
        self._framing = framing
        self._body = body
        self._before = before

    def encode(self, request_id):
        """Return the bytes of the answer to a request."""
        lines = [
            self._status_line,
            *self._first_lines,
            f"X-Request-Id: {request_id}".encode(),
            *(line.encode() for line in sealed()),
            self._framing,
            *self._lines,
        ]
        return self._before + b"\r\n".join(lines) + b"\r\n\r\n" + self._body

    async def __call__(self, server, request, client):
        """Answer a request."""
        await client.sendall(self.encode(request.request_id))


def _line(line):
    # Follows a line to which any text may be joined.
    return OddAnswer(lines=(b"X-A: b", line))


def _status(text):
    return OddAnswer(b"HTTP/1.1 " + text + b" Odd")


STATUSES = (
    b"000",
    b"001",
    b"099",
    b"600",
    b"999",
    b"abc",
    b"20",
    b"2000",
    b"+200",
    b"-200",
    b"2 0",
    b"",
)
ODD_STATUSES = {
    f"status {text.decode() or 'missing'}": _status(text) for text in STATUSES
} | {
    "no status line": OddAnswer(b"X-Odd: v"),
    "version of two digits": OddAnswer(b"HTTP/1.10 200 OK"),
    "another protocol": OddAnswer(b"ICY 200 OK"),
}
ODD_NAMES = {
    "blank in a name": _line(b"X-Odd A: v"),
    "tab in a name": _line(b"X-Odd\tA: v"),
    "control byte in a name": _line(b"X-Odd\x01A: v"),
    "NUL in a name": _line(b"X-Odd\0A: v"),
    "DEL in a name": _line(b"X-Odd\x7fA: v"),
    "latin-1 in a name": _line(b"X-Odd\xe9A: v"),
    "carriage return in a name": _line(b"X-Odd\rA: v"),
    "blank before the colon": _line(b"X-Odd : v"),
    "no name": _line(b": X-Odd"),
    "no colon": _line(b"X-Odd"),
    "length with a blank": OddAnswer(framing=b"Content-Length : 3"),
    "chunks with a blank": OddAnswer(
        framing=b"Transfer-Encoding : chunked", body=b"5\r\ndone\n\r\n0\r\n\r\n"
    ),
    "blank in a name of a trailer": OddAnswer(
        framing=b"Transfer-Encoding: chunked",
        body=b"5\r\ndone\n\r\n0\r\nX-Odd A: v\r\n\r\n",
    ),
}
# The line is joined to the one before it by lenient parsers.
FOLDED = {
    "blank before a name": _line(b" X-Odd: v"),
    "tab before a name": _line(b"\tX-Odd: v"),
    "vertical tab before a name": _line(b"\x0bX-Odd: v"),
    "blank before a length": _line(b" Content-Length: 3"),
    "blank before a length after the status": OddAnswer(
        first_lines=(b" Content-Length: 3",)
    ),
    "blank before the only length": OddAnswer(framing=b" Content-Length: 3"),
    "blank before a name in an early head": OddAnswer(
        before=b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n X-Odd: v\r\n\r\n"
    ),
}
CONTROL_BYTES = {
    "control byte in a value": _line(b"X-Odd: a\x01b"),
    "escape in a value": _line(b"X-Odd: a\x1bb"),
    "DEL in a value": _line(b"X-Odd: a\x7fb"),
    "NUL in a value": _line(b"X-Odd: a\0b"),
    "carriage return in a value": _line(b"X-Odd: a\rb"),
    "control byte in the reason": OddAnswer(b"HTTP/1.1 200 X-Odd\x01"),
    "DEL in the reason": OddAnswer(b"HTTP/1.1 200 X-Odd\x7f"),
}
VERSIONS = {
    f"HTTP/{version}": OddAnswer(f"HTTP/{version} 200 OK".encode())
    for version in ("0.9", "2.0", "3.1")
}
ODD_ANSWERS = ODD_STATUSES | ODD_NAMES | FOLDED | CONTROL_BYTES | VERSIONS
