"""Readers on which the hosts of a failure domain rely for suspected requests."""

import curio

from siskinthread.gateway._reader_lease import ReaderLease, ReadingOutcome
from siskinthread.peer_news import SuspectsReading

# Longest duration of a read beyond its long-poll time-out, seconds.
READ_MARGIN_S = 1.5


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
    )

    def __init__(self, settings, eras, peers, companion, clock):
        self._companion = companion
        self._settings = settings
        self._eras = eras
        self._peers = peers
        self._clock = clock
        self._lease = ReaderLease(
            settings, settings.poison.store_wait_s + READ_MARGIN_S, clock, eras
        )
        # Position up to which this host knows the contents of the store, and time of
        # the store's last answer, monotonic seconds; the time is None if there was none
        # since this host last skipped a read.
        self._position = None
        self._answered_at_s = None
        self._announced = curio.Event()
        eras.listen(self._announced.set)

    def note_read(self, position):
        """Note that the store was read up to a position."""
        self._position = position
        self._answered_at_s = self._clock.monotonic_s()

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
        if self._lease.hear(reading, sender, self._position) is ReadingOutcome.AHEAD:
            await self._announced.set()

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
