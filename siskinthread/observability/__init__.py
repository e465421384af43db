"""Logging and metrics.

Interface: ``LoggingSettings``; ``set_up_logging(settings)`` returns a ``LogOutput`` to
close at the end of the process; ``part_logger("links")`` returns a
`logging.LoggerAdapter` that adds the fixed prefix ``links:`` to each message;
``Metrics`` owns a `prometheus_client.CollectorRegistry` and creates counters, gauges
and histograms by name: ``metrics.counter(name, text, labels=())``, ``gauge``,
``histogram``; ``metrics.render()`` returns the exposition as bytes.
"""

from siskinthread.observability._logging import (
    LogOutput,
    part_logger,
    PartLogger,
    set_up_logging,
)
from siskinthread.observability._metrics import Metrics
from siskinthread.observability._settings import LoggingSettings

__all__ = [
    "LogOutput",
    "LoggingSettings",
    "Metrics",
    "PartLogger",
    "part_logger",
    "set_up_logging",
]
