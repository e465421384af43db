"""Events that no stream holds, written to the audit stream by who caused them."""

import collections

import curio

from siskinthread.audit._entries import dropped_entry
from siskinthread.audit._pages import encode_page, fitting, Page
from siskinthread.errors import PlatformUnavailableError
from siskinthread.observability import part_logger

_LOG = part_logger("audit")
IDLE_PAUSE_SHARE = 0.25


class Recorder:
    """Buffers entries and appends them in batches.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the audit stream.
    settings : AuditSettings
        Size of the buffer and of a page.
    pace : Pace
        Shared with the `Archiver` of the process.
    host, incarnation : str
        This process, for the entry that says what was dropped.
    clock : Clock
        The process's clock.
    metrics : siskinthread.observability.Metrics
        Where dropped events are counted.

    Notes
    -----
    An append whose answer was lost is made again: its entries have the same ids, so
    readers see each event once.
    """

    __slots__ = (
        "_buffer",
        "_client",
        "_clock",
        "_dropped",
        "_dropped_count",
        "_host",
        "_incarnation",
        "_pace",
        "_settings",
        "_stream",
        "_told",
    )

    def __init__(
        self, client, stream, settings, pace, host, incarnation, clock, metrics
    ):
        self._client = client
        self._stream = stream
        self._settings = settings
        self._pace = pace.share()
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._buffer = collections.deque()
        self._dropped = 0
        self._told = 0
        self._dropped_count = metrics.counter(
            "audit_events_dropped", "Events dropped because the buffer was full."
        )

    def record(self, entry):
        """Take an entry; it is appended later.

        A full buffer drops the entry and counts it: memory is bounded in an outage of
        any length, and the oldest events are those that led to what came after.
        """
        if len(self._buffer) >= self._settings.buffer_limit:
            self._dropped += 1
            self._dropped_count.inc()
            return
        self._buffer.append(entry)

    def pending(self):
        """Return how many events wait, with the one that tells of dropped ones."""
        return len(self._buffer) + (self._dropped > self._told)

    async def run(self):
        """Run until cancelled."""
        while True:
            await self.flush()
            await curio.sleep(self._settings.append_interval_s * IDLE_PAUSE_SHARE)

    async def flush(self):
        """Append one page if there is something to tell and the pace allows."""
        if not self.pending():
            self._pace.rest()
            return
        if not self._pace.ready():
            return
        self._pace.spend()
        dropped = self._dropped
        entries = self._dropped_entries(dropped) + list(self._buffer)
        # In a thread, as a full buffer takes tens of milliseconds.
        chosen, body = await curio.run_in_thread(
            _build, entries, self._settings.record_limit_bytes
        )
        try:
            await self._client.append(self._stream, body)
        except PlatformUnavailableError as error:
            _LOG.warning("%d events wait for the log: %s.", len(self._buffer), error)
            return
        told_first = len(self._dropped_entries(dropped))
        for _ in range(len(chosen) - told_first):
            self._buffer.popleft()
        self._told = dropped

    def _dropped_entries(self, dropped):
        if dropped == self._told:
            return []
        now_ms = self._clock.unix_ms()
        return [dropped_entry(self._host, self._incarnation, dropped, now_ms)]


def _build(entries, limit_bytes):
    chosen = fitting(entries, limit_bytes)
    return chosen, encode_page(Page(chosen))
