"""Metrics of dispatch."""


class DispatchMeasures:
    """Counters, gauge and histogram of dispatch.

    Parameters
    ----------
    metrics : siskinthread.observability.Metrics
        Registry of the metrics.
    """

    __slots__ = ("_attempts", "_first_byte_s", "_in_flight", "_requests", "_retries")

    def __init__(self, metrics):
        self._requests = metrics.counter(
            "dispatch_requests", "Requests by final outcome.", ("outcome", "reason")
        )
        self._attempts = metrics.counter(
            "dispatch_attempts", "Attempts by outcome.", ("outcome", "reason")
        )
        self._retries = metrics.counter(
            "dispatch_retries", "Attempts after the first, by cause.", ("reason",)
        )
        self._first_byte_s = metrics.histogram(
            "dispatch_first_byte_seconds", "Time from arrival to the first body byte."
        )
        self._in_flight = metrics.gauge(
            "dispatch_in_flight", "Requests begun and not ended."
        )

    def began(self):
        """Count a new request."""
        self._in_flight.inc()

    def ended(self, end):
        """Count the final `End` of a request."""
        self._in_flight.dec()
        self._requests.labels(end.outcome.label, str(end.reason)).inc()

    def attempt_ended(self, end):
        """Count the `End` of an attempt."""
        self._attempts.labels(end.outcome.label, str(end.reason)).inc()

    def retried(self, end):
        """Count a retry by the `End` of the attempt before it."""
        self._retries.labels(str(end.reason)).inc()

    def first_byte(self, wait_s):
        """Record the time to the first byte of a body, seconds."""
        self._first_byte_s.observe(wait_s)
