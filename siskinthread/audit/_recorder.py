"""Recording of events that are in no other stream, by the process that caused them."""

import collections

import curio

from siskinthread.audit._entries import dropped_entry
from siskinthread.audit._pages import encode_page, fitting_prefix, Page
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
        Limits on the size of the buffer and of a page.
    limiter : AppendLimiter
        Rate limit that is shared with the `Archiver` of the process.
    host, incarnation : str
        Host and incarnation of this process, for the entry that reports dropped events.
    clock : Clock
        Clock of the process.
    metrics : siskinthread.observability.Metrics
        Metrics that count dropped events.

    Notes
    -----
    An append whose answer is lost is retried.  Its entries keep their ids, so readers
    see each event once.
    """

    __slots__ = (
        "_buffer",
        "_client",
        "_clock",
        "_dropped",
        "_dropped_count",
        "_host",
        "_incarnation",
        "_limiter",
        "_settings",
        "_stream",
        "_reported_count",
    )

    def __init__(
        self, client, stream, settings, limiter, host, incarnation, clock, metrics
    ):
        self._client = client
        self._stream = stream
        self._settings = settings
        self._limiter = limiter.share()
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._buffer = collections.deque()
        self._dropped = 0
        self._reported_count = 0
        self._dropped_count = metrics.counter(
            "audit_events_dropped", "Events dropped because the buffer was full."
        )

    def record(self, entry):
        """Buffer an entry for a later append.

        If the buffer is full, the entry is dropped and counted, so that memory stays
        bounded in an outage of any length.  The oldest events are kept, as they are the
        causes of later ones.
        """
        if len(self._buffer) >= self._settings.buffer_limit:
            self._dropped += 1
            self._dropped_count.inc()
            return
        self._buffer.append(entry)

    def pending(self):
        """Return the number of pending entries, with that on dropped events."""
        return len(self._buffer) + (self._dropped > self._reported_count)

    async def run(self):
        """Run until cancelled."""
        while True:
            await self.flush()
            await curio.sleep(self._settings.append_interval_s * IDLE_PAUSE_SHARE)

    async def flush(self):
        """Append one page if entries are pending and the rate limit allows it."""
        if not self.pending():
            self._limiter.reset()
            return
        if not self._limiter.ready():
            return
        self._limiter.note_append()
        dropped = self._dropped
        entries = self._dropped_entries(dropped) + list(self._buffer)
        # Encoding a full buffer takes tens of milliseconds, so it runs in a thread.
        chosen, body = await curio.run_in_thread(
            _encode_prefix, entries, self._settings.record_limit_bytes
        )
        try:
            await self._client.append(self._stream, body)
        except PlatformUnavailableError as error:
            _LOG.warning(
                "Append to the audit stream failed; %d events are buffered: %s.",
                len(self._buffer),
                error,
            )
            return
        dropped_entry_count = len(self._dropped_entries(dropped))
        for _ in range(len(chosen) - dropped_entry_count):
            self._buffer.popleft()
        self._reported_count = dropped

    def _dropped_entries(self, dropped):
        if dropped == self._reported_count:
            return []
        now_ms = self._clock.unix_ms()
        return [dropped_entry(self._host, self._incarnation, dropped, now_ms)]


def _encode_prefix(entries, limit_bytes):
    chosen = fitting_prefix(entries, limit_bytes)
    return chosen, encode_page(Page(chosen))
