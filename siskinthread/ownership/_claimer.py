"""The task that claims groups whose owner is suspected and preserves the claims."""

import random as random_module

import curio

from siskinthread.configuration._reading import Condition
from siskinthread.configuration._schedule import SnapshotSchedule
from siskinthread.errors import PlatformUnavailableError
from siskinthread.observability import part_logger
from siskinthread.ownership._fold import ClaimStatus
from siskinthread.ownership._reader import ClaimReader
from siskinthread.ownership._records import (
    Claim,
    encode_claim,
    encode_reset,
    encode_snapshot,
    read_record,
)
from siskinthread.ownership._turns import ClaimSchedule
from siskinthread.timing import Deadline

_logger = part_logger("ownership")


class Claimer:
    """Claim model groups for this process.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    view : OwnershipView
        Updated with the owners in force after each read.
    platform : siskinthread.shared_services.PlatformSettings
        ``ownership_stream``, the name of the stream.
    configuration : siskinthread.configuration.ConfigurationSettings
        Retention of the log and the fractions of it after which a snapshot of the
        claims is written.
    settings : OwnershipSettings
        Intervals and delays.
    host, incarnation : str
        Identity of this process.
    groups : callable
        Returns a dict of group to the hosts of its agents.
    liveness : object
        Has ``is_suspected(host)``, such as `Liveness`.
    clock : Clock
        Clock for the deadlines.
    metrics : siskinthread.observability.Metrics
        Registry for the count of claims and errors.
    random : random.Random or None
        Source of jitter.
    """

    __slots__ = (
        "_base_offset",
        "_client",
        "_clock",
        "_counts",
        "_groups",
        "_host",
        "_incarnation",
        "_liveness",
        "_lock",
        "_next_read",
        "_random",
        "_reader",
        "_reset_deadline",
        "_snapshot_schedule",
        "_settings",
        "_stream",
        "_claim_schedule",
        "_view",
    )

    def __init__(
        self,
        client,
        view,
        platform,
        configuration,
        settings,
        host,
        incarnation,
        groups,
        liveness,
        clock,
        metrics,
        random=None,
    ):
        random = random or random_module.Random()
        self._client = client
        self._view = view
        self._stream = platform.ownership_stream
        self._settings = settings
        self._host = host
        self._incarnation = incarnation
        self._groups = groups
        self._liveness = liveness
        self._clock = clock
        self._random = random
        self._reader = ClaimReader(client, self._stream)
        self._snapshot_schedule = SnapshotSchedule(configuration, clock, random)
        self._claim_schedule = ClaimSchedule(settings, host, clock, random)
        self._base_offset = -1
        self._next_read = Deadline.after(clock, 0.0)
        self._reset_deadline = None
        self._lock = curio.Lock()
        self._counts = metrics.counter(
            "ownership_events", "Claims, copies and troubles.", ("event",)
        )

    async def run(self):
        """Run until cancelled."""
        while True:
            await curio.sleep(await self.step())

    async def confirm(self, group):
        """Read the latest claims before acting for a group.

        Returns
        -------
        int or None
            The fencing number to act with; None if this process is not the owner or
            the history of the stream has changed.

        Notes
        -----
        While the log is unavailable, the owner continues: no process can supersede it
        then, except by a claim appended just before the outage.  Safety does not rest
        on this check, since the process may pause between the check and its order; in
        that case the gates of the ranks refuse the order.
        """
        try:
            async with self._lock:
                await self._read()
        except PlatformUnavailableError:
            self._counts.labels(event="unavailable").inc()
        return self._own_fencing(group) if self._view.is_following() else None

    async def step(self):
        """Read the stream and append claims if due.

        Returns
        -------
        float
            Time until the next step, seconds.
        """
        try:
            async with self._lock:
                await self._step()
        except PlatformUnavailableError as error:
            # No process can claim without the log, so the owner continues.
            self._counts.labels(event="unavailable").inc()
            _logger.warning("The claims can't be read or written: %s.", error)
            self._schedule_read()
        return (
            self._claim_schedule.left_s(self._next_read.left_s()) or self._min_pause_s()
        )

    async def _step(self):
        self._schedule_claims()
        if not (
            self._claim_schedule.due() or self._next_read.passed() or self._reset_due()
        ):
            return
        await self._read()
        self._schedule_read()
        if self._view.condition is Condition.GAP:
            await self._reset_if_due()
        if not self._view.is_following():
            return
        self._reset_deadline = None
        # The records read may have settled some groups and made others need an owner.
        self._schedule_claims()
        for group in self._claim_schedule.due():
            await self._claim(group)
        await self._write_snapshot_if_due()

    def _schedule_claims(self):
        if not self._view.is_following():
            return
        groups = self._groups()
        for group, hosts in groups.items():
            if self._host in hosts and self._needs_owner(group):
                fencing = self._reader.fold.fencing(group)
                others = [
                    host
                    for host in hosts
                    if host != self._host and not self._liveness.is_suspected(host)
                ]
                self._claim_schedule.schedule(group, others, fencing)
            else:
                self._claim_schedule.cancel(group)
        self._claim_schedule.retain(groups)

    def _needs_owner(self, group):
        owner = self._view.owner(group)
        if owner is None:
            return True
        if owner.host == self._host:
            # An earlier incarnation on this host never comes back.
            return owner.incarnation != self._incarnation
        return self._liveness.is_suspected(owner.host)

    async def _claim(self, group):
        supersedes = self._reader.fold.fencing(group)
        claim = Claim(group, self._host, self._incarnation, supersedes)
        # The answer may be lost, and the append may take effect late.  Each further
        # attempt follows a read and repeats the same claim, so at most one copy of it
        # is ever granted.
        self._claim_schedule.postpone(group)
        self._counts.labels(event="claimed").inc()
        await self._client.append(self._stream, encode_claim(claim))
        await self._read()
        if self._own_fencing(group) is not None:
            self._claim_schedule.cancel(group)

    def _own_fencing(self, group):
        owner = self._view.owner(group)
        if owner is None:
            return None
        own = (owner.host, owner.incarnation) == (self._host, self._incarnation)
        return owner.fencing if own else None

    async def _read(self):
        reading = await self._reader.catch_up()
        if reading.condition is not Condition.GOOD:
            self._record_fault(reading)
            return
        self._view.condition = reading.condition
        if reading.diverged:
            self._counts.labels(event="diverged").inc()
            _logger.error(
                "A snapshot of the claims differs from the owners known here."
            )
        for verdict in reading.verdicts:
            self._record_verdict(verdict)
        records = [verdict.record for verdict in reading.verdicts]
        self._snapshot_schedule.observe(records, self._base_offset)
        self._view.replace(self._reader.fold.owners)

    def _record_verdict(self, verdict):
        self._counts.labels(event=str(verdict.status)).inc()
        if verdict.status is ClaimStatus.SNAPSHOT:
            applied_offset = read_record(verdict.record.body).applied_offset
            self._base_offset = max(self._base_offset, applied_offset)

    def _record_fault(self, reading):
        if self._view.condition is not reading.condition:
            _logger.error("The claims can't be followed: %s.", reading.detail)
        self._view.condition = reading.condition
        self._counts.labels(event=str(reading.condition)).inc()

    async def _write_snapshot_if_due(self):
        """Append a snapshot of the owners before the records of their claims expire."""
        if not self._snapshot_schedule.due() or not self._owns_any():
            return
        body = encode_snapshot(self._reader.fold.snapshot())
        self._snapshot_schedule.postpone()
        await self._client.append(self._stream, body)
        self._counts.labels(event="copied").inc()

    def _reset_due(self):
        return self._reset_deadline is not None and self._reset_deadline.passed()

    async def _reset_if_due(self):
        """Append a reset if claims in force expired unread.

        Without a reset no process could claim a group again.
        """
        if self._reset_deadline is None:
            wait_s = self._random.random() * self._settings.reset_wait_s
            self._reset_deadline = Deadline.after(self._clock, wait_s)
        if self._reset_deadline.passed():
            self._reset_deadline = None
            self._counts.labels(event="gave_up_expired").inc()
            await self._client.append(self._stream, encode_reset())
            await self._read()

    def _owns_any(self):
        return any(self._own_fencing(group) is not None for group in self._groups())

    def _schedule_read(self):
        settings = self._settings
        interval_s = settings.read_interval_s
        if self._owns_any():
            interval_s = settings.owner_read_interval_s
        wait_s = interval_s * (1.0 + self._random.random()) / 2
        self._next_read = Deadline.after(self._clock, wait_s)

    def _min_pause_s(self):
        return self._settings.claim_step_s * self._random.random() / 2
