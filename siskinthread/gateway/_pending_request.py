"""A waiting request, and the metrics of waiting requests."""

import curio

DEPTH_BUCKETS = (0, 1, 2, 5, 10, 20, 50, 100, 200)


class PendingRequest:
    """A waiting request and its outcome.

    Parameters
    ----------
    waiter : siskinthread.load_control.Waiter
        Position in the queue.
    request : GatewayRequest
        The request.
    tried_ids : set of str
        Instance ids of targets that have declined the request.
    refusal : TargetRefusal
        Why the request waits; the answer to the caller if the wait times out.

    Attributes
    ----------
    outcome : TargetEntry or siskinthread.outcomes.End or None
        The target or the refusal; None while the request waits.
    settled : curio.Event
        Set when the task that serves the request should read `outcome`.
    """

    __slots__ = ("outcome", "refusal", "request", "settled", "tried_ids", "waiter")

    def __init__(self, waiter, request, tried_ids, refusal):
        self.waiter = waiter
        self.request = request
        self.tried_ids = tried_ids
        self.refusal = refusal
        self.settled = curio.Event()
        self.outcome = None


class WaitingMeasures:
    """Metrics of waiting requests.

    Parameters
    ----------
    metrics : siskinthread.observability.Metrics
        The registry.
    """

    __slots__ = ("depth", "seconds")

    def __init__(self, metrics):
        self.seconds = metrics.histogram(
            "gateway_wait_seconds",
            "Time that requests waited for a target, by what ended it.",
            ("end",),
        )
        self.depth = metrics.histogram(
            "gateway_waiting_requests",
            "Requests that wait at this host, as each one that begins to wait sees it.",
            buckets=DEPTH_BUCKETS,
        )
