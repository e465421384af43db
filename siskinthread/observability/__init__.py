"""Logging and metrics.

Interface: ``LoggingSettings``; ``set_up_logging(settings)``; ``part_logger("links")``
returns a `logging.LoggerAdapter` that puts the fixed prefix ``links:`` before each
message; ``Metrics`` owns a `prometheus_client.CollectorRegistry` and hands out
counters, gauges and histograms by name: ``metrics.counter(name, text, labels=())``,
``gauge``, ``histogram``; ``metrics.render()`` returns the exposition as bytes.
"""
