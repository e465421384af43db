"""Logging and counting of refused requests."""

from siskinthread.gateway._target_refusal import TargetRefusal
from siskinthread.observability import part_logger

_logger = part_logger("gateway")


class Refusals:
    """Logs and counts refusals of requests that matched a route.

    Parameters
    ----------
    parts : GatewayParts
        Clock, waiting room, return times and share of slots.
    metrics : siskinthread.observability.Metrics
        The registry.
    """

    __slots__ = ("_clock", "_count", "_returns", "_room", "_share")

    def __init__(self, parts, metrics):
        self._clock = parts.clock
        self._room = parts.waiting_room
        self._returns = parts.returns
        self._share = parts.host_share
        self._count = metrics.counter(
            "gateway_refusals",
            "Requests refused as not run, by kind of request, priority and cause.",
            ("kind", "priority", "cause"),
        )

    def note(self, request, end, arrived_at_s):
        """Log and count a refusal that was written.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        end : siskinthread.outcomes.End
            The refusal.
        arrived_at_s : float
            Arrival of the request, monotonic seconds.
        """
        cause = str(end.reason)
        if isinstance(end, TargetRefusal):
            cause = end.cause.value
        # Read first, as the first read may book a return that is logged below.
        told_s = _rounded(end.retry_after_s)
        service_name = request.service_name
        self._count.labels(request.kind.value, str(request.priority), cause).inc()
        self._returns.note_refused(request)
        _logger.event(
            "request refused",
            id=request.request_id,
            route=request.route.name,
            service=service_name,
            priority=request.priority,
            returning=request.is_return,
            had_promise=request.has_promise,
            promised=request.is_return_promised,
            cause=cause,
            free_share=round(self._share.free_count(service_name), 1),
            slots=self._share.slot_count(service_name),
            waiting=self._room.waiting_count(service_name),
            booked_returns=self._returns.booked_count(service_name),
            took_s=round(self._clock.monotonic_s() - arrived_at_s, 3),
            told_s=told_s,
            left_s=round(request.deadline.left_s(), 3),
        )


def _rounded(time_s):
    return None if time_s is None else round(time_s, 3)
