"""Client of the append-only log service.

The service has an HTTP interface:

- ``POST /streams/NAME`` appends the body and returns ``{"offset": n}``.
- ``GET /streams/NAME?from=N&limit=M&wait_ms=W`` returns ``{"first_offset": a,
  "next_offset": b, "records": [{"offset", "at_ms", "body" (base64)}]}`` and waits up to
  W ms for a record if there is none yet.  ``first_offset`` is the oldest record kept.
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
        Position in the stream; offsets increase by one.
    at_ms : int
        Time of the append by the service's wall clock, Unix milliseconds.
    body : bytes
        The appended bytes.
    """

    __slots__ = ("at_ms", "body", "offset")

    def __init__(self, offset, at_ms, body):
        self.offset = offset
        self.at_ms = at_ms
        self.body = body


class LogSpan:
    """Result of a read.

    Parameters
    ----------
    first_offset, next_offset : int
        Offsets of the oldest record kept and of the next append.
    records : list of LogRecord
        Consecutive records.
    """

    __slots__ = ("first_offset", "next_offset", "records")

    def __init__(self, first_offset, next_offset, records):
        self.first_offset = first_offset
        self.next_offset = next_offset
        self.records = records


class LogClient:
    """Client of the log service with kept-alive connections.

    Parameters
    ----------
    settings : PlatformSettings
        Address and timeouts.

    Notes
    -----
    The client never retries an append.  The answer may be lost after the append took
    effect; only the publisher can find out, by looking for its record id in the stream.
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
            If no valid answer arrived in time; the append may have taken effect.
        """
        answer = parse_json("log", await self._http.post(_path(stream), body))
        try:
            return int(answer["offset"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise _unexpected(error) from error

    async def read(self, stream, from_offset, limit=500, wait_s=0.0):
        """Return the `LogSpan` from an offset on.

        Parameters
        ----------
        stream : str
            Name of the stream.
        from_offset : int
            Offset of the first record to return.
        limit : int
            Most records to return.
        wait_s : float
            Time for which the service may wait for a record if there is none yet,
            seconds.

        Returns
        -------
        LogSpan

        Raises
        ------
        PlatformUnavailableError
            If no valid answer arrived in time.
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
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise _unexpected(error) from error

    async def close(self):
        """Close the kept-alive connections."""
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
    # A span with a gap would be applied as if the missing records did not exist, and
    # two processes would hold different states under the same version.
    for earlier, later in zip(records, records[1:], strict=False):
        if later.offset != earlier.offset + 1:
            raise ValueError(f"record {later.offset} follows {earlier.offset}")


def _unexpected(error):
    return PlatformUnavailableError(f"log: unexpected answer: {error!r}")
