"""Whether readers of a failure domain spare a host its reads of suspected requests."""

import curio

from siskinthread.gateway._reader_lease import ReaderLease, ReadingOutcome
from siskinthread.peer_news import SuspectsReading

# How much longer than it may wait a read takes at most, seconds.
READ_MARGIN_S = 1.5


class SuspectReaders:
    """Hosts that read for the others what a store has of suspected requests.

    They are those that read the configuration, and tell of both at once.

    Parameters
    ----------
    settings : GatewaySettings
        How many hosts of a failure domain read.
    eras : siskinthread.source_eras.EraWatch
        Eras of the store.
    peers : siskinthread.peer_news.PeerNews
        Tells whether this host reads for others.
    companion : Dependency
        Another use of the same store, which shows an outage; hosts that are spared
        leave it to that to ask then.
    clock : siskinthread.timing.Clock
        Clock of the times.

    Notes
    -----
    Unlike that of the configuration, the word of readers counts again after a pause
    without an own read: peers tell of suspected requests themselves at once.
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
        # Up to where this host knows the store, and when it was answered last; None if
        # it was not since readers spared it a read.
        self._position = None
        self._answered_at_s = None
        self._announced = curio.Event()
        eras.listen(self._announced.set)

    def note_read(self, position):
        """Note that the store has answered up to a position."""
        self._position = position
        self._answered_at_s = self._clock.monotonic_s()

    def note_lost(self):
        """Note that the store does not answer, or not at the position any more."""
        self._position = None
        self._answered_at_s = None

    def statement(self):
        """Return the `siskinthread.peer_news.SuspectsReading` to tell, or None."""
        if self._answered_at_s is None or self._position is None:
            return None
        if not self._eras.is_comparable(self._position.era):
            return None
        age_s = self._clock.monotonic_s() - self._answered_at_s
        return SuspectsReading(self._position, age_s)

    async def hear(self, reading, sender):
        """Take the `SuspectsReading` of a reader, and its address."""
        self._lease.note_own_read()
        if self._lease.hear(reading, sender, self._position) is ReadingOutcome.AHEAD:
            await self._announced.set()

    async def rest(self):
        """Rest if readers spare this host a read; return whether they did."""
        wait_s = self._lease.left_s()
        if self._awaits_companion():
            wait_s = self._settings.table_word_s
        elif not self._is_spared():
            return False
        self._answered_at_s = None
        self._announced.clear()
        await curio.ignore_after(wait_s, self._announced.wait)
        return True

    def is_to_ask_at_once(self):
        """Return whether others wait for an answer that this host has not had yet."""
        return self._answered_at_s is None and self._is_reader()

    def _awaits_companion(self):
        """Return whether this host was spared, and there is an outage."""
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
