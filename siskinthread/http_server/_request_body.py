"""Bodies that are being received, within a limit on all of them together."""

from siskinthread.http_server._body_budget import BodyBudget

# Parts of a body are joined up to this size: each object takes memory of its own, and a
# large buffer that grows exists twice while it is copied.
BLOCK_BYTES = 16_384
# A body that grows by less than this in that time makes room for others.
PROGRESS_BYTES = 4096
STALLED_S = 0.5


class RequestBodies:
    """Memory of all request bodies of a process.

    Parameters
    ----------
    limit_bytes : int
        Maximum number of bytes in memory at once.
    clock : siskinthread.timing.Clock
        Clock of the progress of bodies.
    heap : HeapTrimmer
        Trims the heap when memory is short.

    Notes
    -----
    If the memory is full, incomplete bodies make room for a growing one: first those
    that have not progressed for `STALLED_S`, the longest first, then the largest, as
    long as it is larger than the growing one.  So a few callers that send much, or that
    stop before the end, don't keep out the others (max-min fairness).
    """

    __slots__ = ("_budget", "_clock", "_heap", "_receiving")

    def __init__(self, limit_bytes, clock, heap):
        self._heap = heap
        self._budget = BodyBudget(limit_bytes)
        self._clock = clock
        self._receiving = {}

    @property
    def held_bytes(self):
        """Number of bytes in memory."""
        return self._budget.held_bytes

    def body(self):
        """Return a new `RequestBody`."""
        return RequestBody(self, self._budget.share(), self._clock)

    def began(self, body):
        """Add a body whose first bytes are due."""
        self._receiving[body] = None

    def ended(self, body):
        """Remove a body that is complete or given up."""
        self._receiving.pop(body, None)

    async def make_room(self, growing, size_bytes):
        """Evict other incomplete bodies until some bytes fit, if possible.

        Parameters
        ----------
        growing : RequestBody
            The body that the bytes belong to.
        size_bytes : int
            Number of bytes.
        """
        self._heap.note_pressure()
        stalled_at_s = self._clock.monotonic_s() - STALLED_S
        others = [one for one in self._receiving if one is not growing]
        stalled = [one for one in others if one.progressed_at_s <= stalled_at_s]
        stalled.sort(key=lambda one: one.progressed_at_s)
        for one in stalled:
            if self._budget.fits(size_bytes):
                return
            await one.evict()
        larger = [
            one
            for one in others
            if not one.is_evicted and one.size_bytes > growing.size_bytes + size_bytes
        ]
        larger.sort(key=lambda one: one.size_bytes)
        while larger and not self._budget.fits(size_bytes):
            await larger.pop().evict()


class RequestBody:
    """One request body, in memory from its first byte until it is released.

    Parameters
    ----------
    bodies : RequestBodies
        All bodies.
    share : BodyShare
        Reservation of the memory.
    clock : siskinthread.timing.Clock
        Clock of its progress.

    Attributes
    ----------
    is_evicted : bool
        Whether it was given up to make room for others.
    progressed_at_s : float
        When its last `PROGRESS_BYTES` were complete, monotonic seconds.
    size_bytes : int
        Number of bytes received.
    """

    __slots__ = (
        "_blocks",
        "_bodies",
        "_caller",
        "_clock",
        "_progress_bytes",
        "_share",
        "is_evicted",
        "progressed_at_s",
        "size_bytes",
    )

    def __init__(self, bodies, share, clock):
        self._bodies = bodies
        self._share = share
        self._clock = clock
        self._caller = None
        self._blocks = []
        self._progress_bytes = 0
        self.size_bytes = 0
        self.is_evicted = False
        self.progressed_at_s = clock.monotonic_s()

    def begin(self, caller):
        """Begin to receive the body from a `CallerSocket`."""
        self._caller = caller
        self._bodies.began(self)

    async def add(self, data):
        """Add bytes; return False if they don't fit into memory."""
        if not self._share.take(len(data)):
            await self._bodies.make_room(self, len(data))
            if not self._share.take(len(data)):
                return False
        last = self._blocks[-1] if self._blocks else None
        if last is not None and len(last) + len(data) <= BLOCK_BYTES:
            last += data
        else:
            self._blocks.append(bytearray(data))
        self.size_bytes += len(data)
        self._progress_bytes += len(data)
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progressed_at_s = self._clock.monotonic_s()
        return True

    def complete(self):
        """Return the complete body as bytes; its memory stays reserved."""
        self._bodies.ended(self)
        data = b"".join(self._blocks)
        self._blocks.clear()
        return data

    async def evict(self):
        """Free its memory; the caller's request is refused."""
        self.is_evicted = True
        self.release()
        await self._caller.end_waiting()

    def release(self):
        """Release its memory."""
        self._bodies.ended(self)
        self._blocks.clear()
        self._share.release()
