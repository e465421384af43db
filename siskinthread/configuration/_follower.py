"""Task that follows the configuration stream and updates the view of a process."""

import random as random_module

import curio

from siskinthread.configuration._backoff import Backoff
from siskinthread.configuration._exchange import PeerExchange, Peers
from siskinthread.configuration._peers import MergeOutcome
from siskinthread.configuration._reader import LogReader
from siskinthread.configuration._reading import Condition
from siskinthread.configuration._records import FORMAT_VERSION
from siskinthread.configuration._schedule import SnapshotSchedule
from siskinthread.configuration._settings import ConfigurationSettings
from siskinthread.configuration._snapshots import encode_snapshot
from siskinthread.errors import PlatformUnavailableError
from siskinthread.observability import part_logger

IDLE_PAUSE_S = 0.05
_LOG = part_logger("configuration")


async def follow_log(
    client,
    view,
    settings,
    clock,
    metrics,
    configuration=None,
    random=None,
    known_format=FORMAT_VERSION,
    peers=None,
):
    """Follow the configuration stream until cancelled.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    view : ConfigurationView
        Advanced with each accepted record; has no state until a configuration is
        published.
    settings : siskinthread.shared_services.PlatformSettings
        Name of the stream, and waits.
    clock : Clock
        Clock of the process.
    metrics : siskinthread.observability.Metrics
        Registry for the version, the offset and the counters.
    configuration : ConfigurationSettings or None
        Snapshots and back-off; None for the defaults.
    random : random.Random or None
        Source of the jitter.
    known_format : int
        Newest record format that this program can read; set by tests of mixed versions.
    peers : Peers or None
        Processes to request records from; None to use only the log.

    Notes
    -----
    During an outage the last state stays in force, and reads are retried with a
    jittered back-off.  A shortened or rewritten log, a gap and a newer format are
    logged once and counted, and the version of the state never decreases.
    """
    follower = LogFollower(
        client,
        view,
        settings,
        clock,
        metrics,
        configuration,
        random,
        known_format,
        peers,
    )
    await follower.run()


class LogFollower:
    """Reads the log, advances the view and writes snapshots.

    See `follow_log` for the parameters.
    """

    __slots__ = (
        "_backoff",
        "_client",
        "_clock",
        "_configuration",
        "_exchange",
        "_gauges",
        "_reader",
        "_schedule",
        "_settings",
        "_snapshots",
        "_condition",
        "_troubles",
        "_verdicts",
        "_view",
    )

    def __init__(
        self,
        client,
        view,
        settings,
        clock,
        metrics,
        configuration=None,
        random=None,
        known_format=FORMAT_VERSION,
        peers=None,
    ):
        configuration = configuration or ConfigurationSettings()
        random = random or random_module.Random()
        self._client = client
        self._clock = clock
        self._view = view
        self._settings = settings
        self._configuration = configuration
        stream = settings.configuration_stream
        self._reader = LogReader(client, stream, known_format)
        self._schedule = SnapshotSchedule(configuration, clock, random)
        self._backoff = Backoff(configuration, random)
        self._condition = None
        self._gauges = {
            "version": metrics.gauge(
                "configuration_version", "Version of the configuration in force."
            ),
            "offset": metrics.gauge(
                "configuration_applied_offset", "Last record that was folded."
            ),
        }
        self._verdicts = metrics.counter(
            "configuration_records", "Records folded, by verdict.", ("status",)
        )
        self._troubles = metrics.counter(
            "configuration_log_troubles",
            "Times that the log could not be followed, by condition.",
            ("condition",),
        )
        self._snapshots = metrics.counter(
            "configuration_snapshots_written", "Snapshots that this node wrote."
        )
        self._exchange = PeerExchange(
            self._reader,
            peers or Peers(),
            view,
            configuration,
            clock,
            self._troubles,
        )

    @property
    def applied_offset(self):
        """Offset of the last folded record; None before the first read."""
        return None if self._reader.fold is None else self._reader.fold.applied_offset

    async def run(self):
        """Run until cancelled."""
        while True:
            await curio.sleep(await self.step())

    async def answer(self, request):
        """Return the `ConfigurationUpdate` for a peer's `ConfigurationRequest`."""
        return await self._exchange.answer(request)

    async def ask_peers(self):
        """Ask a reader for records now, even if this process reads the log itself."""
        await self._ask_peers(starting=False)

    async def step(self):
        """Read the log or ask the peers once and return the pause, in seconds."""
        if self._exchange.relies_on_peers():
            await self._ask_peers(starting=False)
            if self._exchange.confirmed():
                return self._configuration.peer_interval_s
        # The answer contains all records that were appended before the read was sent.
        asked_at_ms = self._clock.unix_ms()
        try:
            reading = await self._reader.read_on(self._poll_wait_s())
            if reading.condition is not Condition.GOOD:
                return await self._retry(reading.condition, reading.detail, reading)
            await self._apply_reading(reading, asked_at_ms)
            await self._write_snapshot_if_due()
        except PlatformUnavailableError as error:
            return await self._retry("unavailable", str(error))
        idle = not reading.records and self._settings.log_poll_wait_s < IDLE_PAUSE_S
        return IDLE_PAUSE_S if idle else 0.0

    def _poll_wait_s(self):
        # A process that relies on peers reads the log only to detect whether its state
        # is out of date, so it doesn't wait for records.
        relies = self._exchange.relies_on_peers()
        return 0.0 if relies else self._settings.log_poll_wait_s

    async def _apply_reading(self, reading, asked_at_ms):
        self._report_recovery()
        self._record_reading(reading)
        if self._view.state is None:
            # The log may have lost its tail while this process wasn't running.  Running
            # peers still have the state that was in force.
            await self._ask_peers(starting=True)
        fold = self._reader.fold
        self._advance(fold)
        if fold.applied_offset + 1 == reading.next_offset:
            self._view.confirm(asked_at_ms)

    async def _retry(self, condition, detail, reading=None):
        self._report_trouble(condition, detail)
        if reading is not None and self._reader.fold is not None:
            self._record_reading(reading)
            self._advance(self._reader.fold)
        await self._ask_peers(starting=True)
        return self._backoff.next_wait_s()

    async def _ask_peers(self, starting):
        for merged in await self._exchange.ask(starting):
            if merged.outcome is not MergeOutcome.ADVANCED:
                continue
            self._schedule.observe(merged.records, self._reader.base_offset)
            if not merged.records:
                self._schedule.observe_unknown_base()
            self._advance(merged.fold)

    def _record_reading(self, reading):
        for verdict in reading.verdicts:
            self._verdicts.labels(status=verdict.status.value).inc()
        for offset in reading.diverged_offsets:
            self._troubles.labels(condition="diverged").inc()
            _LOG.error("The snapshot at %d differs from the local state.", offset)
        self._schedule.observe(reading.records, self._reader.base_offset)

    def _advance(self, fold):
        self._gauges["offset"].set(fold.applied_offset)
        # A starting process that halts at a record must not serve an older
        # configuration than the other nodes; a running process keeps its state.
        starts_too_old = fold.halted_reason and self._view.state is None
        if fold.state.version < 0 or starts_too_old:
            return
        if self._view.advance(fold.state):
            self._gauges["version"].set(fold.state.version)
            _LOG.info(
                "Version %d by %s is in force.", fold.state.version, fold.last_author
            )

    async def _write_snapshot_if_due(self):
        if not self._schedule.due():
            return
        limit = self._configuration.record_limit_bytes
        # Runs in a thread: encoding a large state takes tens of milliseconds, which
        # would delay the heartbeats of every connection.
        bodies = await curio.run_in_thread(encode_snapshot, self._reader.fold, limit)
        for body in bodies:
            await self._client.append(self._settings.configuration_stream, body)
        self._schedule.postpone()
        self._snapshots.inc()
        _LOG.info("Wrote a snapshot in %d records.", len(bodies))

    def _report_trouble(self, condition, detail):
        self._troubles.labels(condition=str(condition)).inc()
        if self._condition != condition:
            self._condition = condition
            _LOG.error("Can't follow the log (%s): %s.", condition, detail)

    def _report_recovery(self):
        self._backoff.reset()
        if self._condition is not None:
            _LOG.info("Following the log again after condition %s.", self._condition)
            self._condition = None
