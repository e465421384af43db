"""Following what operators publish.

The first hosts of each failure domain read it, and tell the others up to where; these
take what is new from a reader, or read once if none hands it out.  See `ReaderLease`
for when a host takes the word of readers, and reads for itself.
"""

import curio

from siskinthread.errors import (
    PlatformUnavailableError,
    PositionExpiredError,
    SourceRestoredError,
)
from siskinthread.gateway._dependency import Dependency
from siskinthread.gateway._reader_lease import ReaderLease, ReadingOutcome
from siskinthread.observability import part_logger
from siskinthread.peer_news import EvacuationStatement, TableReading

_logger = part_logger("gateway")


class TableFollower:
    """Keeps the route table in force up to date.

    Parameters
    ----------
    source : object
        ``async read_newest()`` returns a `RouteTable` or None, and a position;
        ``async read_changes(position, wait_s)`` the tables behind it, oldest first,
        and the next position.  Both raise `PlatformUnavailableError`, the latter also
        `PositionExpiredError`.  Its ``evacuations`` has the evacuated failure domains
        up to the last position, ``domains``, and those that were taken back in the last
        read, ``taken_back``.  ``take_told(told)`` takes a `ToldTable`, as if it had
        been read.
    view : TableView
        Where tables come into force.
    settings : GatewaySettings
        Times.
    clock : siskinthread.timing.Clock
        Clock of the ages.
    random : random.Random
        Spreads what all hosts would do at one moment.

    Attributes
    ----------
    dependency : Dependency
        Whether the source answers.
    evacuations : Evacuations or None
        Told which failure domains are evacuated.
    peers : siskinthread.peer_news.PeerNews or None
        Tells whether this host is the first of its failure domain to ask again, and
        whether it reads for others.
    companion : Dependency or None
        Another use of the same source, whose next answer ends the wait after a call
        that failed.
    fetch_told : callable or None
        ``async fetch_told(address)`` returns the `ToldTable` of a reader; raises
        `PlatformUnavailableError`.  None if this host reads what readers tell of.
    """

    __slots__ = (
        "_clock",
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
        "fetch_told",
        "peers",
    )

    def __init__(self, source, view, settings, clock, random):
        self._source = source
        self._reading = None
        self._view = view
        self._settings = settings
        self._position = None
        self._random = random
        # Whether the next read must be answered at once.
        self._is_asked_again = False
        self._woken = curio.Event()
        # Whether the source has answered this host since readers spared it a read.
        self._has_answer = False
        # Set whenever readers or an era may end the rest of a host that is spared.
        self._announced = curio.Event()
        self._lease = None
        self._clock = clock
        self._eras = None
        self.evacuations = None
        self.companion = None
        self.peers = None
        self.fetch_told = None
        self.dependency = Dependency("published configuration", clock)

    async def run(self):
        """Follow for ever."""
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
            self._is_asked_again = False
            for table in outcome:
                self._put_in_force(table)
            await self._note_own_read()
            if outcome:
                # Changes come in series, and only the newest of them counts.
                await curio.sleep(self._settings.table_pause_s)

    async def read_again(self):
        """Give up a read that may wait in vain, and read at once.

        Symptom without this: a change came into force 8 s late.  A read that waits for
        changes reached the source while it answered nothing; the source came back and
        never answered that read.
        """
        self._is_asked_again = True
        await self._woken.set()
        await self._announced.set()
        if self._reading is not None:
            await self._reading.cancel(blocking=False)

    def watch_eras(self, eras):
        """Take the word of readers, and read anew when the source comes back older.

        Parameters
        ----------
        eras : siskinthread.source_eras.EraWatch
            Tells of it.
        """
        self._eras = eras
        settings = self._settings
        if settings.table_readers_per_domain > 0:
            age_limit_s = settings.table_wait_s + settings.table_fresh_s
            self._lease = ReaderLease(settings, age_limit_s, self._clock, eras)
        eras.listen(self._announced.set)

    def position(self):
        """Return up to where this host may tell that it has read, or None."""
        is_told = not self.dependency.is_lost and not self._is_era_over()
        return self._position if is_told else None

    def statement(self):
        """Return what this host tells others as a reader, a `TableReading`, or None."""
        is_reading = self._has_answer and self.position() is not None
        if self._lease is None or not is_reading or not self._reads_for_others():
            return None
        table = self._view.table
        version = 0 if table is None else table.version
        return TableReading(self._position, version, self.dependency.age_s())

    async def hear(self, reading, sender):
        """Take what a reader of the own failure domain has read.

        Parameters
        ----------
        reading : siskinthread.peer_news.TableReading
            Up to where, and the age of its last answer.
        sender : siskinthread.settings.Address
            The reader.
        """
        if self._lease is None:
            return
        await self._eras.note(reading.position.era, told_by="peer")
        heard = self._lease.hear(reading, sender, self._position)
        if heard is ReadingOutcome.CONFIRMED:
            self.dependency.confirmed(reading.age_s)
        elif heard is ReadingOutcome.AHEAD:
            self._apply_evacuations(sender)
            await self._announced.set()

    def _apply_evacuations(self, sender):
        """Take the evacuations of a reader's datagram before the configuration.

        Taking the configuration may have to wait for two pauses, 0.8 s in all.
        """
        state = None if self.peers is None else self.peers.state_of(sender)
        if state is not None and self.evacuations is not None:
            self.evacuations.hear(state.evacuations, str(sender), is_reader=True)

    def is_spared(self):
        """Return whether readers spare this host its own reads at present."""
        return (
            self._lease is not None
            and self._position is not None
            and self._lease.left_s() > 0
            and not self._is_asked_again
            and not self.dependency.is_lost
            and not self._is_era_over()
            and not self._is_reader()
        )

    def _awaits_companion(self):
        """Return whether this host was spared, and its other use shows an outage.

        In an outage readers fall silent.  Without this, each host that they spared
        began to ask as well: 210 calls of 38 hosts in 5 s, where reads that wait make
        114.
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
        """Return whether this host reads, and there are hosts that need not."""
        if self.peers is None or not self._is_reader():
            return False
        return self.peers.near_count() >= self._settings.table_readers_per_domain

    def _is_era_over(self):
        """Return whether the own position says nothing beside one of a peer."""
        if self._eras is None or self._position is None:
            return False
        return not self._eras.is_comparable(self._position.era)

    async def _note_own_read(self):
        self._has_answer = True
        if self._lease is None:
            return
        self._lease.note_own_read()
        if self.statement() is not None:
            await self.peers.tell_domain()

    async def _follow_readers(self):
        """Rest, or take what is new from a reader; return whether no read is due."""
        if self._awaits_companion():
            # Its next answer has this host read again.
            self._announced.clear()
            wait_s = self._settings.source_retry_limit_s
            await curio.ignore_after(wait_s, self._announced.wait)
            return True
        if not self.is_spared():
            return False
        # What this host tells, should it be a reader next, must be of its own reading.
        self._has_answer = False
        if self._lease.ahead(self._position):
            return await self._fetch_from_reader()
        self._announced.clear()
        await curio.ignore_after(self._lease.left_s(), self._announced.wait)
        return True

    async def _fetch_from_reader(self):
        """Return whether what readers are ahead with could be taken from one."""
        # Else all hosts of the failure domain would ask the reader that tells first.
        await curio.sleep(self._settings.table_take_spread_s * self._random.random())
        ahead = self._lease.ahead(self._position)
        if not ahead:
            return True
        furthest = ahead[0][1].position.offset
        sender, reading = self._random.choice(
            [one for one in ahead if one[1].position.offset == furthest]
        )
        self._lease.forget_ahead()
        if self.fetch_told is None:
            return False
        try:
            told = await self.fetch_told(sender)
        except PlatformUnavailableError as error:
            _logger.event(
                "configuration is read as no reader hands it out",
                reader=str(sender),
                reason=str(error),
            )
            return False
        is_same_era = told.position.era == self._position.era
        if not is_same_era or self._is_era_over() or not told.is_as_new_as(reading):
            _logger.event("reader hands out older configuration", reader=str(sender))
            return False
        self._apply_served(told, reading, sender)
        # Changes come in series.
        await curio.sleep(self._settings.table_take_pause_s)
        return True

    def _apply_served(self, told, reading, sender):
        self._position = told.position
        self._source.take_told(told)
        self.dependency.confirmed(reading.age_s)
        if self.evacuations is not None:
            # Before the table, as with own reads.
            statement = EvacuationStatement(told.position, told.evacuated)
            self.evacuations.hear(statement, str(sender), is_reader=True)
        if told.table is not None:
            self._put_in_force(told.table, str(sender))

    async def _note_failure(self, error):
        if isinstance(error, PlatformUnavailableError):
            self.dependency.failed(error)
            # One call in each interval is enough to notice that the source is back.
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

        99 hosts that read 4 MB each at one moment would take the source 5 s
        (reckoned, at 80 MB a second).
        """
        if self.peers is not None and not self.peers.is_first_of_domain():
            await curio.sleep(self._settings.reread_spread_s * self._random.random())

    async def _read_to_outcome(self):
        """Return the tables, or the error of the source as a value."""
        try:
            return await self._read()
        except (PlatformUnavailableError, PositionExpiredError) as error:
            return error

    async def _read(self):
        if self._position is None:
            table, self._position = await self._source.read_newest()
            self._note_evacuations()
            return [] if table is None else [table]
        # A source that has just failed is asked for an answer at once.
        is_urgent = self.dependency.is_lost or self._is_asked_again
        if self._lease is not None and not self._has_answer and self._is_reader():
            # It tells others nothing until the source has answered it.
            is_urgent = True
        wait_s = 0.0 if is_urgent else self._settings.table_wait_s
        tables, self._position = await self._source.read_changes(self._position, wait_s)
        self._note_evacuations()
        return tables

    def _note_evacuations(self):
        """Pass on the evacuated failure domains before a table comes into force."""
        if self.evacuations is None:
            return
        told = self._source.evacuations
        self.evacuations.advance(
            self._position, told.domains, "its source", told.taken_back
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
            _logger.event(
                "configuration in force",
                version=table.version,
                before=None if before is None else before.version,
                told_by=told_by,
            )
