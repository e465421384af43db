"""Following the configuration that operators publish.

The first hosts of each failure domain, its readers, read the source and announce the
position up to which they have read.  The other hosts fetch changes from a reader, or
read the source themselves if no reader serves them.  `ReaderLease` determines when a
host may rely on readers.

A read that waits for changes may be lost without a sign.  So the first reader of all
failure domains checks regularly whether the source has anything after its position, and
tells the readers of the other domains.  A host whose position was not confirmed for
``table_age_limit_s``, by its own checks or by a peer's, asks the source itself.
"""

import curio

from siskinthread.errors import (
    PlatformUnavailableError,
    PositionExpiredError,
    SourceRestoredError,
)
from siskinthread.gateway._dependency import Dependency
from siskinthread.gateway._reader_lease import (
    check_age_limit_s,
    ReaderLease,
    ReadingOutcome,
)
from siskinthread.observability import part_logger
from siskinthread.peer_news import EvacuationStatement, TableReading
from siskinthread.source_eras import PositionConfirmation

_logger = part_logger("gateway")


class TableFollower:
    """Keeps the route table in force up to date.

    Parameters
    ----------
    source : object
        ``async read_newest()`` returns a `RouteTable` or None, and a position;
        ``async read_changes(position, wait_s)`` the tables after that position, oldest
        first, and the next position.  Both raise `PlatformUnavailableError`, the latter
        also `PositionExpiredError`.  The attribute ``evacuations`` has the failure
        domains evacuated at the last position, ``domains``, and those whose evacuation
        was taken back in the last read, ``taken_back``.  ``take_told(told)`` applies a
        `ServedTable` as if it had been read.  The follower sets ``confirmation``, a
        `PositionConfirmation`; while a read waits, the source is checked whenever it is
        due.
    view : TableView
        Where tables come into force.
    settings : GatewaySettings
        Intervals and time-outs.
    clock : siskinthread.timing.Clock
        Clock for ages.
    random : random.Random
        Source of the jitter that spreads simultaneous actions of all hosts.

    Attributes
    ----------
    dependency : Dependency
        Whether the source answers.
    evacuations : Evacuations or None
        Receives the evacuated failure domains.
    peers : siskinthread.peer_news.PeerGossip or None
        Determines whether this host is the first of its failure domain, which retries
        soonest, and whether it is a reader.
    companion : Dependency or None
        Another use of the same source; its next answer ends the wait after a failed
        call.
    fetch_served : callable or None
        ``async fetch_served(address)`` returns the `ServedTable` of a reader; raises
        `PlatformUnavailableError`.  If None, this host reads announced changes from
        the source.
    tell_far : callable or None
        Coroutine function that is called after each answer of the source, to tell the
        readers of other failure domains.
    """

    __slots__ = (
        "_clock",
        "_confirmation",
        "_eras",
        "_has_answer",
        "_is_asked_again",
        "_position",
        "_random",
        "_reading",
        "_settings",
        "_source",
        "_announced",
        "_view",
        "_woken",
        "_lease",
        "companion",
        "dependency",
        "evacuations",
        "fetch_served",
        "peers",
        "tell_far",
    )

    def __init__(self, source, view, settings, clock, random):
        self._source = source
        self._reading = None
        self._view = view
        self._settings = settings
        self._position = None
        self._random = random
        # Whether the next read must be answered without waiting for a change.
        self._is_asked_again = False
        self._woken = curio.Event()
        # Whether the source has answered this host since it last skipped a read.
        self._has_answer = False
        # Set when an announcement of a reader or a new era may require an action of a
        # host that skips its own reads.
        self._announced = curio.Event()
        self._lease = None
        self._clock = clock
        self._eras = None
        self.evacuations = None
        self.companion = None
        self.peers = None
        self.fetch_served = None
        self.tell_far = None
        self.dependency = Dependency("published configuration", clock)
        self._confirmation = PositionConfirmation(
            clock, self._check_age_limit_s, settings.table_age_limit_s
        )
        self._confirmation.on_check = self._note_check
        source.confirmation = self._confirmation

    async def run(self):
        """Follow the source until cancelled."""
        while True:
            if await self._follow_readers():
                continue
            self._reading = await curio.spawn(self._read_to_outcome, daemon=True)
            try:
                outcome = await self._reading.join()
            except curio.TaskError as error:
                if not isinstance(error.__cause__, curio.TaskCancelled):
                    raise
                continue
            if isinstance(outcome, Exception):
                await self._note_failure(outcome)
                continue
            self.dependency.answered()
            self._confirmation.note_own()
            self._is_asked_again = False
            for table in outcome:
                self._put_in_force(table)
            await self._note_own_read()
            if outcome:
                # Changes come in series, and only the newest one matters.
                await curio.sleep(self._settings.table_pause_s)

    async def read_again(self):
        """Cancel a pending long poll and read at once.

        A long poll that reaches the source in an outage may never be answered, also
        after the source is back.  Without the cancellation a change came into force
        8 s late.
        """
        self._is_asked_again = True
        await self._woken.set()
        await self._announced.set()
        if self._reading is not None:
            await self._reading.cancel(blocking=False)

    def watch_eras(self, eras):
        """Rely on readers, and act when the source was restored to an older state.

        Parameters
        ----------
        eras : siskinthread.source_eras.EraWatch
            Detects such a restore.
        """
        self._eras = eras
        settings = self._settings
        if settings.table_readers_per_domain > 0:
            age_limit_s = settings.table_age_limit_s
            self._lease = ReaderLease(settings, age_limit_s, self._clock, eras)
        eras.listen(self._announced.set)

    def position(self):
        """Return the position that this host may announce as read, or None."""
        is_told = not self.dependency.is_lost and not self._is_era_over()
        return self._position if is_told else None

    def statement(self):
        """Return the `TableReading` that this host announces as a reader, or None."""
        if self._lease is None or not self._reads_for_others():
            return None
        return self.own_reading()

    def own_reading(self):
        """Return the `TableReading` of this host's own reads, or None."""
        if not self._has_answer or self.position() is None:
            return None
        table = self._view.table
        version = 0 if table is None else table.version
        return TableReading(self._position, version, self._confirmation.age_s())

    async def hear(self, reading, sender):
        """Process the announcement of a reader of the same failure domain.

        Parameters
        ----------
        reading : siskinthread.peer_news.TableReading
            Position that the reader has read up to, and time since it was confirmed.
        sender : siskinthread.settings.Address
            Address of the reader.
        """
        if self._lease is None:
            return
        await self._eras.note(reading.position.era, told_by="peer")
        outcome = self._lease.hear(reading, sender, self._position)
        if outcome is ReadingOutcome.AHEAD:
            self._apply_evacuations(sender)
            await self._announced.set()
        await self._apply_outcome(outcome, reading)

    async def hear_far(self, reading):
        """Process the `TableReading` of the first reader of all failure domains."""
        if self._lease is None:
            return
        await self._eras.note(reading.position.era, told_by="peer")
        outcome = self._lease.compare(reading, self._position)
        await self._apply_outcome(outcome, reading)
        if outcome is ReadingOutcome.CONFIRMED and self.statement() is not None:
            await self.peers.send_to_domain()

    async def _apply_outcome(self, outcome, reading):
        if outcome is ReadingOutcome.CONFIRMED:
            self.dependency.confirmed(reading.age_s)
            self._confirmation.note(reading.age_s)
        elif outcome is ReadingOutcome.AHEAD:
            await self._confirmation.hasten()

    def _apply_evacuations(self, sender):
        """Apply the evacuations in a reader's datagram before the configuration.

        Fetching the configuration may be delayed by two pauses, 0.8 s in all.
        """
        state = None if self.peers is None else self.peers.state_of(sender)
        if state is not None and self.evacuations is not None:
            self.evacuations.hear(state.evacuations, str(sender), is_reader=True)

    def may_skip_reads(self):
        """Return whether this host currently relies on readers, without own reads."""
        return (
            self._lease is not None
            and self._position is not None
            and self._lease.left_s() > 0
            and self._confirmed_left_s() > 0
            and not self._is_asked_again
            and not self.dependency.is_lost
            and not self._is_era_over()
            and not self._is_reader()
        )

    def _confirmed_left_s(self):
        """Return how long this host may still rely on its position, seconds."""
        age_s = self._confirmation.age_s()
        return 0.0 if age_s is None else self._settings.table_age_limit_s - age_s

    def _check_age_limit_s(self):
        settings = self._settings
        return check_age_limit_s(
            self.peers,
            settings.table_readers_per_domain,
            settings.table_check_s,
            settings.table_age_limit_s,
        )

    async def _note_check(self):
        """Note that the source holds nothing after the position of this host."""
        self.dependency.answered()
        await self._note_own_read()

    def _awaits_companion(self):
        """Return whether an own read is postponed because the companion is in outage.

        Applies to a host that relied on readers.  Readers fall silent in an outage of
        the source.  Without this, each host that relied on them began to call the
        source: 210 calls of 38 hosts in 5 s, compared with 114 by long polls.
        """
        return (
            self._lease is not None
            and not self._has_answer
            and self._position is not None
            and self.companion is not None
            and self.companion.is_lost
            and not self.dependency.is_lost
            and not self._is_asked_again
            and not self._is_era_over()
        )

    def _is_reader(self):
        count = self._settings.table_readers_per_domain
        return self.peers.is_table_reader(count)

    def _reads_for_others(self):
        """Return whether this host is a reader, and other hosts rely on readers."""
        if self.peers is None or not self._is_reader():
            return False
        return self.peers.near_count() >= self._settings.table_readers_per_domain

    def _is_era_over(self):
        """Return whether the own position can't be compared with those of peers."""
        if self._eras is None or self._position is None:
            return False
        return not self._eras.is_comparable(self._position.era)

    async def _note_own_read(self):
        self._has_answer = True
        if self._lease is None:
            return
        self._lease.note_own_read()
        if self.statement() is not None:
            await self.peers.send_to_domain()
        if self.tell_far is not None:
            await self.tell_far()

    async def _follow_readers(self):
        """Wait for readers or fetch changes from one; return whether no read is due."""
        if self._awaits_companion():
            # The companion's next answer triggers a read.
            self._announced.clear()
            wait_s = self._settings.source_retry_limit_s
            await curio.ignore_after(wait_s, self._announced.wait)
            return True
        if not self.may_skip_reads():
            return False
        # If this host becomes a reader, it must announce only its own reads.
        self._has_answer = False
        if self._lease.ahead(self._position):
            return await self._fetch_from_reader()
        self._announced.clear()
        left_s = min(self._lease.left_s(), max(0.0, self._confirmed_left_s()))
        await curio.ignore_after(left_s, self._announced.wait)
        return True

    async def _fetch_from_reader(self):
        """Fetch newer configuration from a reader; return whether no read is due."""
        # Without the spread, all hosts of the failure domain would ask the reader
        # that announces the change first.
        await curio.sleep(self._settings.table_take_spread_s * self._random.random())
        ahead = self._lease.ahead(self._position)
        if not ahead:
            return True
        furthest = ahead[0][1].position.offset
        sender, reading = self._random.choice(
            [one for one in ahead if one[1].position.offset == furthest]
        )
        self._lease.forget_ahead()
        if self.fetch_served is None:
            return False
        try:
            served = await self.fetch_served(sender)
        except PlatformUnavailableError as error:
            _logger.event(
                "configuration is read from the source, as no reader serves it",
                reader=str(sender),
                reason=str(error),
            )
            return False
        is_same_era = served.position.era == self._position.era
        if not is_same_era or self._is_era_over() or not served.is_as_new_as(reading):
            _logger.event("reader serves an older configuration", reader=str(sender))
            return False
        self._apply_served(served, reading, sender)
        # Changes come in series.
        await curio.sleep(self._settings.table_take_pause_s)
        return True

    def _apply_served(self, served, reading, sender):
        self._position = served.position
        self._source.take_told(served)
        self.dependency.confirmed(reading.age_s)
        self._confirmation.note_own(reading.age_s)
        if self.evacuations is not None:
            # Applied before the table, as in own reads.
            statement = EvacuationStatement(served.position, served.evacuated)
            self.evacuations.hear(statement, str(sender), is_reader=True)
        if served.table is not None:
            self._put_in_force(served.table, str(sender))

    async def _note_failure(self, error):
        if isinstance(error, PlatformUnavailableError):
            self.dependency.failed(error)
            # If the companion polls the source, its calls are enough to notice that
            # the source is back.
            is_awaited = self.companion is not None and self.companion.is_lost
            is_first = self.peers is None or self.peers.is_first_of_domain()
            is_first = is_first and not is_awaited
            wait_s = self.dependency.retry_wait_s(self._settings, is_first)
            self._woken.clear()
            await curio.ignore_after(wait_s, self._woken.wait)
            return
        _logger.event("published configuration is read anew", reason=str(error))
        self._position = None
        if isinstance(error, SourceRestoredError):
            await self._wait_for_turn()

    async def _wait_for_turn(self):
        """Let the first host of the failure domain read before the others.

        Simultaneous reads of 4 MB by 99 hosts would occupy the source for 5 s
        (calculated, at 80 MB/s).
        """
        if self.peers is not None and not self.peers.is_first_of_domain():
            await curio.sleep(self._settings.reread_spread_s * self._random.random())

    async def _read_to_outcome(self):
        """Return the tables that were read, or the error of the source."""
        try:
            return await self._read()
        except (PlatformUnavailableError, PositionExpiredError) as error:
            return error

    async def _read(self):
        if self._position is None:
            table, self._position = await self._source.read_newest()
            self._note_evacuations()
            return [] if table is None else [table]
        # After a failure the source must answer without waiting for a change.
        is_urgent = self.dependency.is_lost or self._is_asked_again
        if self._lease is not None and not self._has_answer and self._is_reader():
            # It announces nothing to other hosts until the source has answered it.
            is_urgent = True
        wait_s = 0.0 if is_urgent else self._settings.table_wait_s
        tables, self._position = await self._source.read_changes(self._position, wait_s)
        self._note_evacuations()
        return tables

    def _note_evacuations(self):
        """Apply the evacuations that were read, before a table comes into force."""
        if self.evacuations is None:
            return
        evacuations = self._source.evacuations
        self.evacuations.advance(
            self._position, evacuations.domains, "its source", evacuations.taken_back
        )

    def _put_in_force(self, table, told_by="its source"):
        before = self._view.table
        if before is not None and table.version < before.version:
            _logger.event(
                "older configuration is not put in force",
                version=table.version,
                in_force=before.version,
            )
        if self._view.advance(table):
            accounts = table.accounts_by_key
            _logger.event(
                "configuration in force",
                version=table.version,
                keys=None if accounts is None else len(accounts),
                before=None if before is None else before.version,
                told_by=told_by,
            )
