"""Metrics of a process."""

import prometheus_client

from siskinthread.errors import InvariantError

_PREFIX = "siskinthread"


class Metrics:
    """The metrics of one process, in a registry of their own.

    Names begin with ``siskinthread_`` and end with their unit; ``_total`` is added to
    those of counters.  A name asked for again gives the same metric, so that several
    objects of one class can count together.

    Notes
    -----
    The registry is not the global one of `prometheus_client`, so that several daemons
    can run in the process of a test.
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
            Name without the common prefix, with its unit as suffix.
        text : str
            What is counted.
        labels : sequence of str
            Names of the labels.

        Returns
        -------
        prometheus_client.Counter
        """
        return self._metric(prometheus_client.Counter, name, text, labels)

    def gauge(self, name, text, labels=()):
        """Return a gauge; for the parameters see `counter`.

        Returns
        -------
        prometheus_client.Gauge
        """
        return self._metric(prometheus_client.Gauge, name, text, labels)

    def histogram(self, name, text, labels=(), buckets=None):
        """Return a histogram; for the other parameters see `counter`.

        Parameters
        ----------
        buckets : sequence of float or None
            Upper ends of the buckets in the unit of the name; None for those of
            `prometheus_client`, which suit seconds.

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
            raise InvariantError(f"metric {name} is declared in two ways")
        return metric
