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
    control : siskinthread.control.LinkListener
        Hears of connections and of what agents say of their configuration.

    Attributes
    ----------
    connected : curio.Event
        Set whenever a connection comes up.
    """

    __slots__ = (
        "clock",
        "connected",
        "control",
        "deadlines",
        "identity",
        "metrics",
        "settings",
    )

    def __init__(self, identity, settings, clock, metrics, deadlines, control):
        self.identity = identity
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.deadlines = deadlines
        self.control = control
        self.connected = curio.Event()
