"""Keeping what is known of suspected requests in a store, and following it there.

News between entries are lost with the processes; what has been learnt at the cost of
three targets must outlast a restart of all entries, and reach one that hears of no
other.
"""

import curio

from siskinthread.errors import (
    PlatformUnavailableError,
    PositionExpiredError,
    SourceRestoredError,
)
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("poison_requests")

TOLD_BY = "store"


class PoisonFollower:
    """Reads what the store has of suspected requests, and writes what it lacks.

    Parameters
    ----------
    source : object
        ``async read_all()`` returns `StoredChange` objects and a position; ``async
        read_changes(position, wait_s)`` those behind it and the next position; ``async
        write(changes)`` writes some.  All raise `PlatformUnavailableError`,
        ``read_changes`` also `PositionExpiredError`.
    register : PoisonRegister
        Where they are noted.
    settings : PoisonSettings
        Times.
    clock : siskinthread.timing.Clock
        Clock of the waits.
    random : random.Random
        Spreads what all entries would write at one moment.
    """

    __slots__ = (
        "_clock",
        "_is_lost",
        "_position",
        "_random",
        "_register",
        "_settings",
        "_source",
        "_write_turn",
    )

    def __init__(self, source, register, settings, clock, random):
        self._source = source
        self._clock = clock
        self._random = random
        # Before which nothing is written.
        self._write_turn = Deadline.after(clock, 0.0)
        self._register = register
        self._settings = settings
        self._position = None
        self._is_lost = False

    async def read(self):
        """Follow the store for ever."""
        while True:
            try:
                changes = await self._read()
            except PlatformUnavailableError as error:
                self._note_lost(error)
                await curio.sleep(self._settings.store_retry_s)
                continue
            except PositionExpiredError as error:
                _logger.event("suspected requests are read anew", reason=str(error))
                self._position = None
                if isinstance(error, SourceRestoredError):
                    await self._note_restored()
                continue
            self._is_lost = False
            for change in changes:
                await self._take(change)
            if changes:
                await curio.sleep(self._settings.store_pause_s)

    async def write(self):
        """Write what is due, for ever."""
        register = self._register
        while True:
            await register.is_write_due.wait()
            # Meanwhile another entry may write the same, and the read tells of it.
            await curio.sleep(self._write_turn.left_s())
            register.is_write_due.clear()
            due = register.due_writes()
            if not due:
                continue
            try:
                changes = [StoredChange(name, one) for name, one in due.items()]
                await self._source.write(changes)
            except PlatformUnavailableError as error:
                self._note_lost(error)
                await register.is_write_due.set()
                await curio.sleep(self._settings.store_retry_s)
                continue
            for fingerprint, statement in due.items():
                register.note_written(fingerprint, statement)
            _logger.event("suspected requests stored", fingerprints=sorted(due))
            await curio.sleep(self._settings.store_pause_s)

    async def _note_restored(self):
        wait_s = self._settings.rewrite_spread_s * self._random.random()
        self._write_turn = Deadline.after(self._clock, wait_s)
        await self._register.note_store_restored()

    async def _read(self):
        if self._position is None:
            changes, self._position = await self._source.read_all()
            return changes
        # A store that has just failed is asked for an answer at once.
        wait_s = 0.0 if self._is_lost else self._settings.store_wait_s
        changes, self._position = await self._source.read_changes(
            self._position, wait_s
        )
        return changes

    async def _take(self, change):
        if change.statement is None:
            await self._register.note_dropped(change.fingerprint, TOLD_BY)
        else:
            await self._register.note_stored(change.statement, TOLD_BY)

    def _note_lost(self, error):
        if not self._is_lost:
            _logger.event("store of suspected requests lost", reason=str(error))
        self._is_lost = True


class StoredChange:
    """What the store has of one request.

    Parameters
    ----------
    fingerprint : str
        The request.
    statement : SuspectStatement or None
        What is known of it; None if it was dropped.
    """

    __slots__ = ("fingerprint", "statement")

    def __init__(self, fingerprint, statement):
        self.fingerprint = fingerprint
        self.statement = statement
