"""Stand-in of the platform's append-only log service.

Run it with ``python -m standins.log --port 0``.  In addition to the protocol of the
service it accepts ``POST /faults`` with any of ``down`` (bool), ``lose_answers``
(number of appends that take effect but are not answered), ``delay_ms`` and
``truncate_to`` (records from this offset on are dropped, in all streams or only in
``stream``).
"""

import argparse
import base64
import collections
import time

import curio

from standins._http_server import add_server_options, CloseConnection, run_standin

MILLISECONDS_PER_SECOND = 1000
APPEND_QUEUE_LIMIT_S = 1.0
DEFAULT_READ_LIMIT = 500
STREAMS_PREFIX = "/streams/"


class Record:
    """A retained record."""

    __slots__ = ("at_ms", "body", "offset")

    def __init__(self, offset, at_ms, body):
        self.offset = offset
        self.at_ms = at_ms
        self.body = body

    def as_json(self):
        """Return the record as the protocol encodes it."""
        body = base64.b64encode(self.body).decode("ascii")
        return {"offset": self.offset, "at_ms": self.at_ms, "body": body}


class Stream:
    """A stream of records."""

    __slots__ = ("appended", "next_offset", "records")

    def __init__(self):
        self.next_offset = 0
        self.records = collections.deque()
        self.appended = curio.Condition()

    @property
    def first_offset(self):
        """Offset of the oldest retained record, or of the next record if none is."""
        return self.records[0].offset if self.records else self.next_offset

    async def append(self, body):
        """Append a record and return its offset."""
        offset = self.next_offset
        self.records.append(Record(offset, _unix_ms(), body))
        self.next_offset += 1
        async with self.appended:
            await self.appended.notify_all()
        return offset

    def expire(self, keep_records, keep_age_s):
        """Drop the records beyond the retained number or the retained age."""
        oldest_ms = _unix_ms() - keep_age_s * MILLISECONDS_PER_SECOND
        records = self.records
        while records and (len(records) > keep_records or records[0].at_ms < oldest_ms):
            records.popleft()

    def truncate(self, next_offset):
        """Drop the records from an offset on, as a log that lost its newest records."""
        while self.records and self.records[-1].offset >= next_offset:
            self.records.pop()
        self.next_offset = min(self.next_offset, next_offset)

    def read(self, from_offset, limit):
        """Return at most `limit` records from an offset on."""
        skipped = max(0, from_offset - self.first_offset)
        return [
            self.records[index]
            for index in range(skipped, min(len(self.records), skipped + limit))
        ]


class LogStandin:
    """Log service with a limited rate of appends.

    Parameters
    ----------
    options : argparse.Namespace
        With ``keep_records``, ``keep_age_s`` and ``appends_per_s``.
    """

    __slots__ = (
        "_next_append_at_s",
        "_options",
        "appends",
        "delay_ms",
        "down",
        "lose_answers",
        "reads",
        "streams",
    )

    def __init__(self, options):
        self._options = options
        self._next_append_at_s = 0.0
        self.streams = collections.defaultdict(Stream)
        self.down = False
        self.lose_answers = 0
        self.delay_ms = 0
        self.appends = 0
        self.reads = 0

    async def handle(self, request, exchange):
        """Answer one request."""
        if request.path == "/faults":
            self._set_faults(request.json())
            await exchange.answer_json(200, {})
            return
        if self.down:
            raise CloseConnection
        if self.delay_ms:
            await curio.sleep(self.delay_ms / MILLISECONDS_PER_SECOND)
        if request.path == "/counts":
            await exchange.answer_json(
                200, {"appends": self.appends, "reads": self.reads}
            )
        elif not request.path.startswith(STREAMS_PREFIX):
            await exchange.answer_json(404, {"error": "no such path"})
        elif request.method == "POST":
            await self._append(request, exchange)
        else:
            await self._read(request, exchange)

    async def _append(self, request, exchange):
        if not await self._wait_for_append_slot():
            await exchange.answer_json(429, {"error": "too many appends"})
            return
        self.appends += 1
        offset = await self._stream(request).append(request.body)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise CloseConnection
        await exchange.answer_json(200, {"offset": offset})

    async def _read(self, request, exchange):
        self.reads += 1
        stream = self._stream(request)
        from_offset = int(request.query.get("from", 0))
        limit = int(request.query.get("limit", DEFAULT_READ_LIMIT))
        wait_s = int(request.query.get("wait_ms", 0)) / MILLISECONDS_PER_SECOND
        if from_offset == stream.next_offset and wait_s > 0:
            await _wait_for_append(stream, from_offset, wait_s)
        stream.expire(self._options.keep_records, self._options.keep_age_s)
        records = stream.read(from_offset, limit)
        answer = {
            "first_offset": stream.first_offset,
            "next_offset": stream.next_offset,
            "records": [record.as_json() for record in records],
        }
        await exchange.answer_json(200, answer)

    def _stream(self, request):
        return self.streams[request.path.removeprefix(STREAMS_PREFIX)]

    async def _wait_for_append_slot(self):
        now_s = time.monotonic()
        append_at_s = max(now_s, self._next_append_at_s)
        if append_at_s - now_s > APPEND_QUEUE_LIMIT_S:
            return False
        self._next_append_at_s = append_at_s + 1 / self._options.appends_per_s
        if append_at_s > now_s:
            await curio.sleep(append_at_s - now_s)
        return True

    def _set_faults(self, faults):
        self.down = faults.get("down", self.down)
        self.lose_answers = faults.get("lose_answers", self.lose_answers)
        self.delay_ms = faults.get("delay_ms", self.delay_ms)
        if "truncate_to" in faults:
            names = [faults["stream"]] if "stream" in faults else list(self.streams)
            for name in names:
                self.streams[name].truncate(faults["truncate_to"])


def add_options(parser):
    """Add the log's own options to an argument parser."""
    parser.add_argument(
        "--keep-records", type=int, default=100_000, help="records kept in a stream"
    )
    parser.add_argument(
        "--keep-age-s", type=float, default=86_400.0, help="age at which records go"
    )
    parser.add_argument(
        "--appends-per-s", type=float, default=400.0, help="limit on appends"
    )


async def _wait_for_append(stream, from_offset, wait_s):
    async with curio.ignore_after(wait_s), stream.appended:
        while stream.next_offset <= from_offset:
            await stream.appended.wait()


def _unix_ms():
    return time.time_ns() // 1_000_000


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="stand-in of the log service")
    add_server_options(parser)
    add_options(parser)
    options = parser.parse_args()
    run_standin(LogStandin(options).handle, options)


if __name__ == "__main__":
    main()
