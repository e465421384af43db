"""Metrics of the links."""


class _NullCounter:
    """Replaces a counter in a process without metrics."""

    __slots__ = ()

    def inc(self, amount=1):
        """Count nothing."""


class LinkMetrics:
    """Counters of the links.

    Parameters
    ----------
    metrics : siskinthread.observability.Metrics or None
        Registry of the counters; without it nothing is counted.
    """

    __slots__ = (
        "connections_opened",
        "connections_replaced",
        "exchanges_resumed",
        "repeated_frames",
        "silent_connections",
    )

    def __init__(self, metrics):
        def counter(name, text):
            return _NullCounter() if metrics is None else metrics.counter(name, text)

        self.connections_opened = counter(
            "links_connections_opened", "Connections to agents that were authenticated."
        )
        self.connections_replaced = counter(
            "links_connections_replaced", "Connections to agents that were lost."
        )
        self.silent_connections = counter(
            "links_silent_connections", "Connections given up because of silence."
        )
        self.exchanges_resumed = counter(
            "links_exchanges_resumed", "Attempts asked about again after a loss."
        )
        self.repeated_frames = counter(
            "links_repeated_frames", "Response frames dropped as repeated."
        )
