"""Reading, filtering and rendering of the audit trail for operators."""

import json
import re
from datetime import datetime, timedelta, UTC

import curio

from siskinthread.audit._claims import OwnershipSource
from siskinthread.audit._settings import AuditSettings
from siskinthread.audit._sources import ConfigurationSource
from siskinthread.audit._trail import Trail
from siskinthread.errors import PlatformUnavailableError
from siskinthread.shared_services import LogClient

MILLISECONDS_PER_SECOND = 1000
_AGE = re.compile(r"(\d+)([smhd])")
_UNITS = {"s": "seconds", "m": "minutes", "h": "hours", "d": "days"}


class AuditQuery:
    """Filter on the entries of the trail, and the streams to read.

    Parameters
    ----------
    since_ms : int or None
        Time of the oldest entry to return, Unix milliseconds; None for no limit.
    kinds : collection of Kind
        Kinds of entries to return; all kinds if empty.
    audit_stream, ownership_stream : str
        Names of the streams.
    """

    __slots__ = ("audit_stream", "kinds", "ownership_stream", "since_ms")

    def __init__(self, since_ms, kinds, audit_stream, ownership_stream):
        self.since_ms = since_ms
        self.kinds = frozenset(kinds)
        self.audit_stream = audit_stream
        self.ownership_stream = ownership_stream

    def matches(self, entry):
        """Return whether an entry passes the filter."""
        if self.since_ms is not None and entry.at_ms < self.since_ms:
            return False
        return not self.kinds or entry.kind in self.kinds


class AuditAnswer:
    """Result of an `AuditQuery`.

    Parameters
    ----------
    entries : list of Entry
        Matching entries, oldest first.
    warnings : list of str
        Messages on the streams that could not be followed.
    """

    __slots__ = ("entries", "warnings")

    def __init__(self, entries, warnings):
        self.entries = entries
        self.warnings = warnings

    def render(self, as_json):
        """Return the answer as lines of text, or as JSON if `as_json` is true."""
        if as_json:
            plain = [entry.as_dict() for entry in self.entries]
            value = {"entries": plain, "warnings": self.warnings}
            return json.dumps(value, indent=2) + "\n"
        lines = [f"warning: {warning}" for warning in self.warnings]
        lines += [_format_line(entry) for entry in self.entries]
        return "\n".join(lines or ["The trail is empty."]) + "\n"


def parse_since(text, now_ms):
    """Parse an age or a time into Unix milliseconds.

    Parameters
    ----------
    text : str
        Age such as "12h" or "7d", or ISO 8601 time, in UTC if it has no time zone.
    now_ms : int
        Wall-clock time, Unix milliseconds.

    Raises
    ------
    ValueError
        If the text is neither an age nor a time.
    """
    age = _AGE.fullmatch(text)
    try:
        if age:
            back = timedelta(**{_UNITS[age[2]]: int(age[1])})
            return now_ms - int(back.total_seconds() * MILLISECONDS_PER_SECOND)
        moment = datetime.fromisoformat(text)
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=UTC)
        return int(moment.timestamp() * MILLISECONDS_PER_SECOND)
    except (ValueError, OverflowError) as error:
        raise ValueError(
            f"{text!r} is no age such as 12h and no time such as 2026-01-31T06:00"
        ) from error


async def read_answer(client, configuration_stream, query):
    """Return the `AuditAnswer` to a query.

    Raises
    ------
    PlatformUnavailableError
        If the log does not answer.
    """
    sources = [
        ConfigurationSource(client, configuration_stream),
        OwnershipSource(client, query.ownership_stream),
    ]
    trail = Trail(client, query.audit_stream, sources, AuditSettings())
    await trail.read_on()
    warnings = [
        f"the {state.source.kind} stream can't be followed ({state.trouble}); only "
        "what is archived of it is shown"
        for state in trail.sources
        if state.trouble
    ]
    chosen = [entry for entry in trail.entries() if query.matches(entry)]
    return AuditAnswer(chosen, warnings)


def read_trail(settings, query):
    """Return the `AuditAnswer` to a query.

    Parameters
    ----------
    settings : siskinthread.configuration.operators.OperatorSettings
        Address of the log, name of the configuration stream, and time limits.
    query : AuditQuery
        Filter and names of the streams.

    Raises
    ------
    PlatformUnavailableError
        If the log does not answer within ``settings.deadline_s``.
    """
    return curio.run(_read_trail, settings, query)


async def _read_trail(settings, query):
    client = LogClient(settings)
    try:
        return await curio.timeout_after(
            settings.deadline_s,
            read_answer,
            client,
            settings.configuration_stream,
            query,
        )
    except curio.TaskTimeout as error:
        raise PlatformUnavailableError(
            "log: the trail took too long to read"
        ) from error
    finally:
        await client.close()


def _format_line(entry):
    moment = datetime.fromtimestamp(entry.at_ms / MILLISECONDS_PER_SECOND, UTC)
    time = moment.strftime("%Y-%m-%dT%H:%M:%SZ")
    offset = "-" if entry.offset is None else entry.offset
    change = f"{_format_value(entry.before)} -> {_format_value(entry.after)}"
    parts = [time, entry.kind, offset, entry.outcome, entry.who or "-", change]
    line = "  ".join(str(part) for part in [*parts, entry.what])
    return f"{line}  ({entry.reason})" if entry.reason else line


def _format_value(value):
    return "-" if value is None else value
