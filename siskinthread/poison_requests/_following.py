"""Synchronisation of suspected requests with a store.

Statements between hosts are lost with the processes; what was learnt from three crashed
targets must outlast a restart of all hosts, and reach a host that receives from no
other.

The host that has observed something itself writes it at once.  What the store lacks for
longer, because that host is gone or the store has lost it, is written by any host that
knows it: by one of them, in turn, and only if the store holds nothing unread.
"""

import curio

from siskinthread.errors import (
    PlatformUnavailableError,
    PositionExpiredError,
    RecordsUnreadError,
    SourceRestoredError,
)
from siskinthread.observability import part_logger
from siskinthread.source_eras import PositionConfirmation
from siskinthread.timing import Deadline

_logger = part_logger("poison_requests")

STORE_SOURCE = "store"


class PoisonFollower:
    """Reads the suspected requests in the store, and writes those that it lacks.

    Parameters
    ----------
    source : object
        ``async read_all()`` returns `StoredChange` objects and a position; ``async
        read_changes(position, wait_s)`` those behind it and the next position;
        ``write_at(position)`` makes later writes fail if there are changes behind that
        position; ``async write(changes)`` writes changes.  The follower sets
        ``confirmation``; while a read waits, the source is checked when it is due.
        All calls raise `PlatformUnavailableError`, ``read_changes`` also
        `PositionExpiredError`, ``write`` both and `RecordsUnreadError`.
    register : PoisonRegister
        The register to synchronise.
    settings : PoisonSettings
        Times.
    clock : siskinthread.timing.Clock
        Clock of the waits.
    turns : WriteTurns
        Decides when this host may write what others know as well.

    Attributes
    ----------
    readers : object or None
        Other hosts that may read for this one: ``async wait_for_readers()`` waits and
        returns True while they do, ``note_read(position)`` and ``note_lost()`` get the
        result of a read and ``note_check(position)`` that of a check,
        ``must_read_at_once()`` tells whether others wait for that result,
        ``check_age_limit_s()`` after which age the source must be checked.
    confirmation : siskinthread.source_eras.PositionConfirmation
        How long ago the source held nothing after the position of this host.
    """

    __slots__ = (
        "_clock",
        "_is_unavailable",
        "_position",
        "_register",
        "_settings",
        "_source",
        "_turns",
        "_is_loaded",
        "_write_turn",
        "confirmation",
        "readers",
    )

    def __init__(self, source, register, settings, clock, turns):
        self._source = source
        self._clock = clock
        self._turns = turns
        # From when on this host may write what others know as well; None if the
        # store lacked nothing at the last check.
        self._write_turn = None
        self._register = register
        self._settings = settings
        # Position up to which changes were applied; None until all were read.
        self._position = None
        self._is_loaded = curio.Event()
        self._is_unavailable = False
        self.readers = None
        self.confirmation = PositionConfirmation(clock, self._check_age_limit_s)
        self.confirmation.on_check = self._note_check
        source.confirmation = self.confirmation

    async def read(self):
        """Read changes of the store, indefinitely."""
        while True:
            may_rest = self.readers is not None and not self._is_unavailable
            if may_rest and await self.readers.wait_for_readers():
                continue
            try:
                changes, position = await self._read()
            except PlatformUnavailableError as error:
                self._note_unavailable(error)
                await curio.sleep(self._settings.store_retry_s)
                continue
            except PositionExpiredError as error:
                await self._note_expired(error)
                continue
            if self._is_unavailable:
                # The other hosts get an answer again at about the same time.
                self._is_unavailable = False
                self._write_turn = None
            if not self._is_loaded.is_set():
                # Some hosts may have got no answer for seconds.
                self._write_turn = self._next_turn(first_wait_s=0.0)
            await self._apply_all(changes, position)
            if changes:
                await curio.sleep(self._settings.store_pause_s)

    async def write(self):
        """Write what is due, indefinitely."""
        while True:
            await self._is_loaded.wait()
            is_in_turn = await self._wait_for_turn()
            if not self._is_loaded.is_set():
                # What is due may have changed, and also whose turn it is.
                continue
            due = self._register.due_writes(is_in_turn)
            # A store that this host can't read may already have everything.
            if due and not (is_in_turn and self._is_unavailable):
                await self._write(due)
            await curio.sleep(self._settings.store_pause_s)

    async def _wait_for_turn(self):
        """Wait until something may be written.

        Returns
        -------
        bool
            Whether this host may write what others know as well.
        """
        is_write_due = self._register.is_write_due
        while not self._register.due_writes(is_in_turn=False):
            if not self._register.due_writes(is_in_turn=True):
                self._write_turn = None
                await is_write_due.wait()
            elif self._write_turn is None:
                # The host that observed the crash writes first.
                self._write_turn = self._next_turn(self._settings.write_step_s)
            else:
                await curio.ignore_after(self._write_turn.left_s(), is_write_due.wait)
                if not is_write_due.is_set():
                    return True
            is_write_due.clear()
        return False

    async def _write(self, due):
        changes = [StoredChange(name, one) for name, one in due.items()]
        try:
            await self._source.write(changes)
        except RecordsUnreadError as error:
            _logger.event("suspected requests are read first", reason=str(error))
            await self._read_unread()
        except (PlatformUnavailableError, SourceRestoredError) as error:
            _logger.event("suspected requests not stored", reason=str(error))
            self._write_turn = None
            await curio.sleep(self._settings.store_retry_s)
        else:
            for fingerprint, statement in due.items():
                self._register.note_written(fingerprint, statement)
            _logger.event("suspected requests stored", fingerprints=sorted(due))

    async def _read_unread(self):
        """Read what others have written, although another read waits for changes.

        A read that reached the store during an outage may never be answered.
        """
        if self._position is None:
            # The history was dropped during the write; everything is read again, which
            # the next write waits for.
            return
        try:
            changes, position = await self._source.read_changes(self._position, 0.0)
        except (PlatformUnavailableError, PositionExpiredError) as error:
            _logger.event("suspected requests not read", reason=str(error))
            self._write_turn = None
            await curio.sleep(self._settings.store_retry_s)
            return
        await self._apply_all(changes, position)

    async def _note_expired(self, error):
        _logger.event("suspected requests are read anew", reason=str(error))
        self._position = None
        if self.readers is not None:
            self.readers.note_lost()
        self._is_loaded.clear()
        if isinstance(error, SourceRestoredError):
            await self._note_restored()

    async def _note_restored(self):
        self._write_turn = self._next_turn(first_wait_s=0.0)
        await self._register.note_store_restored()

    def _next_turn(self, first_wait_s):
        wait_s = first_wait_s + self._turns.wait_s()
        return Deadline.after(self._clock, wait_s)

    async def _read(self):
        if self._position is None:
            return await self._source.read_all()
        # A store that has just failed must answer without waiting for a change.
        is_urgent = self._is_unavailable
        if self.readers is not None:
            is_urgent |= self.readers.must_read_at_once()
        wait_s = 0.0 if is_urgent else self._settings.store_wait_s
        return await self._source.read_changes(self._position, wait_s)

    async def _apply_all(self, changes, position):
        for change in changes:
            await self._apply(change)
        if self._position is None or self._position.is_behind(position):
            self._position = position
            self._source.write_at(position)
        self.confirmation.note_own()
        if self.readers is not None:
            self.readers.note_read(self._position)
        await self._is_loaded.set()

    async def _note_check(self):
        """Note that the source holds nothing after the position of this host."""
        if self.readers is not None:
            await self.readers.note_check(self._position)

    def _check_age_limit_s(self):
        if self.readers is None:
            return self._settings.store_check_s
        return self.readers.check_age_limit_s()

    async def _apply(self, change):
        if change.statement is None:
            await self._register.note_dropped(change.fingerprint, STORE_SOURCE)
        else:
            await self._register.note_stored(change.statement, STORE_SOURCE)

    def _note_unavailable(self, error):
        if not self._is_unavailable:
            _logger.event("store of suspected requests lost", reason=str(error))
        self._is_unavailable = True
        if self.readers is not None:
            self.readers.note_lost()


class StoredChange:
    """The record of one request in the store.

    Parameters
    ----------
    fingerprint : str
        The request.
    statement : SuspectStatement or None
        The record; None if it was dropped.
    """

    __slots__ = ("fingerprint", "statement")

    def __init__(self, fingerprint, statement):
        self.fingerprint = fingerprint
        self.statement = statement
