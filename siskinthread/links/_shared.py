"""What all links of a process share."""

import curio


class SharedParts:
    """What all links of a process share.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : PeerSettings
        Keys, waits and limits.
    clock : Clock
        The process's clock.
    metrics : LinkMetrics
        Counters.
    deadlines : DeadlineQueue
        Ends what passes its deadline.

    Attributes
    ----------
    connected : curio.Event
        Set whenever a connection comes up.
    """

    __slots__ = (
        "clock",
        "connected",
        "deadlines",
        "identity",
        "metrics",
        "settings",
    )

    def __init__(self, identity, settings, clock, metrics, deadlines):
        self.identity = identity
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.deadlines = deadlines
        self.connected = curio.Event()
