"""Ledger, buffers and links against a naive agent that keeps everything for ever."""

import curio
from hypothesis import given, settings as hypothesis_settings, strategies as st

from siskinthread.execution._link import Link
from siskinthread.execution.tests.fakes import (
    Answer,
    Bench,
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


class NaiveRequest:
    """A request whose body is kept whole, and who still wants it from where."""

    def __init__(self, keyed):
        self.keyed = keyed
        self.body = b""
        self.ended = False
        self.base_bytes = 0
        self.acknowledged = {}

    def acknowledge(self, attempt, received_bytes):
        """Move an attempt on; without a key what all of them have is gone."""
        self.acknowledged[attempt] = max(self.acknowledged[attempt], received_bytes)
        if not self.keyed:
            wanted = min(self.acknowledged.values())
            self.base_bytes = max(self.base_bytes, wanted)


class Differential:
    """Drives an agent server without sockets beside the naive one."""

    def __init__(self, bench):
        self.bench = bench
        self.naive = {}
        self.links = {}
        self.answers = {}
        self.request_of = {}
        self.gone = set()

    async def settle(self):
        """Let the tasks of the runner take what the target said."""
        for _ in range(STEPS_FOR_TASKS):
            await curio.sleep(0)

    def connect(self, entry):
        """Replace the connection of an entry; what was not read of it is lost."""
        if entry in self.links:
            self.bench.server.handler.detach_link(self.links[entry])
        hello = Hello(host=entry, incarnation=entry)
        self.links[entry] = Link(None, hello, self.bench.server)

    async def start(self, entry, number, name):
        """Send a start frame, perhaps one that was sent before."""
        attempt = (entry, number)
        name = self.request_of.setdefault(attempt, name)
        keyed = name.startswith("key/")
        build = keyed_request if keyed else lambda bench, n: start_request(n, name)
        message = build(self.bench, number)
        message.window_bytes = WINDOW_BYTES
        message.issued_at_ms = self.bench.clock.unix_ms()
        if attempt not in self.answers:
            self.answers[attempt] = Answer()
            naive = self.naive.setdefault(name, NaiveRequest(keyed))
            if naive.base_bytes:
                self.gone.add(attempt)
            else:
                naive.acknowledged[attempt] = 0
        await self.bench.server.handler.start(message, self.links[entry])

    async def lose(self, entry):
        """Lose what was written to a connection, and reconnect."""
        self.links[entry]._gather()
        await self.reconnect(entry)

    async def reconnect(self, entry):
        """Ask about all attempts over a new connection."""
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
            await self.bench.server.handler.resume(message, self.links[entry])
            if attempt not in self.gone:
                naive = self.naive[self.request_of[attempt]]
                naive.acknowledged[attempt] = max(
                    naive.acknowledged[attempt], len(answer.body)
                )

    async def emit(self, name, data):
        """Let the target say more of a body that it has begun."""
        if name in self.naive and not self.naive[name].ended:
            await self.call(name).part(data)
            self.naive[name].body += data
            await self.settle()

    async def end(self, name):
        """Let the target end a response."""
        if name in self.naive and not self.naive[name].ended:
            self.naive[name].ended = True
            await self.call(name).end()
            await self.settle()

    def call(self, name):
        """Return the one call of a request."""
        calls = [it for it in self.bench.target.calls if it.request_id == name]
        assert len(calls) == 1
        return calls[0]

    def read(self, entry):
        """Read what the connection of an entry brings."""
        decoder = FrameDecoder(Frame, 1 << 20)
        for frame in decoder.feed(self.links[entry]._gather()):
            self.take(entry, message_of(frame))

    def take(self, entry, message):
        """Check a message against the naive agent."""
        attempt = (entry, message.attempt)
        answer = self.answers[attempt]
        naive = self.naive[self.request_of[attempt]]
        if isinstance(message, ResponsePart):
            assert message.offset_bytes == len(answer.body)
            answer.body += message.data
            assert naive.body.startswith(answer.body)
            under_way = len(answer.body) - naive.acknowledged[attempt]
            assert under_way <= WINDOW_BYTES
        elif isinstance(message, ResponseEnd):
            answer.end = message

    async def acknowledge(self, entry, number, back_bytes):
        """Acknowledge what was read, or an earlier point again."""
        attempt = (entry, number)
        if attempt not in self.answers or attempt in self.gone:
            return
        received_bytes = max(0, len(self.answers[attempt].body) - back_bytes)
        self.naive[self.request_of[attempt]].acknowledge(attempt, received_bytes)
        message = Acknowledge(number, received_bytes, False)
        await self.bench.server.handler.acknowledge(message, self.links[entry])
        await self.settle()

    async def finish(self):
        """Bring every attempt to its end and compare the answers."""
        for name in list(self.naive):
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
            naive = self.naive[self.request_of[attempt]]
            word = (Outcome(answer.end.outcome), answer.end.reason)
            if attempt in self.gone:
                assert word == (Outcome.UNKNOWN, Reason.ANSWER_GONE)
            else:
                assert word == (Outcome.ANSWERED, Reason.COMPLETE)
                assert answer.body == naive.body


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
    """Whatever is repeated, lost or late, every attempt gets the whole answer.

    Each request runs once, no attempt is sent beyond its window, and bytes that nobody
    acknowledged are still there.
    """

    async def main():
        bench = Bench(stream_buffer_limit_bytes=12, part_limit_bytes=4)
        driver = Differential(bench)
        for entry in ENTRIES:
            driver.connect(entry)
        for action, *arguments in script:
            done = getattr(driver, action)(*arguments)
            if done is not None:
                await done
        await driver.finish()
        await bench.server._runner.close()

    curio.run(main)
