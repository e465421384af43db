"""Limit on the memory of all bodies of a kind together."""


class BodyBudget:
    """Counts the bytes of bodies in memory.

    Parameters
    ----------
    limit_bytes : float
        Maximum number of bytes in memory at once.
    """

    __slots__ = ("_limit_bytes", "held_bytes")

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    def share(self):
        """Return a new `BodyShare` for one request."""
        return BodyShare(self)

    def fits(self, size_bytes):
        """Return whether more bytes fit into the budget."""
        return self.held_bytes + size_bytes <= self._limit_bytes

    def take(self, size_bytes):
        """Reserve bytes; return whether they fit into the budget."""
        if not self.fits(size_bytes):
            return False
        self.held_bytes += size_bytes
        return True

    def free(self, size_bytes):
        """Release reserved bytes."""
        self.held_bytes -= size_bytes


class BodyShare:
    """The bytes that one request has reserved in a `BodyBudget`.

    Parameters
    ----------
    budget : BodyBudget
        Budget in which the bytes are reserved.
    """

    __slots__ = ("_budget", "_held_bytes")

    def __init__(self, budget):
        self._budget = budget
        self._held_bytes = 0

    def take(self, size_bytes):
        """Reserve more bytes; return whether they fit."""
        if not self._budget.take(size_bytes):
            return False
        self._held_bytes += size_bytes
        return True

    def hold(self, size_bytes):
        """Replace the reservation by one of `size_bytes`; return whether it fits.

        If it doesn't fit, nothing remains reserved.
        """
        self.release()
        return self.take(size_bytes)

    def release(self):
        """Release all reserved bytes."""
        self._budget.free(self._held_bytes)
        self._held_bytes = 0
