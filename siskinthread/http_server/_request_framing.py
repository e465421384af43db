"""Pass the bytes of a caller to h11 in portions that are cheap to parse."""

import re

import h11

from siskinthread.http_server._chunk_merger import ChunkMerger

BLANK_LINE = re.compile(rb"\n\r?\n")
# Bytes before the end of the input in which a blank line may have begun.
BLANK_LINE_OVERLAP = 2
FIRST_LINE_ENDS = (b"\r\n", b"\n")
# Chunks that are decoded, and header lines that are parsed, before other tasks have
# their turn.
PARTS_PER_TURN = 512
LINES_PER_TURN = 64


class RequestFraming:
    """Finds the ends of heads and bodies, so that h11 gets only what it reads next.

    Parameters
    ----------
    http : h11.Connection
        Parses what is passed on.
    head_size_limit_bytes : int
        Maximum size of a head, of a chunk line and of a trailer section.

    Attributes
    ----------
    is_costly : bool
        Whether the last portion held many chunks or holds many header lines, so that
        other tasks should have their turn before reading goes on.
    """

    __slots__ = (
        "_http",
        "_is_ended",
        "_left_bytes",
        "_limit_bytes",
        "_merger",
        "_rest",
        "_searched_bytes",
        "is_costly",
    )

    def __init__(self, http, head_size_limit_bytes):
        self._http = http
        self._limit_bytes = head_size_limit_bytes
        self._rest = bytearray()
        self._searched_bytes = 0
        self._is_ended = False
        self._left_bytes = 0
        self._merger = None
        self.is_costly = False

    def held_bytes(self):
        """Return the number of bytes that wait to be passed on."""
        return len(self._rest)

    def add(self, data):
        """Add bytes from the caller; no bytes mean the end of its input."""
        self._rest += data
        self._is_ended = self._is_ended or not data

    def begin_body(self, request):
        """Prepare for the body of an `h11.Request`."""
        self._merger = None
        self._left_bytes = 0
        for name, value in request.headers:
            if name == b"transfer-encoding":
                self._merger = ChunkMerger(self._limit_bytes)
            elif name == b"content-length":
                self._left_bytes = int(value)

    def pass_on(self):
        """Pass the next portion to h11; return False if more input is needed."""
        self.is_costly = False
        if self._rest:
            size_bytes, portion = self._next_portion()
            del self._rest[:size_bytes]
            if portion:
                self._searched_bytes = 0
                self._http.receive_data(portion)
                return True
        if not self._is_ended:
            return False
        if self._rest:
            self._http.receive_data(bytes(self._rest))
            self._rest.clear()
        self._http.receive_data(b"")
        return True

    def _next_portion(self):
        """Return how many bytes are done with, and what h11 gets for them."""
        if self._http.their_state is h11.SEND_BODY:
            if self._merger is None:
                portion = bytes(self._rest[: self._left_bytes])
                self._left_bytes -= len(portion)
                return len(portion), portion
            if not self._merger.is_last:
                return self._merge()
        return self._lines_to_blank()

    def _merge(self):
        data = bytes(self._rest)
        framing, size_bytes, self.is_costly = self._merger.merge(data, PARTS_PER_TURN)
        return size_bytes, framing

    def _lines_to_blank(self):
        """Return a head or a trailer section, complete or too long."""
        rest = self._rest
        for line_end in FIRST_LINE_ENDS:
            if rest.startswith(line_end):
                return len(line_end), line_end
        match = BLANK_LINE.search(rest, self._searched_bytes)
        if match is not None:
            portion = bytes(rest[: match.end()])
            self.is_costly = portion.count(b"\n") > LINES_PER_TURN
            return len(portion), portion
        if len(rest) > self._limit_bytes or rest[0] <= ord(" "):
            # h11 reports it as too long, or as no request.
            return len(rest), bytes(rest)
        self._searched_bytes = max(0, len(rest) - BLANK_LINE_OVERLAP)
        return 0, b""
