"""What a caller takes for a whole answer, against the events that it was made from."""

import curio
import h11
from hypothesis import given, settings, strategies

from siskinthread.callers.tests.fakes import Bench, request_bytes
from siskinthread.outcomes import End, Head, Outcome, Part, Reason

GET = request_bytes("GET", "/services/varsel/a")
LIMIT_BYTES = 20


class Seen:
    """A response as an independent HTTP client reads it."""

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
    """A caller's client sees a whole 200 exactly if the answer was whole.

    The naive version joins the parts; the announced length is absent, right or wrong,
    and the answer is buffered or streamed.
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

    seen = Seen(curio.run(run))
    streams = content_type == "text/event-stream"
    length_fits = streams or surplus is None or headers[-1][1] == str(len(body))
    expects_whole = outcome is Outcome.ANSWERED and length_fits
    assert (seen.whole and seen.status == 200) == expects_whole
    if expects_whole:
        assert seen.body == body
