"""Ledger, buffers and links compared with a reference model that discards nothing."""

import curio
from hypothesis import given, settings as hypothesis_settings, strategies as st

from siskinthread.execution._link import Link
from siskinthread.execution.tests.fakes import (
    Answer,
    Harness,
    keyed_request,
    resume_request,
    start_request,
)
from siskinthread.outcomes import Outcome, Reason
from siskinthread.wire import (
    Acknowledge,
    Frame,
    FrameDecoder,
    Hello,
    message_of,
    ResponseEnd,
    ResponsePart,
)

ENTRIES = ("entry-1", "entry-2")
REQUESTS = ("key/varsel/account-1/k-1", "r-1")
WINDOW_BYTES = 5
STEPS_FOR_TASKS = 6
ROUNDS_LIMIT = 300


class ModelRequest:
    """A request with its whole body and the offset that each attempt acknowledged."""

    def __init__(self, keyed):
        self.keyed = keyed
        self.body = b""
        self.ended = False
        self.base_bytes = 0
        self.acknowledged = {}

    def acknowledge(self, attempt, received_bytes):
        """Advance an attempt; without a key, discard what all acknowledged."""
        self.acknowledged[attempt] = max(self.acknowledged[attempt], received_bytes)
        if not self.keyed:
            wanted = min(self.acknowledged.values())
            self.base_bytes = max(self.base_bytes, wanted)


class Differential:
    """Drives an agent server without sockets, and the reference model beside it."""

    def __init__(self, harness):
        self.harness = harness
        self.model = {}
        self.links = {}
        self.answers = {}
        self.request_of = {}
        self.gone = set()

    async def run_tasks(self):
        """Let the tasks of the runner handle the events of the target."""
        for _ in range(STEPS_FOR_TASKS):
            await curio.sleep(0)

    def connect(self, entry):
        """Replace the connection of an entry; its unread frames are lost."""
        if entry in self.links:
            self.harness.server.handler.detach_link(self.links[entry])
        hello = Hello(host=entry, incarnation=entry)
        self.links[entry] = Link(None, hello, self.harness.server)

    async def start(self, entry, number, name):
        """Send a start frame, which may be a repeated one."""
        attempt = (entry, number)
        name = self.request_of.setdefault(attempt, name)
        keyed = name.startswith("key/")
        build = keyed_request if keyed else lambda harness, n: start_request(n, name)
        message = build(self.harness, number)
        message.window_bytes = WINDOW_BYTES
        message.issued_at_ms = self.harness.clock.unix_ms()
        if attempt not in self.answers:
            self.answers[attempt] = Answer()
            model = self.model.setdefault(name, ModelRequest(keyed))
            if model.base_bytes:
                self.gone.add(attempt)
            else:
                model.acknowledged[attempt] = 0
        await self.harness.server.handler.start(message, self.links[entry])

    async def lose(self, entry):
        """Lose the frames that were written to a connection, and reconnect."""
        self.links[entry]._take_batch()
        await self.reconnect(entry)

    async def reconnect(self, entry):
        """Resume all attempts that have no end over a new connection."""
        self.connect(entry)
        for attempt, answer in self.answers.items():
            if attempt[0] != entry or answer.end is not None:
                continue
            message = resume_request(
                attempt[1],
                self.request_of[attempt],
                len(answer.body),
                window_bytes=WINDOW_BYTES,
            )
            await self.harness.server.handler.resume(message, self.links[entry])
            if attempt not in self.gone:
                model = self.model[self.request_of[attempt]]
                model.acknowledged[attempt] = max(
                    model.acknowledged[attempt], len(answer.body)
                )

    async def emit(self, name, data):
        """Let the target send the next part of a body."""
        if name in self.model and not self.model[name].ended:
            await self.call(name).part(data)
            self.model[name].body += data
            await self.run_tasks()

    async def end(self, name):
        """Let the target end a response."""
        if name in self.model and not self.model[name].ended:
            self.model[name].ended = True
            await self.call(name).end()
            await self.run_tasks()

    def call(self, name):
        """Return the only call of a request."""
        calls = [it for it in self.harness.target.calls if it.request_id == name]
        assert len(calls) == 1
        return calls[0]

    def read(self, entry):
        """Read the frames that are written to the connection of an entry."""
        decoder = FrameDecoder(Frame, 1 << 20)
        for frame in decoder.feed(self.links[entry]._take_batch()):
            self.take(entry, message_of(frame))

    def take(self, entry, message):
        """Check a message against the reference model."""
        attempt = (entry, message.attempt)
        answer = self.answers[attempt]
        model = self.model[self.request_of[attempt]]
        if isinstance(message, ResponsePart):
            assert message.offset_bytes == len(answer.body)
            answer.body += message.data
            assert model.body.startswith(answer.body)
            under_way = len(answer.body) - model.acknowledged[attempt]
            assert under_way <= WINDOW_BYTES
        elif isinstance(message, ResponseEnd):
            answer.end = message

    async def acknowledge(self, entry, number, back_bytes):
        """Acknowledge the bytes that were read, less `back_bytes`."""
        attempt = (entry, number)
        if attempt not in self.answers or attempt in self.gone:
            return
        received_bytes = max(0, len(self.answers[attempt].body) - back_bytes)
        self.model[self.request_of[attempt]].acknowledge(attempt, received_bytes)
        message = Acknowledge(number, received_bytes, False)
        await self.harness.server.handler.acknowledge(message, self.links[entry])
        await self.run_tasks()

    async def finish(self):
        """Receive the end of every attempt and compare the answers with the model."""
        for name in list(self.model):
            await self.end(name)
        for entry in ENTRIES:
            await self.reconnect(entry)
        for _ in range(ROUNDS_LIMIT):
            if all(answer.end is not None for answer in self.answers.values()):
                break
            for entry, number in self.answers:
                self.read(entry)
                await self.acknowledge(entry, number, 0)
        for attempt, answer in self.answers.items():
            model = self.model[self.request_of[attempt]]
            result = (Outcome(answer.end.outcome), answer.end.reason)
            if attempt in self.gone:
                assert result == (Outcome.UNKNOWN, Reason.ANSWER_GONE)
            else:
                assert result == (Outcome.ANSWERED, Reason.COMPLETE)
                assert answer.body == model.body


entries = st.sampled_from(ENTRIES)
numbers = st.integers(1, 3)
names = st.sampled_from(REQUESTS)
steps = st.one_of(
    st.tuples(st.just("start"), entries, numbers, names),
    st.tuples(st.just("reconnect"), entries),
    st.tuples(st.just("lose"), entries),
    st.tuples(st.just("emit"), names, st.binary(min_size=1, max_size=9)),
    st.tuples(st.just("end"), names),
    st.tuples(st.just("read"), entries),
    st.tuples(st.just("acknowledge"), entries, numbers, st.integers(0, 4)),
)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(steps, min_size=10, max_size=60))
def test_against_naive_agent(script):
    """Every attempt gets the whole answer though frames are repeated, lost or late.

    Each request runs once, no attempt is sent more than its window, and unacknowledged
    bytes are never discarded.
    """

    async def main():
        harness = Harness(stream_buffer_limit_bytes=12, part_limit_bytes=4)
        driver = Differential(harness)
        for entry in ENTRIES:
            driver.connect(entry)
        for action, *arguments in script:
            done = getattr(driver, action)(*arguments)
            if done is not None:
                await done
        await driver.finish()
        await harness.server._runner.close()

    curio.run(main)
