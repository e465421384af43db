"""Relayed responses as an HTTP client parses them, compared with the events."""

from types import SimpleNamespace

import curio
import h11
import pytest
from hypothesis import given, settings, strategies

from siskinthread.callers._relay import Relay
from siskinthread.callers.tests.fakes import Bench, request_bytes
from siskinthread.outcomes import End, Head, Outcome, Part, Reason

GET = request_bytes("GET", "/services/varsel/a")
LIMIT_BYTES = 20


class ParsedResponse:
    """A response as parsed by an independent HTTP client."""

    def __init__(self, received):
        self.status = None
        self.body = b""
        self.whole = False
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        client.send(h11.EndOfMessage())
        client.receive_data(received)
        client.receive_data(b"")
        try:
            self._read(client)
        except h11.RemoteProtocolError:
            self.whole = False

    def _read(self, client):
        while not self.whole:
            event = client.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self.body += event.data
            self.whole = isinstance(event, h11.EndOfMessage)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    parts=strategies.lists(strategies.binary(max_size=15), max_size=5),
    surplus=strategies.sampled_from([None, 0, 0, -1, 1]),
    content_type=strategies.sampled_from(["text/plain", "text/event-stream"]),
    outcome=strategies.sampled_from(Outcome),
)
def test_only_whole_answers_look_whole(parts, surplus, content_type, outcome):
    """A client parses a complete 200 response if and only if the answer was complete.

    The expected body is the join of the parts.  The announced length is absent, right
    or wrong, and the answer is buffered or streamed.
    """
    body = b"".join(parts)
    headers = [("content-type", content_type)]
    if surplus is not None:
        headers.append(("content-length", str(max(0, len(body) + surplus))))
    events = [Head(200, headers), *(Part(0, data) for data in parts)]
    events.append(End(outcome, Reason.COMPLETE, length_bytes=len(body)))

    async def run():
        script = Bench(lambda request: events, whole_answer_limit_bytes=LIMIT_BYTES)
        async with script.running() as bench:
            return await bench.exchange(GET)

    parsed = ParsedResponse(curio.run(run))
    streams = content_type == "text/event-stream"
    length_fits = streams or surplus is None or headers[-1][1] == str(len(body))
    expects_whole = outcome is Outcome.ANSWERED and length_fits
    assert (parsed.whole and parsed.status == 200) == expects_whole
    if expects_whole:
        assert parsed.body == body


class Connection:
    """Records the body bytes written to a caller."""

    def __init__(self):
        self.written = b""

    def carries_body(self, status):
        """Return True for every answer."""
        return True

    async def write_head(self, status, headers):
        """Ignore the head."""

    async def write_data(self, data):
        """Record bytes of the body."""
        self.written += data

    async def write_end(self):
        """Ignore the end."""


@pytest.mark.parametrize("outcome", Outcome)
def test_announced_length_is_reached_by_whole_answers_only(outcome):
    """The last bytes of an announced length are sent only after a good outcome.

    An answer too large to buffer announces its length, delivers all bytes and then
    fails.  If the last bytes were sent at once, the caller could read them before the
    connection is closed and take the answer as complete.
    """
    body = [b"x" * 20, b"y"]
    headers = [("content-type", "text/plain"), ("content-length", "21")]
    events = [Head(200, headers), *(Part(0, data) for data in body)]
    events.append(End(outcome, Reason.COMPLETE, length_bytes=21))

    async def next_event():
        return events.pop(0)

    connection = Connection()
    built = SimpleNamespace(
        request=SimpleNamespace(request_id="id", token_estimate=0), streams=False
    )
    settings = SimpleNamespace(whole_answer_limit_bytes=LIMIT_BYTES)
    context = SimpleNamespace(settings=settings, closing=False)
    answer = SimpleNamespace(next_event=next_event)
    relay = Relay(connection, built, answer, context)
    curio.run(relay.run)
    is_whole = connection.written == b"".join(body)
    assert is_whole == (outcome is Outcome.ANSWERED)
    assert relay.broken != is_whole
