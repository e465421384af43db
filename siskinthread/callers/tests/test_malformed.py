"""Input that is not valid HTTP."""

import curio
from hypothesis import given, settings, strategies

from siskinthread.callers.tests.fakes import (
    Bench,
    chat_body,
    complete_answer,
    request_bytes,
)

HEALTH = request_bytes("GET", "/healthz")
VALID = [
    request_bytes("POST", "/v1/chat/completions", chat_body(stream=False), close=False),
    request_bytes("GET", "/services/varsel/a", close=False),
    request_bytes("POST", "/services/varsel/a", Transfer_Encoding="chunked")
    + b"3\r\nabc\r\n0\r\n\r\n",
]


@strategies.composite
def corrupted_requests(draw):
    """Return requests with some bytes replaced, removed or inserted."""
    data = b"".join(draw(strategies.lists(strategies.sampled_from(VALID), max_size=3)))
    for _ in range(draw(strategies.integers(0, 4))):
        at = draw(strategies.integers(0, len(data)))
        cut = draw(strategies.integers(0, 9))
        data = data[:at] + draw(strategies.binary(max_size=9)) + data[at + cut :]
    return data


@settings(derandomize=True, deadline=None, max_examples=150)
@given(strategies.one_of(corrupted_requests(), strategies.binary(max_size=200)))
def test_garbage_ends_in_a_response_or_a_closed_connection(data):
    """After any input the connection ends and the server serves the next connection."""

    async def run():
        async with Bench(lambda request: complete_answer()).running() as bench:
            client = await bench.connect()
            await client.sendall(data)
            await client.shutdown(curio.socket.SHUT_WR)
            while await client.recv(65_536):
                pass
            await client.close()
            return await bench.exchange(HEALTH)

    assert curio.run(run).startswith(b"HTTP/1.1 200 ")
