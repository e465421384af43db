"""Which bodies and connections give way when memory is short."""

import curio
import pytest

from siskinthread.http_server import InputMemory, RequestBodies
from siskinthread.http_server._heap_trimmer import AFTER_PRESSURE_S, HeapTrimmer
from siskinthread.http_server._phase import Phase, WAITING_PHASES
from siskinthread.http_server._request_body import STALLED_S
from siskinthread.timing import ManualClock

LIMIT_BYTES = 100_000
CONNECTION_SIZE_BYTES = 10_000


class Waiter:
    """Stands for the connection of a body."""

    def __init__(self):
        self.was_ended = False

    async def end_waiting(self):
        """Record that the wait for input was ended."""
        self.was_ended = True


@pytest.mark.parametrize(
    ("sizes_bytes", "pause_s", "grown_bytes", "fits", "evicted"),
    [
        ([40_000, 40_000], 0.0, 10_000, True, []),
        ([40_000, 50_000], 0.0, 30_000, True, [1]),
        ([30_000, 30_000, 30_000], 0.0, 40_000, False, []),
        ([30_000, 30_000, 30_000], STALLED_S, 40_000, True, [0]),
        ([90_000, 5_000], STALLED_S, 60_000, True, [0]),
        ([], 0.0, LIMIT_BYTES, True, []),
        ([], 0.0, LIMIT_BYTES + 1, False, []),
    ],
)
def test_bodies_that_stand_still_or_are_larger_give_way(
    sizes_bytes, pause_s, grown_bytes, fits, evicted
):
    """Guards against bodies that keep out others though memory can be shared."""
    clock = ManualClock()
    bodies = RequestBodies(LIMIT_BYTES, clock, HeapTrimmer(clock))

    async def begin(size_bytes):
        body, waiter = bodies.body(), Waiter()
        body.begin(waiter)
        return body, waiter, await body.add(b"x" * size_bytes)

    async def run():
        others = [await begin(size_bytes) for size_bytes in sizes_bytes]
        clock.advance(pause_s)
        _, _, has_room = await begin(grown_bytes)
        assert [waiter.was_ended for _, waiter, _ in others] == [
            body.is_evicted for body, _, _ in others
        ]
        return has_room, [body.is_evicted for body, _, _ in others]

    has_room, was_evicted = curio.run(run)
    assert has_room == fits
    assert [number for number, one in enumerate(was_evicted) if one] == evicted
    assert bodies.held_bytes <= LIMIT_BYTES


def test_body_in_many_parts_is_whole_and_released():
    """Guards against parts that are lost, or that stay counted after the request."""
    clock = ManualClock()
    bodies = RequestBodies(LIMIT_BYTES, clock, HeapTrimmer(clock))
    parts = [b"%d" % number * (number % 7 * 500) for number in range(30)]

    async def run():
        body = bodies.body()
        body.begin(Waiter())
        for part in parts:
            assert await body.add(part)
        return body, body.complete()

    body, data = curio.run(run)
    assert data == b"".join(parts)
    assert bodies.held_bytes == len(data)
    body.release()
    assert bodies.held_bytes == 0


class FakeCaller:
    """A connection in some phase, with the time of its last progress."""

    def __init__(self, memory, phase, progressed_at_s):
        self.memory = memory
        self.phase = phase
        self.progressed_at_s = progressed_at_s
        memory.join(self)
        memory.count(self, CONNECTION_SIZE_BYTES)

    @property
    def is_waiting(self):
        """Whether it waits for its caller."""
        return self.phase in WAITING_PHASES

    async def evict(self):
        """Leave."""
        self.memory.leave(self)


@pytest.mark.parametrize(
    ("phases", "kept"),
    [
        ([Phase.IDLE] * 12, [3, 4, 5, 6, 7, 8, 9, 10, 11]),
        ([Phase.ANSWER] * 12, list(range(12))),
        ([Phase.BODY] * 9 + [Phase.LINGER] * 2, list(range(9))),
        ([Phase.ANSWER, Phase.WRITE] + [Phase.HEAD] * 9, [0, 1, 4, 5, 6, 7, 8, 9, 10]),
    ],
)
def test_waiting_connections_are_ended_in_order_of_progress(phases, kept):
    """Guards against ended requests while other connections wait for their callers."""
    memory = InputMemory(LIMIT_BYTES, ManualClock())
    callers = [FakeCaller(memory, phase, at_s) for at_s, phase in enumerate(phases)]
    assert memory.is_over
    curio.run(memory.make_room)
    left = [number for number, one in enumerate(callers) if one in memory._callers]
    assert left == kept
    assert memory.held_bytes == len(kept) * CONNECTION_SIZE_BYTES


def test_heap_is_trimmed_only_after_pressure():
    """Guards against time spent on the heap of a process without pressure."""
    clock = ManualClock()
    heap = HeapTrimmer(clock)
    trims = []
    heap._trim = trims.append
    heap.trim_if_due()
    assert trims == []
    heap.note_pressure()
    heap.trim_if_due()
    heap.trim_if_due()
    assert len(trims) == 1
    clock.advance(AFTER_PRESSURE_S + 1.0)
    heap.trim_if_due()
    clock.advance(AFTER_PRESSURE_S)
    heap.trim_if_due()
    assert len(trims) == 2
