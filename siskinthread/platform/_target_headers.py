"""What a server states in the headers of an answer about its limit and its state."""

import math
import re

from siskinthread.target_limits import StatedBackoff, StatedLimit

# Limit of requests a second from all hosts together.
RATE_LIMIT = "server-limit"
RETRY_AFTER = "retry-after"
LEAVING = "server-leaving"
LEAVING_VALUE = "1"
# Remaining time in which the server is cold after a start, milliseconds.
COLD_MS = "x-cold-ms"
MILLISECONDS_PER_SECOND = 1000
NUMBER = re.compile(r"(\d+(\.\d*)?|\.\d+)", re.ASCII)
# With these statuses, "retry-after" applies to the host that sent the request.
BACKOFF_STATUSES = (429, 503)


def stated_limit(headers):
    """Return the `StatedLimit` of an answer; a repeated header is unreadable."""
    texts = _values(headers, RATE_LIMIT)
    if not texts:
        return StatedLimit()
    text = ", ".join(texts)
    rate_per_s = _number(text)
    if rate_per_s is None:
        return StatedLimit(unreadable=text)
    return StatedLimit(rate_per_s)


def stated_backoff(status, headers):
    """Return the `StatedBackoff` of an answer.

    Of several values the longest counts, as the server requests at least that time.
    """
    texts = _values(headers, RETRY_AFTER)
    if status not in BACKOFF_STATUSES or not texts:
        return StatedBackoff()
    waits_s = [_number(text) for text in texts]
    readable_s = [wait_s for wait_s in waits_s if wait_s is not None]
    unreadable = ", ".join(texts) if None in waits_s or len(texts) > 1 else None
    return StatedBackoff(max(readable_s, default=0.0), unreadable)


def says_leaving(headers):
    """Return whether the server of an answer announces that it leaves."""
    return LEAVING_VALUE in _values(headers, LEAVING)


def stated_cold_s(headers):
    """Return how long the server of an answer is still cold, seconds, or None.

    Of several times the longest counts; unreadable ones are ignored.
    """
    times_ms = [_number(text) for text in _values(headers, COLD_MS)]
    readable_ms = [time_ms for time_ms in times_ms if time_ms is not None]
    return max(readable_ms) / MILLISECONDS_PER_SECOND if readable_ms else None


def _values(headers, wanted):
    return [value.strip() for name, value in headers if name == wanted]


def _number(text):
    """Return a finite number from 0 on, or None."""
    if NUMBER.fullmatch(text) is None or not math.isfinite(float(text)):
        return None
    return float(text)
