"""Logging in one line an event."""

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


class PartLogger(logging.LoggerAdapter):
    """A logger that puts the prefix of its part before each message.

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
        """Log one decision with the values that it was made by.

        Parameters
        ----------
        message : str
            What was decided; the same words each time.
        **fields
            Values that JSON can hold.
        """
        if self.isEnabledFor(logging.INFO):
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
    """Write the messages of this process to its standard error output.

    Parameters
    ----------
    settings : LoggingSettings
    stream : file object or None
        Where to write instead.
    structured : bool
        Whether each line is a JSON object instead of a sentence.

    Returns
    -------
    LogOutput
        To be closed when the process ends.
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
    A collector that stops reading blocks the next write to the stream.  Written from
    the event loop, that would stop the heartbeats, and the peers would take this
    process for dead although it only logs.  A thread of its own therefore writes, and
    while it is blocked, messages above a fixed number are dropped and counted.
    """

    __slots__ = ("_handler", "_writer")

    def __init__(self, settings, stream, structured=False):
        level = settings.level.upper()
        waiting = queue.Queue(_WAITING_LIMIT_RECORDS)
        self._handler = _ForwardingHandler(waiting, settings.lines_limit_per_s)
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
        """Write what is waiting and stop; a blocked stream is given up after 2 s."""
        logging.getLogger().removeHandler(self._handler)
        self._writer.stop()


class _LineFormatter(logging.Formatter):
    """Formatter for one line an event with the time in UTC."""

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
            words = " ".join(f"{name}={value}" for name, value in fields.items())
            line = f"{line} {one_line(words)}"
        return line


class _JsonFormatter(logging.Formatter):
    """Formatter for one JSON object a line, for tools that follow a request's id."""

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
    """Handler that never blocks the one who logs.

    Parameters
    ----------
    waiting : queue.Queue
        Records that are not written yet.
    lines_limit_per_s : int
        Most records taken in a second.

    Notes
    -----
    Under overload each refused request logs a line.  Unbounded, that work would grow
    with the very load that the process is short of time for.
    """

    def __init__(self, waiting, lines_limit_per_s):
        super().__init__(waiting)
        self.dropped = 0
        self._lines_limit_per_s = lines_limit_per_s
        self._second = 0
        self._line_count = 0
        self._left_out = 0

    def handle(self, record):
        """Take a record unless the present second has had its share."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._line_count = 0
            left_out, self._left_out = self._left_out, 0
            if left_out:
                _logger.warning("%d lines were left out in a busy second", left_out)
        self._line_count += 1
        if self._line_count > self._lines_limit_per_s:
            self._left_out += 1
            self.dropped += 1
            return False
        return super().handle(record)

    def prepare(self, record):
        # The arguments are merged here, since they may change until the thread writes.
        # The base class would also merge the traceback into the message.
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
    """The thread that writes."""

    def stop(self):
        give_up_at_s = time.monotonic() + _CLOSE_WAIT_S
        try:
            self.queue.put(self._sentinel, timeout=_CLOSE_WAIT_S)
        except queue.Full:
            return
        self._thread.join(max(give_up_at_s - time.monotonic(), 0))
