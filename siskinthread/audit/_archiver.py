"""Task that copies events to the audit stream before their streams expire."""

import functools
import random as random_module

import curio

from siskinthread.audit._pages import encode_page, fitting_prefix, Page
from siskinthread.audit._trail import Trail
from siskinthread.configuration._schedule import SnapshotSchedule
from siskinthread.errors import PlatformUnavailableError
from siskinthread.observability import part_logger

_LOG = part_logger("audit")


class CopyRound:
    """Copying of a range of a stream, one page at a time.

    Parameters
    ----------
    schedule : SnapshotSchedule
        Determines when to begin; restarted when another process has copied the range.

    Attributes
    ----------
    target : int or None
        Offset up to which the stream is being copied; None between rounds.
    """

    __slots__ = ("schedule", "target")

    def __init__(self, schedule):
        self.schedule = schedule
        self.target = None

    def advance(self, records, done_through, newest):
        """Process new records, and end or begin a round.

        Parameters
        ----------
        records : list of LogRecord
            New records of the stream.
        done_through : int
            Offset up to which this or another process has copied the stream.
        newest : int
            Newest offset of the stream.
        """
        if self.target is not None and done_through >= self.target:
            self.target = None
            # Must precede `note`, which draws a new deadline when it sees the copy: a
            # later pause would replace that deadline.
            self.schedule.postpone()
        self.schedule.observe(records, done_through)
        if self.target is None and self.schedule.due():
            self.target = newest


class Archiver:
    """Archives the events of the sources, and appends old pages again.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    platform : siskinthread.shared_services.PlatformSettings
        Settings of the platform, with the name of the audit stream.
    configuration : siskinthread.configuration.ConfigurationSettings
        Retention of the log, and the shares of it after which snapshots are due.
    settings : AuditSettings
        Bounds of the archive, and intervals.
    sources : list
        Sources of events, such as `ConfigurationSource`.
    limiter : AppendLimiter
        Rate limit that is shared with the `Recorder` of the process.
    is_writer : callable
        Returns whether this process archives for its failure domain.
    clock : Clock
        Clock of the process.
    metrics : siskinthread.observability.Metrics
        Metrics that count pages and failures.
    random : random.Random or None
        Source of the jitter; None for a new one.

    Attributes
    ----------
    trail : Trail
        Entries of the audit stream and the sources.

    Notes
    -----
    A wrong result of `is_writer` costs additional appends, but does not repeat or lose
    entries: the id of an entry does not depend on the writer.  Of several writers, the
    one whose jittered deadline passes first writes; the others then read its page and
    draw a new deadline.
    """

    __slots__ = (
        "_archive_round",
        "_client",
        "_dropped_ms",
        "_is_writer",
        "_new_schedule",
        "_limiter",
        "_pages",
        "_rounds",
        "_settings",
        "_stream",
        "_logged_trouble",
        "_troubles",
        "trail",
    )

    def __init__(
        self,
        client,
        platform,
        configuration,
        settings,
        sources,
        limiter,
        is_writer,
        clock,
        metrics,
        random=None,
    ):
        random = random or random_module.Random()
        self._client = client
        self._stream = platform.audit_stream
        self._settings = settings
        self._limiter = limiter.share()
        self._is_writer = is_writer
        self._dropped_ms = None
        self._logged_trouble = {}
        self.trail = Trail(client, self._stream, sources, settings)
        self._new_schedule = functools.partial(
            SnapshotSchedule, configuration, clock, random
        )
        self._archive_round = CopyRound(self._new_schedule())
        self._rounds = {
            source.kind: CopyRound(self._new_schedule()) for source in sources
        }
        self._pages = metrics.counter(
            "audit_pages_written", "Pages that this process wrote.", ("why",)
        )
        self._troubles = metrics.counter(
            "audit_troubles", "Times that the trail could not be kept.", ("condition",)
        )

    async def run(self):
        """Run until cancelled."""
        while True:
            await curio.sleep(await self.step())

    async def step(self):
        """Read all streams, and append a page if one is due.

        Returns
        -------
        float
            Pause before the next step, seconds.
        """
        if not self._is_writer():
            return self._settings.poll_interval_s
        try:
            await self._read()
            await self._write_if_due()
        except PlatformUnavailableError as error:
            self._troubles.labels(condition="unavailable").inc()
            _LOG.warning("Log did not answer: %s.", error)
        pause_s = self._settings.poll_interval_s
        if self._is_copying():
            return min(pause_s, self._settings.append_interval_s)
        return pause_s

    def _is_copying(self):
        rounds = [self._archive_round, *self._rounds.values()]
        return any(copy_round.target is not None for copy_round in rounds)

    async def _write_if_due(self):
        if not self._is_copying():
            self._limiter.reset()
        elif self._limiter.ready():
            self._limiter.note_append()
            # Encoding a full page takes tens of milliseconds, which on the event loop
            # would delay the heartbeats of every connection.
            body, why = await curio.run_in_thread(self._build_page)
            await self._client.append(self._stream, body)
            self._pages.labels(why=why).inc()
            _LOG.info("Appended an audit page of %d bytes (%s).", len(body), why)

    async def _read(self):
        audit_records, derived = await self.trail.read_on()
        for state in self.trail.sources:
            kind = state.source.kind
            through = self.trail.archive.through.get(kind, -1)
            copy_round = self._rounds[kind]
            copy_round.advance(derived[kind], through, state.seen)
            self._note_trouble(kind, state.trouble)
        self._note_archive(audit_records)

    def _note_trouble(self, kind, trouble):
        if trouble:
            self._troubles.labels(condition=str(kind)).inc()
        if trouble and trouble != self._logged_trouble.get(kind):
            _LOG.error("Cannot follow the %s stream: %s.", kind, trouble)
        self._logged_trouble[kind] = trouble

    def _note_archive(self, audit_records):
        archive = self.trail.archive
        if self.trail.offsets_lost:
            self._troubles.labels(condition="stream_lost_records").inc()
            _LOG.error("Audit stream lost records; appending all known entries again.")
            self._archive_round = CopyRound(self._new_schedule())
            self._archive_round.schedule.observe_unknown_base()
        oldest = archive.oldest_offset()
        if oldest is not None:
            newest = archive.newest_offset()
            self._archive_round.advance(audit_records, oldest - 1, newest)
        if archive.dropped_through_ms != self._dropped_ms:
            self._dropped_ms = archive.dropped_through_ms
            self._troubles.labels(condition="beyond_bounds").inc()
            _LOG.info(
                "Dropped audit entries up to %d ms beyond the configured bounds.",
                self._dropped_ms,
            )

    def _build_page(self):
        """Return the body of the next page, and its kind: "new" or "again"."""
        limit_bytes = self._settings.record_limit_bytes
        for state in self.trail.sources:
            target = self._rounds[state.source.kind].target
            if target is not None:
                return encode_page(self._new_page(state, target, limit_bytes)), "new"
        archive = self.trail.archive
        old = archive.entries_before(self._archive_round.target + 1)
        return encode_page(
            Page(fitting_prefix(old, limit_bytes), archive.through)
        ), "again"

    def _new_page(self, state, target, limit_bytes):
        entries = list(state.entries.values())
        chosen = fitting_prefix(entries, limit_bytes)
        through = target
        if len(chosen) < len(entries):
            offsets = [entry.offset for entry in chosen if entry.offset is not None]
            known = self.trail.archive.through.get(state.source.kind, -1)
            through = max(offsets, default=known)
        return Page(chosen, {state.source.kind: through})
