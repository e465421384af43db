"""Reading on in a stream, with what may have become of it since the last read."""

from siskinthread.configuration._fold import record_digest
from siskinthread.configuration._reading import Condition
from siskinthread.errors import PlatformUnavailableError

READ_LIMIT = 500


class TailReading:
    """Outcome of one read.

    Parameters
    ----------
    condition : Condition
        ``GOOD``; ``GAP`` if wanted records have expired, with `records` from the
        oldest kept one on; ``SHORTENED`` or ``REWRITTEN`` without records.
    records : list of LogRecord
        Consecutive records.
    at_end : bool
        Whether the stream held nothing more.
    """

    __slots__ = ("at_end", "condition", "records")

    def __init__(self, condition, records=(), at_end=False):
        self.condition = condition
        self.records = list(records)
        self.at_end = at_end


class LogTail:
    """The place in a stream up to which it was read.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the stream.

    Attributes
    ----------
    wanted : int
        Offset of the next record to read.
    """

    __slots__ = ("_client", "_last_digest", "_stream", "wanted")

    def __init__(self, client, stream):
        self._client = client
        self._stream = stream
        self.restart()

    def restart(self):
        """Read from the beginning again."""
        self.go_to(0)

    def go_to(self, offset):
        """Read from an offset on."""
        self.wanted = offset
        self._last_digest = None

    async def read_on(self, wait_s=0.0):
        """Read the next records.

        Parameters
        ----------
        wait_s : float
            How long the log may wait for a record, seconds.

        Returns
        -------
        TailReading

        Raises
        ------
        PlatformUnavailableError
            If the log gave no answer.
        """
        wanted = self.wanted
        span = await self._client.read(self._stream, wanted, READ_LIMIT, wait_s)
        if span.next_offset < wanted:
            return TailReading(Condition.SHORTENED)
        if span.first_offset > wanted:
            span = await self._client.read(self._stream, span.first_offset, READ_LIMIT)
            return self._advance(span, Condition.GAP)
        if span.records and not await self._still_holds_last(span.first_offset):
            return TailReading(Condition.REWRITTEN)
        return self._advance(span, Condition.GOOD)

    def _advance(self, span, condition):
        records = span.records
        if records:
            if condition is Condition.GOOD and records[0].offset != self.wanted:
                raise PlatformUnavailableError(
                    f"log: record {records[0].offset} came for {self.wanted}"
                )
            self.wanted = records[-1].offset + 1
            self._last_digest = record_digest(records[-1])
        elif condition is Condition.GAP:
            self.wanted = span.first_offset
            self._last_digest = None
        return TailReading(condition, records, self.wanted >= span.next_offset)

    async def _still_holds_last(self, first_offset):
        # A stream that lost its tail and has grown again ends beyond the last record
        # that was read, as a sound one does.  Only the record itself shows it.
        last = self.wanted - 1
        if self._last_digest is None or last < first_offset:
            return True
        span = await self._client.read(self._stream, last, 1)
        if not span.records or span.records[0].offset != last:
            return span.first_offset > last
        return record_digest(span.records[0]) == self._last_digest
