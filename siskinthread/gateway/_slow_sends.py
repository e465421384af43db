"""Request bodies that are being sent to targets, and the slowest of them."""

from siskinthread.observability import part_logger

# A body within the memory limits of a host is sent within this time if its target reads
# it.
SLOW_SEND_S = 1.0

_logger = part_logger("gateway")


class SlowSends:
    """Tracks the connections on which requests are being sent.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock of the rates.

    Notes
    -----
    A body stays in memory until its request ends.  A few targets that do not read would
    otherwise exhaust the memory for bodies until the deadlines of their requests.
    """

    __slots__ = ("_clock", "_connections")

    def __init__(self, clock):
        self._clock = clock
        self._connections = set()

    def began(self, connection):
        """Add a `TargetConnection` on which a request is sent."""
        self._connections.add(connection)

    def ended(self, connection):
        """Remove a connection whose exchange has ended."""
        self._connections.discard(connection)

    async def end_slowest(self):
        """End the exchange with the lowest send rate among those that are slow.

        Its request is retried at another target if it may run twice; otherwise its
        caller gets the outcome unknown.
        """
        rates = {}
        for connection in self._connections:
            rate = connection.send_rate(self._clock.monotonic_s(), SLOW_SEND_S)
            if rate is not None:
                rates[connection] = rate
        if not rates:
            return
        slowest = min(rates, key=rates.get)
        self._connections.discard(slowest)
        _logger.event(
            "slowest body is ended, as no memory is left for others",
            rate_bytes_s=round(rates[slowest]),
            slow_count=len(rates),
        )
        try:
            await slowest.end_exchange()
        except OSError as error:
            _logger.event("slowest body had already ended", reason=repr(error))
