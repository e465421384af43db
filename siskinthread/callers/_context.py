"""What every connection of one server shares."""

import os

from siskinthread.http_server import BodyBudget


def random_request_id():
    """Return a new id for a request without an idempotency key."""
    return os.urandom(16).hex()


class CallerContext:
    """The parts that answer requests, and the state of a drain.

    Parameters
    ----------
    settings : CallerSettings
        Limits.
    view : siskinthread.configuration.ConfigurationView
        The configuration in force.
    dispatcher : siskinthread.dispatch.Dispatcher
        Runs admitted requests.
    admission : siskinthread.admission.Admission
        Admits requests.
    clock : siskinthread.timing.Clock
        Clocks.
    metrics : siskinthread.observability.Metrics
        Rendered at ``/metrics``.
    connected_hosts : callable
        Returns the hosts of the targets that can be reached.
    request_ids : callable
        Returns a new request id.

    Attributes
    ----------
    bodies : BodyBudget
        Memory for bodies.
    draining : bool
        Whether readiness fails.
    closing : bool
        Whether each response is the last one of its connection.
    """

    __slots__ = (
        "admission",
        "answered_count",
        "bodies",
        "clock",
        "closing",
        "connected_hosts",
        "dispatcher",
        "draining",
        "ended_count",
        "metrics",
        "request_ids",
        "settings",
        "view",
    )

    def __init__(
        self,
        settings,
        view,
        dispatcher,
        admission,
        clock,
        metrics,
        connected_hosts,
        request_ids,
    ):
        self.settings = settings
        self.view = view
        self.dispatcher = dispatcher
        self.admission = admission
        self.clock = clock
        self.metrics = metrics
        self.connected_hosts = connected_hosts
        self.request_ids = request_ids
        self.bodies = BodyBudget(settings.bodies_limit_bytes)
        self.draining = False
        self.closing = False
        self.answered_count = metrics.counter(
            "callers_requests",
            "Requests of callers by outcome and reason.",
            ("outcome", "reason"),
        )
        self.ended_count = metrics.counter(
            "callers_connections_ended",
            "Connections that were ended early, by cause.",
            ("cause",),
        )

    def unready_reason(self):
        """Return why callers should not be sent here, or None."""
        if self.draining:
            return "draining"
        if self.view.state is None:
            return "no configuration yet"
        if not self.connected_hosts():
            return "no target is connected"
        return None
