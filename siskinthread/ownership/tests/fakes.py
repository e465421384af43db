"""A log of several streams in memory, with retention by a clock set by hand."""

import collections

from siskinthread.configuration.tests.fakes import FakeLog
from siskinthread.platform import PlatformSettings
from siskinthread.settings import Address

PLATFORM = PlatformSettings(
    log=Address("127.0.0.1", 1), host_list=Address("127.0.0.1", 2), log_poll_wait_s=0.0
)


class FakeLogs:
    """Takes the place of `siskinthread.platform.LogClient`.

    Attributes
    ----------
    streams : dict of str to FakeLog
        Streams with their own faults.
    appends : list of tuple
        Monotonic time and stream of each append that was tried.
    """

    def __init__(self, clock):
        self.clock = clock
        self.streams = collections.defaultdict(FakeLog)
        self.appends = []
        self.down = False

    def put(self, stream, body):
        """Append without faults; return the offset."""
        return self._stream(stream).put(body)

    def expire(self, retention_s):
        """Drop the records that are older than the retention."""
        oldest_ms = self.clock.unix_ms() - int(retention_s * 1000)
        for log in self.streams.values():
            kept = [record for record in log.records if record.at_ms >= oldest_ms]
            log.expire(log.next_offset - len(kept))

    async def append(self, stream, body):
        self.appends.append((self.clock.monotonic_s(), stream))
        return await self._stream(stream).append(stream, body)

    async def read(self, stream, from_offset, limit=500, wait_s=0.0):
        return await self._stream(stream).read(stream, from_offset, limit, wait_s)

    async def close(self):
        pass

    def _stream(self, name):
        log = self.streams[name]
        log.at_ms = self.clock.unix_ms()
        log.down = self.down
        return log
