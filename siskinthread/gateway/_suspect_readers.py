"""Readers on which the hosts of a failure domain rely for suspected requests."""

import curio

from siskinthread.gateway._reader_lease import (
    check_age_limit_s,
    ReaderLease,
    ReadingOutcome,
)
from siskinthread.peer_news import SuspectsReading


class SuspectReaders:
    """Hosts that read the stored suspected requests on behalf of others.

    The readers are those of the configuration, and announce both positions together.

    Parameters
    ----------
    settings : GatewaySettings
        Number of readers of a failure domain.
    eras : siskinthread.source_eras.EraWatch
        Eras of the store.
    peers : siskinthread.peer_news.PeerGossip
        Determines whether this host is a reader.
    companion : Dependency
        Another use of the same store, which reveals an outage; hosts that rely on
        readers leave the retries to it.
    clock : siskinthread.timing.Clock
        Clock for ages and deadlines.

    Attributes
    ----------
    confirmation : siskinthread.source_eras.PositionConfirmation or None
        Is told what readers announce; see `PoisonFollower`.
    tell_far : callable or None
        Coroutine function that is called after each check of this host, to tell the
        readers of other failure domains.

    Notes
    -----
    Unlike the lease for the configuration, an expired lease is renewed by announcements
    without an own read: peers also exchange suspected requests directly.
    """

    __slots__ = (
        "_answered_at_s",
        "_clock",
        "_companion",
        "_eras",
        "_peers",
        "_position",
        "_settings",
        "_announced",
        "_lease",
        "confirmation",
        "tell_far",
    )

    def __init__(self, settings, eras, peers, companion, clock):
        self._companion = companion
        self._settings = settings
        self._eras = eras
        self._peers = peers
        self._clock = clock
        self._lease = ReaderLease(
            settings, settings.poison.store_age_limit_s, clock, eras
        )
        self.confirmation = None
        self.tell_far = None
        # Position up to which this host knows the contents of the store, and when the
        # store last held nothing after it, monotonic seconds; the time is None if the
        # store has not answered since this host last skipped a read.
        self._position = None
        self._answered_at_s = None
        self._announced = curio.Event()
        eras.listen(self._announced.set)

    def note_read(self, position):
        """Note that the store was read up to a position."""
        self._position = position
        self._answered_at_s = self._clock.monotonic_s()

    async def note_check(self, position):
        """Note that the store holds nothing after a position."""
        self.note_read(position)
        if self.tell_far is not None:
            await self.tell_far()

    def note_lost(self):
        """Note that the store does not answer, or no longer knows the position."""
        self._position = None
        self._answered_at_s = None

    def statement(self):
        """Return the `siskinthread.peer_news.SuspectsReading` to announce, or None."""
        if self._answered_at_s is None or self._position is None:
            return None
        if not self._eras.is_comparable(self._position.era):
            return None
        age_s = self._clock.monotonic_s() - self._answered_at_s
        return SuspectsReading(self._position, age_s)

    async def hear(self, reading, sender):
        """Process the `SuspectsReading` of a reader at an address."""
        self._lease.note_own_read()
        outcome = self._lease.hear(reading, sender, self._position)
        if outcome is ReadingOutcome.AHEAD:
            await self._announced.set()
        await self._apply_outcome(outcome, reading)

    async def hear_far(self, reading):
        """Process the `SuspectsReading` of the first reader of all failure domains."""
        outcome = self._lease.compare(reading, self._position)
        if outcome is ReadingOutcome.CONFIRMED and self._answered_at_s is not None:
            # The next announcement in the own failure domain passes it on.
            answered_at_s = self._clock.monotonic_s() - reading.age_s
            self._answered_at_s = max(self._answered_at_s, answered_at_s)
        await self._apply_outcome(outcome, reading)

    async def _apply_outcome(self, outcome, reading):
        if self.confirmation is None:
            return
        if outcome is ReadingOutcome.CONFIRMED:
            self.confirmation.note(reading.age_s)
        elif outcome is ReadingOutcome.AHEAD:
            await self.confirmation.hasten()

    def check_age_limit_s(self):
        """Return the age at which this host checks the stored requests, seconds."""
        poison = self._settings.poison
        return check_age_limit_s(
            self._peers,
            self._settings.table_readers_per_domain,
            poison.store_check_s,
            poison.store_age_limit_s,
        )

    async def wait_for_readers(self):
        """Wait if this host may skip a read; return whether it may."""
        wait_s = self._lease.left_s()
        if self._awaits_companion():
            wait_s = self._settings.table_word_s
        elif not self._is_spared():
            return False
        self._answered_at_s = None
        self._announced.clear()
        await curio.ignore_after(wait_s, self._announced.wait)
        return True

    def must_read_at_once(self):
        """Return whether this host has become a reader without an own answer yet."""
        return self._answered_at_s is None and self._is_reader()

    def _awaits_companion(self):
        """Return whether an own read is postponed because the companion is in outage.

        Applies to a host that relied on readers.
        """
        position = self._position
        return (
            position is not None
            and self._answered_at_s is None
            and self._companion.is_lost
            and self._eras.is_comparable(position.era)
        )

    def _is_spared(self):
        position = self._position
        return (
            position is not None
            and self._lease.left_s() > 0
            and not self._lease.ahead(position)
            and self._eras.is_comparable(position.era)
            and not self._is_reader()
        )

    def _is_reader(self):
        return self._peers.is_table_reader(self._settings.table_readers_per_domain)
