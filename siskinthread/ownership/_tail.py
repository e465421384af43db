"""Incremental reader of a stream that detects gaps, truncation and rewriting."""

from siskinthread.configuration._fold import record_digest
from siskinthread.configuration._reading import Condition
from siskinthread.errors import PlatformUnavailableError

READ_LIMIT = 500


class TailReading:
    """Result of one read.

    Parameters
    ----------
    condition : Condition
        ``GOOD``; ``GAP`` if the next records have expired, with `records` starting at
        the oldest retained one; ``SHORTENED`` or ``REWRITTEN`` without records.
    records : list of LogRecord
        Consecutive records.
    at_end : bool
        Whether the end of the stream was reached.
    """

    __slots__ = ("at_end", "condition", "records")

    def __init__(self, condition, records=(), at_end=False):
        self.condition = condition
        self.records = list(records)
        self.at_end = at_end


class LogTail:
    """Reader of a stream from its last read position.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the stream.

    Attributes
    ----------
    next_offset : int
        Offset of the next record to read.
    """

    __slots__ = ("_client", "_last_digest", "_stream", "next_offset")

    def __init__(self, client, stream):
        self._client = client
        self._stream = stream
        self.restart()

    def restart(self):
        """Continue from the beginning of the stream."""
        self.seek(0)

    def seek(self, offset):
        """Continue from an offset."""
        self.next_offset = offset
        self._last_digest = None

    async def read_on(self, wait_s=0.0):
        """Read the next records.

        Parameters
        ----------
        wait_s : float
            Longest time that the log may wait for a record, seconds.

        Returns
        -------
        TailReading

        Raises
        ------
        PlatformUnavailableError
            If the log gave no answer, or records other than the requested ones.
        """
        next_offset = self.next_offset
        span = await self._client.read(self._stream, next_offset, READ_LIMIT, wait_s)
        if span.next_offset < next_offset:
            return TailReading(Condition.SHORTENED)
        if span.first_offset > next_offset:
            span = await self._client.read(self._stream, span.first_offset, READ_LIMIT)
            return self._advance(span, Condition.GAP)
        if span.records and not await self._is_last_unchanged(span.first_offset):
            return TailReading(Condition.REWRITTEN)
        return self._advance(span, Condition.GOOD)

    def _advance(self, span, condition):
        records = span.records
        if records:
            if condition is Condition.GOOD and records[0].offset != self.next_offset:
                raise PlatformUnavailableError(
                    f"log: got record {records[0].offset} instead of {self.next_offset}"
                )
            self.next_offset = records[-1].offset + 1
            self._last_digest = record_digest(records[-1])
        elif condition is Condition.GAP:
            self.next_offset = span.first_offset
            self._last_digest = None
        return TailReading(condition, records, self.next_offset >= span.next_offset)

    async def _is_last_unchanged(self, first_offset):
        # A stream that lost its tail and has grown again ends beyond the last read
        # record, as an intact stream does.  Only the content of that record differs.
        last = self.next_offset - 1
        if self._last_digest is None or last < first_offset:
            return True
        span = await self._client.read(self._stream, last, 1)
        if not span.records or span.records[0].offset != last:
            return span.first_offset > last
        return record_digest(span.records[0]) == self._last_digest
