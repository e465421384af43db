"""Metrics of the execution of requests."""


class ExecutionMetrics:
    """Metrics of one agent server.

    Parameters
    ----------
    metrics : Metrics
        The process's metrics.
    """

    __slots__ = ("_kept", "_links", "_running", "_waiting", "ends")

    def __init__(self, metrics):
        self.ends = metrics.counter(
            "execution_ends", "Ends of requests and attempts.", ["outcome", "reason"]
        )
        self._running = metrics.gauge("execution_running", "Requests at the target.")
        self._waiting = metrics.gauge("execution_waiting", "Requests that wait.")
        self._links = metrics.gauge("execution_links", "Links of entries.")
        self._kept = metrics.gauge(
            "execution_kept_bytes", "Memory of idempotency keys and their answers."
        )

    def watch(self, ledger, run_queue, links):
        """Compute the gauges from these objects whenever the metrics are read."""
        self._running.set_function(lambda: len(run_queue.running))
        self._waiting.set_function(lambda: run_queue.waiting_count)
        self._links.set_function(lambda: len(links))
        self._kept.set_function(lambda: ledger.kept_bytes)
