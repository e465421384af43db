"""Tests of logging: one line an event, and never a blocked event loop."""

import io
import logging
import re
import threading

import pytest

from siskinthread.observability import (
    _logging,
    LoggingSettings,
    part_logger,
    set_up_logging,
)

# Only a blocked logger waits this long; it keeps a failing run from hanging.
HANG_GUARD_S = 10.0


@pytest.fixture(autouse=True)
def package_level():
    """Restore the level that a test sets."""
    logger = logging.getLogger("siskinthread")
    level = logger.level
    yield
    logger.setLevel(level)


def lines_of(level, log):
    stream = io.StringIO()
    output = set_up_logging(LoggingSettings(level=level), stream)
    log()
    output.close()
    return stream.getvalue().splitlines()


def test_event_is_one_line_with_time_level_and_prefix():
    """A line has the UTC time with milliseconds, the level, the prefix, the text."""
    (line,) = lines_of("info", lambda: part_logger("links").info("Lost %s.", "a"))
    time, rest = line.split(" ", 1)
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", time)
    assert rest == "INFO links: Lost a."


def test_level_holds_back_lesser_messages():
    """Messages under the level are not written."""

    def log():
        part_logger("links").info("Not this.")
        part_logger("links").warning("This.")

    (line,) = lines_of("warning", log)
    assert line.endswith("WARNING links: This.")


def test_foreign_text_forges_no_event():
    """Line ends of foreign text are escaped.

    Symptom: the log shows an event that never happened.  Sequence: a caller sends a
    path with a line end, and it is logged.  Cause: the rest begins a line of its own.
    """
    forged = "x\n2026-01-01T00:00:00.000Z INFO links: Fine.\r\u2028\x1b[2K"
    (line,) = lines_of("info", lambda: part_logger("callers").info("Bad %s", forged))
    assert line.endswith(
        r"x\n2026-01-01T00:00:00.000Z INFO links: Fine.\r\u2028\x1b[2K"
    )


def test_traceback_stays_on_the_line_of_its_event():
    """An exception is written once, on the same line."""

    def log():
        try:
            raise ValueError("reason")
        except ValueError:
            part_logger("links").exception("Failed.")

    (line,) = lines_of("info", log)
    assert "ERROR links: Failed.\\nTraceback" in line
    assert line.count("ValueError: reason") == 1


def test_other_libraries_are_named():
    """Messages of libraries have the name of their logger as prefix."""
    (line,) = lines_of("info", lambda: logging.getLogger("curio").error("Crash"))
    assert line.endswith("ERROR curio: Crash")


def test_arguments_are_taken_at_the_time_of_the_event():
    """A change after the event does not reach the line."""
    value = ["before"]

    def log():
        part_logger("links").info("Value %s.", value)
        value[0] = "after"

    (line,) = lines_of("info", log)
    assert line.endswith("Value ['before'].")


def log_numbers(logger, numbers):
    for number in numbers:
        logger.info("%d", number)


class BlockedStream(io.StringIO):
    """A stream whose reader has stopped reading."""

    def __init__(self):
        super().__init__()
        self.entered = threading.Event()
        self.released = threading.Event()

    def write(self, text):
        self.entered.set()
        self.released.wait()
        return super().write(text)


def test_blocked_stream_does_not_block_the_one_who_logs(monkeypatch):
    """While the stream is blocked, messages wait and, past the limit, are dropped.

    Symptom: peers give up the links of a process that is alive.  Sequence: the log
    collector stops reading, the pipe fills, the next message blocks the event loop, no
    heartbeat is sent.  Cause: the event loop writes to the stream itself.
    """
    monkeypatch.setattr(_logging, "_WAITING_LIMIT_RECORDS", 3)
    stream = BlockedStream()
    output = set_up_logging(LoggingSettings(), stream)
    logger = part_logger("links")
    logger.info("0")
    stream.entered.wait()
    event_loop = threading.Thread(target=log_numbers, args=(logger, range(1, 6)))
    event_loop.start()
    event_loop.join(HANG_GUARD_S)
    was_blocked = event_loop.is_alive()
    stream.released.set()
    event_loop.join()
    output.close()
    assert not was_blocked
    assert output.dropped == 2
    assert [line[-1] for line in stream.getvalue().splitlines()] == list("0123")
