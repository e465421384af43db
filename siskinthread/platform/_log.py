"""Client of the append-only log service.

The service speaks HTTP:

- ``POST /streams/NAME`` appends the body; answers ``{"offset": n}``.
- ``GET /streams/NAME?from=N&limit=M&wait_ms=W`` answers ``{"first_offset": a,
  "next_offset": b, "records": [{"offset", "at_ms", "body" (base64)}]}``, waiting up
  to W ms when there is nothing yet.  ``first_offset`` is the oldest kept record.
"""


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
    """Client of the log service; one connection, kept open.

    Parameters
    ----------
    settings : PlatformSettings
        Address and waits.
    """

    __slots__ = ("_settings",)

    def __init__(self, settings):
        self._settings = settings

    async def append(self, stream, body):
        """Append a record and return its offset.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time; the append may have taken effect.
        """
        raise NotImplementedError

    async def read(self, stream, from_offset, limit=500, wait_s=0.0):
        """Return the `LogSpan` from an offset on.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time.
        """
        raise NotImplementedError
