"""Metrics of expert map control."""

# From a rank close to this host up to `order_wait_s`, and on to the time that a large
# order takes.
RESPONSE_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0)


class MapMeasures:
    """Metrics of all groups that this process controls.

    Parameters
    ----------
    metrics : siskinthread.observability.Metrics
        Registry of the metrics.
    """

    __slots__ = ("_changes", "_pass_time", "_retries", "_response_time")

    def __init__(self, metrics):
        self._changes = metrics.counter(
            "group_map_changes", "Changes of expert maps by result.", ("result",)
        )
        self._pass_time = metrics.gauge(
            "group_relative_pass_time",
            "Predicted time of a pass relative to evenly loaded ranks, by group.",
            ("group",),
        )
        self._retries = metrics.counter(
            "group_order_repeats",
            "Orders to ranks that were sent again without a response, by order.",
            ("order",),
        )
        self._response_time = metrics.histogram(
            "group_order_response_seconds",
            "Response times of orders to ranks, of each answered try.",
            buckets=RESPONSE_BUCKETS_S,
        )

    def change_ended(self, result):
        """Count a change by its `ChangeResult`."""
        self._changes.labels(result.value).inc()

    def relative_pass_time(self, group_name, value):
        """Set the predicted relative pass time of a group."""
        self._pass_time.labels(group_name).set(value)

    def note_attempt(self, order, is_retry):
        """Count an attempt to send an order if it is a retry."""
        if is_retry:
            self._retries.labels(type(order).__name__.lower()).inc()

    def note_response(self, response_s):
        """Record the response time of an order, seconds."""
        self._response_time.observe(response_s)
