"""Request bodies, within a limit on all of them together."""

from siskinthread.http_server._body_budget import BodyBudget

# Parts of a body are joined up to this size: each object takes memory of its own, and a
# large buffer that grows exists twice while it is copied.
BLOCK_BYTES = 16_384


class RequestBodies:
    """Memory of all request bodies of a process.

    Parameters
    ----------
    limit_bytes : int
        Maximum number of bytes in memory at once.
    """

    __slots__ = ("_budget",)

    def __init__(self, limit_bytes):
        self._budget = BodyBudget(limit_bytes)

    @property
    def held_bytes(self):
        """Number of bytes in memory."""
        return self._budget.held_bytes

    def body(self):
        """Return a new `RequestBody`."""
        return RequestBody(self._budget.share())


class RequestBody:
    """One request body, in memory from its first byte until it is released.

    Parameters
    ----------
    share : BodyShare
        Reservation of the memory.
    """

    __slots__ = ("_blocks", "_share")

    def __init__(self, share):
        self._share = share
        self._blocks = []

    def add(self, data):
        """Add bytes; return False if they don't fit into memory."""
        if not self._share.take(len(data)):
            return False
        last = self._blocks[-1] if self._blocks else None
        if last is not None and len(last) + len(data) <= BLOCK_BYTES:
            last += data
        else:
            self._blocks.append(bytearray(data))
        return True

    def complete(self):
        """Return the complete body as bytes; its memory stays reserved."""
        data = b"".join(self._blocks)
        self._blocks.clear()
        return data

    def release(self):
        """Release its memory."""
        self._blocks.clear()
        self._share.release()
