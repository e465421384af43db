"""Behaviours of a stand-in of a server on the users' platform.

Each behaviour is ``async behaviour(server, request, client)`` and writes raw bytes,
since an HTTP library refuses to send most of these faults.  It returns `CLOSE` if the
connection is to be closed.
"""

import contextlib
import os

import curio

READ_SIZE_BYTES = 65_536
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
CLOSE = object()
# Time from the start of a request until the server crashes.
CRASH_AFTER_S = 0.01
FOR_EVER_S = 3600.0
# Exit status of a server process that crashes under a request.
CRASH_EXIT_STATUS = 3


def answer_bytes(request_id, status="200 OK", body=b"done\n", headers=()):
    """Return the bytes of a complete answer."""
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {request_id}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def sealed(headers=()):
    """Return headers with the seal that marks an answer as the server's own."""
    return [f"X-Response-Seal: {SEAL}", "X-Server-Load: 1,0,6", *headers]


async def answer_whole(server, request, client):
    """Answer 200 with a complete body."""
    await client.sendall(answer_bytes(request.request_id, headers=sealed()))


def answer_after(wait_s):
    """Return a behaviour that answers 200 after a time in seconds."""

    async def behave(server, request, client):
        await curio.sleep(wait_s)
        await answer_whole(server, request, client)

    return behave


async def decline(server, request, client):
    """Answer 503 with the statement that the request was not run."""
    data = answer_bytes(
        request.request_id,
        "503 Service Unavailable",
        b"",
        ["X-Not-Executed: 1", "X-Server-Load: 6,6,6"],
    )
    await client.sendall(data)


async def decline_for_group(server, request, client):
    """Answer 503 and not run, caused by the failure of another rank's server."""
    data = answer_bytes(
        request.request_id,
        "503 Service Unavailable",
        b"",
        ["X-Not-Executed: 1", "At-Server: i-other"],
    )
    await client.sendall(data)


async def refuse_without_run_status(server, request, client):
    """Answer 503 without stating whether the request ran."""
    data = answer_bytes(request.request_id, "503 Service Unavailable", b"", sealed())
    await client.sendall(data)


async def decline_with_cut_body(server, request, client):
    """Answer 503 and not run, and close the connection within the body."""
    data = answer_bytes(
        request.request_id, "503 Service Unavailable", b"full\n", ["X-Not-Executed: 1"]
    )
    await client.sendall(data[:-2])
    return CLOSE


async def answer_and_close_unannounced(server, request, client):
    """Answer, and close the connection without a ``Connection: close`` header."""
    await answer_whole(server, request, client)
    return CLOSE


async def misdirect(server, request, client):
    """Answer 421: the request was meant for another instance."""
    data = answer_bytes(
        request.request_id, "421 Misdirected Request", b"", ["X-Instance-Id: i-new"]
    )
    await client.sendall(data)


def misdirect_with(*headers):
    """Return a behaviour that answers 421 with the given headers."""

    async def behaviour(server, request, client):
        data = answer_bytes(request.request_id, "421 Misdirected Request", b"", headers)
        await client.sendall(data)

    return behaviour


async def fail(server, request, client):
    """Answer 500 after the request ran."""
    data = answer_bytes(
        request.request_id, "500 Internal Server Error", b"sorry\n", sealed()
    )
    await client.sendall(data)


async def lose_answer(server, request, client):
    """Close the connection without an answer after the request ran."""
    return CLOSE


async def crash_during_request(server, request, client):
    """Start to run the request, and end the server before the answer."""
    await curio.sleep(CRASH_AFTER_S)
    await curio.spawn(server.end, daemon=True)
    await curio.sleep(FOR_EVER_S)


async def end_process(server, request, client):
    """Start to run the request, and end the whole process before the answer."""
    await curio.sleep(CRASH_AFTER_S)
    os._exit(CRASH_EXIT_STATUS)


async def cut_answer(server, request, client):
    """Close the connection within the body."""
    await client.sendall(answer_bytes(request.request_id, headers=sealed())[:-2])
    return CLOSE


async def answer_twice(server, request, client):
    """Send the answer twice."""
    answer = answer_bytes(request.request_id, headers=sealed())
    await client.sendall(answer + answer)


async def answer_another_first(server, request, client):
    """Send an answer with another request id before the answer of this request."""
    other = answer_bytes("another-request", body=b"not yours\n", headers=sealed())
    await client.sendall(other + answer_bytes(request.request_id, headers=sealed()))


async def answer_invalid_bytes(server, request, client):
    """Send bytes that are no HTTP response."""
    await client.sendall(b"\x00\x01\x02 nonsense\r\n\r\n")


async def hang(server, request, client):
    """Never answer, and set `closed_early` when the caller disconnects."""
    # A caller that cancels its request resets the connection.
    with contextlib.suppress(ConnectionResetError):
        while await client.recv(READ_SIZE_BYTES):
            pass
    await server.closed_early.set()
    return CLOSE


def answer_unframed(data, *headers, crashes_server=False):
    """Return a behaviour that answers with a body that ends with the connection.

    The answer has neither a content length nor chunks.

    Parameters
    ----------
    data : bytes
        Body that is sent before the connection ends.
    *headers : str
        Additional headers.
    crashes_server : bool
        Whether the connection ends because the server ends.
    """

    async def behave(server, request, client):
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {request.request_id}"]
        head = "\r\n".join([*lines, *headers, *sealed()])
        await client.sendall(head.encode() + b"\r\n\r\n" + data)
        if crashes_server:
            await crash_during_request(server, request, client)
        return CLOSE

    return behave


async def answer_until_close(server, request, client):
    """Answer with a body that ends with the connection."""
    return await answer_unframed(b"done\n")(server, request, client)


def event(number):
    """Return the bytes of an event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


def stream(first, last, cut_within=None, gap_s=0.0):
    """Return a behaviour that sends events, and may close within an event.

    Parameters
    ----------
    first, last : int
        Ids of the first and the last event.
    cut_within : int or None
        Id of the event within which the connection is closed.
    gap_s : float
        Pause before each event, seconds.
    """

    async def behave(server, request, client):
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request.request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *sealed([f"X-Instance-Id: {server.instance_id}"]),
        ]
        await client.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(first, last + 1):
            await curio.sleep(gap_s)
            data = event(number)
            if number == cut_within:
                await client.sendall(_chunk(data[: len(data) // 2]))
                return CLOSE
            await client.sendall(_chunk(data))
        await client.sendall(b"0\r\n\r\n")
        return None

    return behave


def answer_in_pieces(piece, count, gap_s=0.0, is_cut=False):
    """Return a behaviour that sends a chunked body.

    Parameters
    ----------
    piece : bytes
        Each chunk.
    count : int
        Number of chunks.
    gap_s : float
        Pause before each chunk, seconds.
    is_cut : bool
        Whether the connection is closed without the last chunk.
    """

    async def behave(server, request, client):
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request.request_id}",
            "Transfer-Encoding: chunked",
            *sealed(),
        ]
        await client.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        for _ in range(count):
            await curio.sleep(gap_s)
            await client.sendall(_chunk(piece))
        if is_cut:
            return CLOSE
        await client.sendall(b"0\r\n\r\n")
        return None

    return behave


def _chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def cut_unless_resumed(server, request, client):
    """Cut a stream within its third event, or resume it after the last event id."""
    last_id = request.headers.get("last-event-id")
    if last_id is None:
        return await stream(1, 5, cut_within=3)(server, request, client)
    return await stream(int(last_id) + 1, 5)(server, request, client)


BEHAVIOURS = {
    "answer": answer_whole,
    "decline": decline,
    "fail": fail,
    "lose": lose_answer,
    "stream": stream(1, 5, gap_s=0.05),
    "slow": stream(1, 5, gap_s=0.4),
    "cut": cut_unless_resumed,
    "end": end_process,
}
