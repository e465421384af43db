"""The task that claims groups whose owner is suspected, and keeps the claims."""

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
from siskinthread.ownership._turns import Turns
from siskinthread.timing import Deadline

_LOG = part_logger("ownership")


class Claimer:
    """Claims groups for one process.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    view : OwnershipView
        Kept up to date.
    platform : siskinthread.shared_services.PlatformSettings
        Name of the ownership stream.
    configuration : siskinthread.configuration.ConfigurationSettings
        Retention of the log and the shares of it at which claims are copied.
    settings : OwnershipSettings
        Waits.
    host, incarnation : str
        This process.
    groups : callable
        Returns a dict of group to the hosts of its agents.
    liveness : object
        ``suspected(host)``, such as `Liveness`.
    clock : Clock
        The process's clock.
    metrics : siskinthread.observability.Metrics
        Where claims and troubles are counted.
    random : random.Random or None
        Source of the jitter.
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
        "_schedule",
        "_settings",
        "_stream",
        "_turns",
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
        self._schedule = SnapshotSchedule(configuration, clock, random)
        self._turns = Turns(settings, host, clock, random)
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
        """Read the claims anew before acting for a group.

        Returns
        -------
        int or None
            The fencing number to act with; None if this process is not the owner or
            the stream holds another history than it did.

        Notes
        -----
        With the log down the owner goes on: nobody can have superseded it meanwhile,
        but for claims just before.  Neither this nor any check that comes before an
        order can be relied on, as the process may pause behind it; the gates refuse
        the order then.
        """
        try:
            async with self._lock:
                await self._read()
        except PlatformUnavailableError:
            self._counts.labels(event="unavailable").inc()
        return self._own_fencing(group) if self._view.followed() else None

    async def step(self):
        """Read and claim what is due; return the pause, seconds."""
        try:
            async with self._lock:
                await self._step()
        except PlatformUnavailableError as error:
            # Nobody can claim now, and the owner goes on.
            self._counts.labels(event="unavailable").inc()
            _LOG.warning("The claims can't be read or written: %s.", error)
            self._plan_read()
        return self._turns.left_s(self._next_read.left_s()) or self._least_pause_s()

    async def _step(self):
        self._find_turns()
        if not (self._turns.due() or self._next_read.passed() or self._reset_due()):
            return
        await self._read()
        self._plan_read()
        if self._view.condition is Condition.GAP:
            await self._reset_if_due()
        if not self._view.followed():
            return
        self._reset_deadline = None
        # What was read may have ended the need, or begun another one.
        self._find_turns()
        for group in self._turns.due():
            await self._claim(group)
        await self._copy_if_due()

    def _find_turns(self):
        if not self._view.followed():
            return
        groups = self._groups()
        for group, hosts in groups.items():
            if self._host in hosts and self._needs_owner(group):
                fencing = self._reader.fold.fencing(group)
                others = [
                    host
                    for host in hosts
                    if host != self._host and not self._liveness.suspected(host)
                ]
                self._turns.wait_for(group, others, fencing)
            else:
                self._turns.drop(group)
        self._turns.keep(groups)

    def _needs_owner(self, group):
        owner = self._view.owner(group)
        if owner is None:
            return True
        if owner.host == self._host:
            # An earlier incarnation on this host is gone for good.
            return owner.incarnation != self._incarnation
        return self._liveness.suspected(owner.host)

    async def _claim(self, group):
        supersedes = self._reader.fold.fencing(group)
        claim = Claim(group, self._host, self._incarnation, supersedes)
        # The answer may be lost, and the claim may land late.  Each further try comes
        # after reading, and is the same claim: at most one copy is ever granted.
        self._turns.put_off(group)
        self._counts.labels(event="claimed").inc()
        await self._client.append(self._stream, encode_claim(claim))
        await self._read()
        if self._own_fencing(group) is not None:
            self._turns.drop(group)

    def _own_fencing(self, group):
        owner = self._view.owner(group)
        if owner is None:
            return None
        own = (owner.host, owner.incarnation) == (self._host, self._incarnation)
        return owner.fencing if own else None

    async def _read(self):
        reading = await self._reader.catch_up()
        if reading.condition is not Condition.GOOD:
            self._note_trouble(reading)
            return
        self._view.condition = reading.condition
        if reading.diverged:
            self._counts.labels(event="diverged").inc()
            _LOG.error("A copy of the claims differs from what was read here.")
        for verdict in reading.verdicts:
            self._note(verdict)
        records = [verdict.record for verdict in reading.verdicts]
        self._schedule.note(records, self._base_offset)
        self._view.replace(self._reader.fold.owners)

    def _note(self, verdict):
        self._counts.labels(event=str(verdict.status)).inc()
        if verdict.status is ClaimStatus.SNAPSHOT:
            applied_offset = read_record(verdict.record.body).applied_offset
            self._base_offset = max(self._base_offset, applied_offset)

    def _note_trouble(self, reading):
        if self._view.condition is not reading.condition:
            _LOG.error("The claims can't be followed: %s.", reading.detail)
        self._view.condition = reading.condition
        self._counts.labels(event=str(reading.condition)).inc()

    async def _copy_if_due(self):
        """Append all claims in force again before their records expire."""
        if not self._schedule.due() or not self._owns_any():
            return
        body = encode_snapshot(self._reader.fold.snapshot())
        self._schedule.put_off()
        await self._client.append(self._stream, body)
        self._counts.labels(event="copied").inc()

    def _reset_due(self):
        return self._reset_deadline is not None and self._reset_deadline.passed()

    async def _reset_if_due(self):
        """Give up claims that expired unread; without it nobody could claim again."""
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

    def _plan_read(self):
        settings = self._settings
        interval_s = settings.read_interval_s
        if self._owns_any():
            interval_s = settings.owner_read_interval_s
        wait_s = interval_s * (1.0 + self._random.random()) / 2
        self._next_read = Deadline.after(self._clock, wait_s)

    def _least_pause_s(self):
        return self._settings.claim_step_s * self._random.random() / 2
