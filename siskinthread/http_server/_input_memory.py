"""Limit on the memory that the connections of all callers take."""

import curio

from siskinthread.http_server._heap_trimmer import HeapTrimmer
from siskinthread.http_server._phase import Phase
from siskinthread.observability import part_logger

# Two tasks, the parser and the objects of one connection.
CONNECTION_BYTES = 12_288
RECEIVE_SIZE_BYTES = 16_384
# Part of the limit that is freed beyond what is needed, so that the connections are not
# searched for each of many new ones.
FREED_SHARE = 1 / 16

logger = part_logger("callers")


class InputMemory:
    """Counts the memory of connections and ends some of them beyond the limit.

    Parameters
    ----------
    limit_bytes : int
        Maximum for all connections; 0 for no limit.
    clock : siskinthread.timing.Clock
        Clock of `heap`.

    Attributes
    ----------
    heap : HeapTrimmer
        Trims the heap when memory is short.
    held_bytes : int
        Memory of all connections, with what they have received and not used yet.

    Notes
    -----
    Connections that wait for their caller are ended first if their response was sent,
    then in the order of their last progress.  Those whose request is being served are
    kept.
    """

    __slots__ = ("_callers", "_limit_bytes", "heap", "held_bytes")

    def __init__(self, limit_bytes, clock):
        self.heap = HeapTrimmer(clock)
        self._limit_bytes = limit_bytes
        self._callers = {}
        self.held_bytes = 0

    @property
    def is_over(self):
        """Whether the connections take more than the limit."""
        return 0 < self._limit_bytes < self.held_bytes

    def join(self, caller):
        """Add a `CallerSocket`."""
        self._callers[caller] = 0

    def count(self, caller, size_bytes):
        """Set the memory of a connection; one that has left is not counted."""
        counted_bytes = self._callers.get(caller)
        if counted_bytes is not None:
            self.held_bytes += size_bytes - counted_bytes
            self._callers[caller] = size_bytes

    def leave(self, caller):
        """Remove a connection that is closed or about to be."""
        self.held_bytes -= self._callers.pop(caller, 0)

    async def make_room(self):
        """End waiting connections until the others take less than the limit."""
        self.heap.note_pressure()
        goal_bytes = self._limit_bytes * (1 - FREED_SHARE)
        ended_count = 0
        for caller in self._by_progress():
            if self.held_bytes <= goal_bytes:
                break
            ended_count += 1
            await caller.evict()
        if ended_count:
            logger.warning(
                "ended %d waiting connections, %d bytes remain in use by others",
                ended_count,
                self.held_bytes,
            )

    def _by_progress(self):
        waiting = [one for one in self._callers if one.is_waiting]
        return sorted(
            waiting,
            key=lambda one: (one.phase is not Phase.LINGER, one.progressed_at_s),
        )


class CallerGroup:
    """The connections of one server.

    Parameters
    ----------
    memory : InputMemory
        Memory of the connections of all servers of the process.

    Attributes
    ----------
    receive_buffer : memoryview
        Buffer into which the bytes of all connections are read.
    turns : curio.Lock
        Held in turn by connections whose input costs much processor time.
    """

    __slots__ = ("_callers", "memory", "receive_buffer", "turns")

    def __init__(self, memory):
        self.memory = memory
        self.receive_buffer = memoryview(bytearray(RECEIVE_SIZE_BYTES))
        self.turns = curio.Lock()
        self._callers = {}

    @property
    def count(self):
        """Number of connections that are neither closed nor about to be."""
        return len(self._callers)

    def join(self, caller):
        """Add a `CallerSocket`."""
        self._callers[caller] = None
        self.memory.join(caller)

    def leave(self, caller):
        """Remove a connection."""
        self._callers.pop(caller, None)
        self.memory.leave(caller)

    async def end_stalest(self, until_s):
        """End the waiting connection without progress for longest.

        Parameters
        ----------
        until_s : float
            Latest progress of a connection that is ended, monotonic seconds.
        """
        waiting = [one for one in self._callers if one.is_waiting]
        stalest = min(waiting, key=lambda one: one.progressed_at_s, default=None)
        if stalest is not None and stalest.progressed_at_s <= until_s:
            await stalest.evict()
