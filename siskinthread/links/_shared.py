"""Objects that all links of a process share."""

import curio


class SharedParts:
    """Objects that all links of a process share.

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
        Expires exchanges and links whose deadline passes.
    control : siskinthread.control.LinkListener
        Notified of connections and of the agents' configuration messages.

    Attributes
    ----------
    connected : curio.Event
        Set whenever a connection is established.
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
