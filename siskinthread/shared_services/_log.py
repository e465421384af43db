"""Client of the append-only log service.

The service speaks HTTP:

- ``POST /streams/NAME`` appends the body; answers ``{"offset": n}``.
- ``GET /streams/NAME?from=N&limit=M&wait_ms=W`` answers ``{"first_offset": a,
  "next_offset": b, "records": [{"offset", "at_ms", "body" (base64)}]}``, waiting up
  to W ms when there is nothing yet.  ``first_offset`` is the oldest kept record.
"""

import base64
from urllib.parse import quote, urlencode

from siskinthread.errors import PlatformUnavailableError
from siskinthread.shared_services._http import HttpClient, parse_json

MILLISECONDS_PER_SECOND = 1000


class LogRecord:
    """One record of a stream.

    Parameters
    ----------
    offset : int
        Place in the stream; offsets rise by one.
    at_ms : int
        The service's wall clock at the append, Unix milliseconds.
    body : bytes
        What was appended.
    """

    __slots__ = ("at_ms", "body", "offset")

    def __init__(self, offset, at_ms, body):
        self.offset = offset
        self.at_ms = at_ms
        self.body = body


class LogSpan:
    """Answer of a read.

    Parameters
    ----------
    first_offset, next_offset : int
        Oldest record kept, and the offset that the next append will get.
    records : list of LogRecord
        Consecutive records.
    """

    __slots__ = ("first_offset", "next_offset", "records")

    def __init__(self, first_offset, next_offset, records):
        self.first_offset = first_offset
        self.next_offset = next_offset
        self.records = records


class LogClient:
    """Client of the log service; connections are kept open.

    Parameters
    ----------
    settings : PlatformSettings
        Address and waits.

    Notes
    -----
    An append is never repeated here.  Its answer may be lost after it took effect, and
    only the publisher can tell, by reading the stream for its record id.
    """

    __slots__ = ("_http",)

    def __init__(self, settings):
        self._http = HttpClient("log", settings.log, settings.answer_wait_s)

    async def append(self, stream, body):
        """Append a record and return its offset.

        Parameters
        ----------
        stream : str
            Name of the stream.
        body : bytes
            The record.

        Returns
        -------
        int

        Raises
        ------
        PlatformUnavailableError
            If no readable answer came in time; the append may have taken effect.
        """
        answer = parse_json("log", await self._http.post(_path(stream), body))
        try:
            return int(answer["offset"])
        except (KeyError, TypeError, ValueError) as error:
            raise _unexpected(error) from error

    async def read(self, stream, from_offset, limit=500, wait_s=0.0):
        """Return the `LogSpan` from an offset on.

        Parameters
        ----------
        stream : str
            Name of the stream.
        from_offset : int
            First record wanted.
        limit : int
            Most records wanted.
        wait_s : float
            How long the service may wait for a record when there is none yet.

        Returns
        -------
        LogSpan

        Raises
        ------
        PlatformUnavailableError
            If no readable answer came in time.
        """
        query = {
            "from": from_offset,
            "limit": limit,
            "wait_ms": int(wait_s * MILLISECONDS_PER_SECOND),
        }
        target = f"{_path(stream)}?{urlencode(query)}"
        answer = parse_json("log", await self._http.get(target, extra_wait_s=wait_s))
        try:
            return _read_span(answer)
        except (KeyError, TypeError, ValueError) as error:
            raise _unexpected(error) from error

    async def close(self):
        """Close the kept connections."""
        await self._http.close()


def _path(stream):
    return f"/streams/{quote(stream, safe='')}"


def _read_span(answer):
    records = [_read_record(value) for value in answer["records"]]
    _check_consecutive(records)
    return LogSpan(int(answer["first_offset"]), int(answer["next_offset"]), records)


def _read_record(value):
    body = base64.b64decode(value["body"], validate=True)
    return LogRecord(int(value["offset"]), int(value["at_ms"]), body)


def _check_consecutive(records):
    # A span with a hole would be folded as if the missing records never were, and two
    # processes would hold different states under one version.
    for earlier, later in zip(records, records[1:], strict=False):
        if later.offset != earlier.offset + 1:
            raise ValueError(f"record {later.offset} follows {earlier.offset}")


def _unexpected(error):
    return PlatformUnavailableError(f"log: unexpected answer: {error!r}")
