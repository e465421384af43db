"""Logging with one line per event."""

import json
import logging
import logging.handlers
import queue
import sys
import time
from datetime import datetime, UTC

from siskinthread.documents import one_line

_PACKAGE = "siskinthread"
_FORMAT = "%(asctime)s %(levelname)s %(message)s"
_WAITING_LIMIT_RECORDS = 10_000
_CLOSE_WAIT_S = 2.0
# Longer texts are cut: a caller may choose an id as long as a head may be, and lines
# wait in memory while the stream is blocked.
_TEXT_LIMIT_CHARS = 512


class PartLogger(logging.LoggerAdapter):
    """A logger that prefixes each message with the name of its part.

    Parameters
    ----------
    part : str
        Name of the part, such as ``"links"``.
    """

    def __init__(self, part):
        super().__init__(logging.getLogger(f"{_PACKAGE}.{part}"))
        self._prefix = f"{part}: "

    def process(self, msg, kwargs):
        return f"{self._prefix}{msg}", kwargs

    def event(self, message, **fields):
        """Log a decision with the values on which it was based.

        Parameters
        ----------
        message : str
            Constant text that names the decision.
        **fields
            Values that can be serialised as JSON; long texts are cut.
        """
        if self.isEnabledFor(logging.INFO):
            for name, value in fields.items():
                if isinstance(value, str) and len(value) > _TEXT_LIMIT_CHARS:
                    fields[name] = value[:_TEXT_LIMIT_CHARS] + "..."
            self.info("%s", message, extra={"event_fields": fields})


_logger = PartLogger("observability")


def part_logger(part):
    """Return the logger of a part.

    Parameters
    ----------
    part : str
        Name of the part, such as ``"links"``.

    Returns
    -------
    PartLogger
    """
    return PartLogger(part)


def set_up_logging(settings, stream=None, structured=False):
    """Start writing the log messages of this process to standard error.

    Parameters
    ----------
    settings : LoggingSettings
    stream : file object or None
        Stream to write to instead of standard error.
    structured : bool
        Whether each line is a JSON object instead of text.

    Returns
    -------
    LogOutput
        Must be closed when the process ends.
    """
    return LogOutput(settings, sys.stderr if stream is None else stream, structured)


class LogOutput:
    """The way of messages from the loggers to a stream.

    Parameters
    ----------
    settings : LoggingSettings
    stream : file object
    structured : bool
        Whether each line is a JSON object.

    Notes
    -----
    A log collector that stops reading blocks the next write to the stream.  In the
    event loop, a blocked write would stop the heartbeats, and peers would consider this
    process dead.  Therefore a separate thread writes; while it is blocked, messages
    beyond a fixed number are dropped and counted.
    """

    __slots__ = ("_handler", "_writer")

    def __init__(self, settings, stream, structured=False):
        level = settings.level.upper()
        pending = queue.Queue(_WAITING_LIMIT_RECORDS)
        self._handler = _ForwardingHandler(pending, settings.lines_limit_per_s)
        stream_handler = logging.StreamHandler(stream)
        formatter = _JsonFormatter() if structured else _LineFormatter(_FORMAT)
        stream_handler.setFormatter(formatter)
        self._writer = _Writer(self._handler.queue, stream_handler)
        self._writer.start()
        logging.getLogger(_PACKAGE).setLevel(level)
        logging.getLogger().addHandler(self._handler)

    @property
    def dropped(self):
        """Number of messages lost while the stream was blocked."""
        return self._handler.dropped

    def close(self):
        """Write the queued messages and stop; wait at most 2 s on a blocked stream."""
        logging.getLogger().removeHandler(self._handler)
        self._writer.stop()


class _LineFormatter(logging.Formatter):
    """Formatter for one line per event with the time in UTC."""

    def formatTime(self, record, datefmt=None):  # noqa: N802 - name of the base class
        time_utc = datetime.fromtimestamp(record.created, UTC)
        return time_utc.strftime("%Y-%m-%dT%H:%M:%S.") + f"{record.msecs:03.0f}Z"

    def formatMessage(self, record):  # noqa: N802 - name of the base class
        if record.name.split(".")[0] != _PACKAGE:
            record.message = f"{record.name}: {record.message}"
        return super().formatMessage(record)

    def format(self, record):
        line = one_line(super().format(record))
        fields = getattr(record, "event_fields", None)
        if fields:
            fields_text = " ".join(f"{name}={value}" for name, value in fields.items())
            line = f"{line} {one_line(fields_text)}"
        return line


class _JsonFormatter(logging.Formatter):
    """Formatter for one JSON object per line, for tools that trace requests."""

    def format(self, record):
        line = {
            "at": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        line.update(getattr(record, "event_fields", {}))
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, separators=(",", ":"), default=str)


class _ForwardingHandler(logging.handlers.QueueHandler):
    """Handler that never blocks the logging thread.

    Parameters
    ----------
    pending : queue.Queue
        Queue of the records that are not yet written.
    lines_limit_per_s : int
        Most records accepted per second.

    Notes
    -----
    Under overload, each refused request logs a line.  Without a limit, the time spent
    on logging would grow with the load that already exceeds the processor time.
    """

    def __init__(self, pending, lines_limit_per_s):
        super().__init__(pending)
        self.dropped = 0
        self._lines_limit_per_s = lines_limit_per_s
        self._second = 0
        self._line_count = 0
        self._dropped_in_second = 0

    def handle(self, record):
        """Queue a record unless the limit of the current second is reached."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._line_count = 0
            dropped_count, self._dropped_in_second = self._dropped_in_second, 0
            if dropped_count:
                _logger.warning(
                    "%d lines dropped: limit of lines per second exceeded",
                    dropped_count,
                )
        self._line_count += 1
        if self._line_count > self._lines_limit_per_s:
            self._dropped_in_second += 1
            self.dropped += 1
            return False
        return super().handle(record)

    def prepare(self, record):
        # Format the message here, because the arguments may change before the thread
        # writes it.  The base class would also merge the traceback into the message.
        record.message = record.getMessage()
        record.msg = record.message
        record.args = None
        return record

    def enqueue(self, record):
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _Writer(logging.handlers.QueueListener):
    """The thread that writes records to the stream."""

    def stop(self):
        give_up_at_s = time.monotonic() + _CLOSE_WAIT_S
        try:
            self.queue.put(self._sentinel, timeout=_CLOSE_WAIT_S)
        except queue.Full:
            return
        self._thread.join(max(give_up_at_s - time.monotonic(), 0))
