"""Metrics of a process."""

import prometheus_client

from siskinthread.errors import InvariantError

_PREFIX = "siskinthread"


class Metrics:
    """The metrics of one process, in a separate registry.

    Names begin with ``siskinthread_`` and end with their unit; ``_total`` is appended
    to the names of counters.  Requesting a name again returns the same metric, so that
    several objects of a class can share it.

    Notes
    -----
    The registry is not the global registry of `prometheus_client`, so that several
    daemons can run in one test process.
    """

    __slots__ = ("_metrics", "registry")

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._metrics = {}
        prometheus_client.ProcessCollector(registry=self.registry)

    def counter(self, name, text, labels=()):
        """Return a counter.

        Parameters
        ----------
        name : str
            Name without the prefix, with the unit as suffix.
        text : str
            Help text of the metric.
        labels : sequence of str
            Names of the labels.

        Returns
        -------
        prometheus_client.Counter
        """
        return self._metric(prometheus_client.Counter, name, text, labels)

    def gauge(self, name, text, labels=()):
        """Return a gauge; see `counter` for the parameters.

        Returns
        -------
        prometheus_client.Gauge
        """
        return self._metric(prometheus_client.Gauge, name, text, labels)

    def histogram(self, name, text, labels=(), buckets=None):
        """Return a histogram; see `counter` for the other parameters.

        Parameters
        ----------
        buckets : sequence of float or None
            Upper bounds of the buckets in the unit of the metric; None for the defaults
            of `prometheus_client`, which suit seconds.

        Returns
        -------
        prometheus_client.Histogram
        """
        options = {} if buckets is None else {"buckets": tuple(buckets)}
        histogram = prometheus_client.Histogram
        return self._metric(histogram, name, text, labels, **options)

    def render(self):
        """Return the exposition in the text format of Prometheus.

        Returns
        -------
        bytes
        """
        return prometheus_client.generate_latest(self.registry)

    def _metric(self, metric_class, name, text, labels, **options):
        declaration = (metric_class, tuple(labels), options)
        if name not in self._metrics:
            metric = metric_class(
                name, text, labels, namespace=_PREFIX, registry=self.registry, **options
            )
            self._metrics[name] = (declaration, metric)
        known_declaration, metric = self._metrics[name]
        if known_declaration != declaration:
            raise InvariantError(
                f"metric {name} is declared with different types, labels or options"
            )
        return metric
