"""Answers of a faulty server that go on until the caller closes its connection.

Each of `ENDLESS_ANSWERS` has a beginning, which is sent once, and a piece, which is
repeated.  `serve_endless` sends one; `EndlessService` does so as the behaviour of a
`standins.platform_server.PlatformServerStandin` and counts what its callers do.
"""

import time

import curio

from standins.platform_behaviours import answer_bytes, CLOSE, event, sealed

CHUNK = b"10000\r\n" + bytes(65_536) + b"\r\n"
SMALL_CHUNKS = b"1\r\na\r\n" * 4096
STREAM_TYPE = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
# Stops by itself, in case its caller never closes.
LONGEST_S = 30.0


class EndlessAnswer:
    """An answer without end.

    Parameters
    ----------
    headers : sequence of str or None
        Headers of a valid head that comes first; None for no head.
    piece : bytes
        Repeated without end.
    status : str
        Status of that head.
    begin : bytes
        Sent before the first piece.
    """

    def __init__(self, headers, piece, status="200 OK", begin=b""):
        self._headers = headers
        self._status = status
        self._begin = begin
        self.piece = piece

    def beginning(self, request_id):
        """Return the bytes before the first piece."""
        if self._headers is None:
            return self._begin
        lines = [f"HTTP/1.1 {self._status}", f"X-Request-Id: {request_id}"]
        head = "\r\n".join([*lines, *sealed(), *self._headers])
        return head.encode() + b"\r\n\r\n" + self._begin


def _events():
    return b"".join(
        b"%x\r\n%b\r\n" % (len(event(number)), event(number)) for number in range(1, 99)
    )


OK_LINE = b"HTTP/1.1 200 OK\r\n"
DECLINED = ["X-Not-Executed: 1", CHUNKED]
ENDLESS_ANSWERS = {
    "no answer": EndlessAnswer(None, bytes(65_536)),
    "header line": EndlessAnswer(None, b"a" * 65_536, begin=OK_LINE + b"X-Long: "),
    "header line by bytes": EndlessAnswer(None, b"a", begin=OK_LINE + b"X-Long: "),
    "header fields": EndlessAnswer(None, b"X-A: b\r\n" * 4096, begin=OK_LINE),
    "informational": EndlessAnswer(None, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048),
    "others' answers": EndlessAnswer(
        None, answer_bytes("another", body=b"not yours\n") * 512
    ),
    "others' answer": EndlessAnswer(
        None,
        CHUNK,
        begin=OK_LINE + b"X-Request-Id: another\r\n" + b"%b\r\n\r\n" % CHUNKED.encode(),
    ),
    "chunks": EndlessAnswer([CHUNKED], CHUNK),
    "small chunks": EndlessAnswer([CHUNKED], SMALL_CHUNKS),
    "small chunks by bytes": EndlessAnswer([CHUNKED], b"1\r\na\r\n"),
    "chunk size": EndlessAnswer([CHUNKED], b"0" * 65_536),
    "trailer": EndlessAnswer([CHUNKED], b"X-A: b\r\n" * 4096, begin=b"0\r\n"),
    "body to the close": EndlessAnswer([], bytes(65_536)),
    "failed": EndlessAnswer([CHUNKED], CHUNK, "500 Internal Server Error"),
    "declined": EndlessAnswer(DECLINED, CHUNK, "503 Service Unavailable"),
    "event": EndlessAnswer([STREAM_TYPE, CHUNKED], CHUNK),
    "events": EndlessAnswer([STREAM_TYPE, CHUNKED], _events()),
    "bytes after the answer": EndlessAnswer(
        ["Content-Length: 5"], bytes(65_536), begin=b"done\n"
    ),
}


async def serve_endless(client, answer, request_id=""):
    """Send an answer until the caller closes the connection.

    Parameters
    ----------
    client : curio.io.Socket
        Connection of the caller.
    answer : EndlessAnswer
        The answer.
    request_id : str
        Id of the request that is answered.

    Returns
    -------
    tuple of bool, int
        Whether the caller has closed the connection, and the bytes sent before.
    """
    ends_s = time.monotonic() + LONGEST_S
    sent_bytes = 0
    try:
        await client.sendall(answer.beginning(request_id))
        while time.monotonic() < ends_s:
            await client.sendall(answer.piece)
            sent_bytes += len(answer.piece)
            # The process has other tasks, and sending suspends none of its own.
            await curio.sleep(0)
    except OSError:
        return True, sent_bytes
    return False, sent_bytes


class EndlessService:
    """Behaviour of a server whose answers never end.

    Parameters
    ----------
    answer : EndlessAnswer
        Its answer to each request.

    Attributes
    ----------
    began_count, closed_count : int
        Answers that it has begun, and those whose callers have closed the connection.
    longest_s : float
        Longest time from the start of an answer until its caller closed, seconds.
    most_bytes : int
        Size of the longest answer, bytes.
    """

    def __init__(self, answer):
        self._answer = answer
        self.began_count = 0
        self.closed_count = 0
        self.longest_s = 0.0
        self.most_bytes = 0

    async def __call__(self, server, request, client):
        """Answer one request."""
        self.began_count += 1
        began_s = time.monotonic()
        is_closed, sent_bytes = await serve_endless(
            client, self._answer, request.request_id
        )
        self.closed_count += is_closed
        self.most_bytes = max(self.most_bytes, sent_bytes)
        self.longest_s = max(self.longest_s, time.monotonic() - began_s)
        return CLOSE

    def as_json(self):
        """Return its counts as a JSON value."""
        return {
            "began_count": self.began_count,
            "closed_count": self.closed_count,
            "longest_s": self.longest_s,
            "most_bytes": self.most_bytes,
        }
