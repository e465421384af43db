"""Tests of logging: one line per event, and no blocking of the event loop."""

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

# Only a blocked logger waits this long; the limit keeps a failing test from hanging.
HANG_GUARD_S = 10.0


@pytest.fixture(autouse=True)
def package_level():
    """Restore the log level after a test."""
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
    """A line consists of the UTC time in milliseconds, level, prefix and text."""
    (line,) = lines_of("info", lambda: part_logger("links").info("Lost %s.", "a"))
    time, rest = line.split(" ", 1)
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", time)
    assert rest == "INFO links: Lost a."


def test_level_holds_back_lesser_messages():
    """Messages below the level are not written."""

    def log():
        part_logger("links").info("Not this.")
        part_logger("links").warning("This.")

    (line,) = lines_of("warning", log)
    assert line.endswith("WARNING links: This.")


def test_foreign_text_forges_no_event():
    """Line breaks in text from outside are escaped.

    Otherwise a caller that sends a path with a line break, which is logged, could forge
    a log line of an event that never happened.
    """
    forged = "x\n2026-01-01T00:00:00.000Z INFO links: Fine.\r\u2028\x1b[2K"
    (line,) = lines_of("info", lambda: part_logger("callers").info("Bad %s", forged))
    assert line.endswith(
        r"x\n2026-01-01T00:00:00.000Z INFO links: Fine.\r\u2028\x1b[2K"
    )


def test_long_texts_of_an_event_are_cut():
    """Guards against ids of callers that fill the memory while the log is blocked."""
    event = part_logger("gateway").event
    (line,) = lines_of("info", lambda: event("request ended", id="x" * 16_000, age_s=1))
    assert len(line) < 1000
    assert line.endswith("xxx... age_s=1")


def test_traceback_stays_on_the_line_of_its_event():
    """A traceback is written once, on the line of its event."""

    def log():
        try:
            raise ValueError("reason")
        except ValueError:
            part_logger("links").exception("Failed.")

    (line,) = lines_of("info", log)
    assert "ERROR links: Failed.\\nTraceback" in line
    assert line.count("ValueError: reason") == 1


def test_other_libraries_are_named():
    """Messages of libraries are prefixed with the name of their logger."""
    (line,) = lines_of("info", lambda: logging.getLogger("curio").error("Crash"))
    assert line.endswith("ERROR curio: Crash")


def test_arguments_are_taken_at_the_time_of_the_event():
    """A change of an argument after the event does not alter the line."""
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
    """A stream whose reader has stopped."""

    def __init__(self):
        super().__init__()
        self.entered = threading.Event()
        self.released = threading.Event()

    def write(self, text):
        self.entered.set()
        self.released.wait()
        return super().write(text)


def test_blocked_stream_does_not_block_the_one_who_logs(monkeypatch):
    """While the stream is blocked, messages are queued and dropped beyond the limit.

    If the event loop wrote to the stream itself, a log collector that stops reading
    would block it once the pipe is full: no heartbeat would be sent, and peers would
    close the links of a live process.
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
