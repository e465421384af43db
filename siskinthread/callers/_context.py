"""Context shared by all connections of a server."""

import os

from siskinthread.http_server import DrainState, RequestBodies


def random_request_id():
    """Return a new id for a request without an idempotency key."""
    return os.urandom(16).hex()


class CallerContext:
    """The components that answer requests, and the state of a drain.

    Parameters
    ----------
    settings : CallerSettings
        Limits.
    view : siskinthread.configuration.ConfigurationView
        View of the configuration in force.
    dispatcher : siskinthread.dispatch.Dispatcher
        Runs admitted requests.
    admission : siskinthread.admission.Admission
        Admits requests.
    clock : siskinthread.timing.Clock
        Clock for deadlines and issue times.
    metrics : siskinthread.observability.Metrics
        Rendered at ``/metrics``.
    connected_hosts : callable
        Returns the target hosts that are connected.
    request_ids : callable
        Returns a new request id.
    heap : siskinthread.http_server.HeapTrimmer
        Trims the heap when memory is short.

    Attributes
    ----------
    bodies : RequestBodies
        Budget for the bytes of request bodies.
    drain : siskinthread.http_server.DrainState
        Progress of a drain.
    draining : bool
        Whether ``/readyz`` reports a drain.
    closing : bool
        Whether each connection is closed after its next response.
    """

    __slots__ = (
        "admission",
        "answered_count",
        "bodies",
        "clock",
        "closing",
        "connected_hosts",
        "dispatcher",
        "drain",
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
        heap,
    ):
        self.settings = settings
        self.view = view
        self.dispatcher = dispatcher
        self.admission = admission
        self.clock = clock
        self.metrics = metrics
        self.connected_hosts = connected_hosts
        self.request_ids = request_ids
        self.bodies = RequestBodies(settings.bodies_limit_bytes, clock, heap)
        self.drain = DrainState()
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
        """Return why the process is not ready for callers, or None."""
        if self.draining:
            return "draining"
        if self.view.state is None:
            return "no configuration yet"
        if not self.connected_hosts():
            return "no target is connected"
        return None
