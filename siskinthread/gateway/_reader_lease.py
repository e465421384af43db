"""Lease by which a host relies on the readers of its failure domain.

Each read of the configuration is a billed call; a host that polls for itself makes one
every 8 s and one for each change.  So only the first hosts of a failure domain read,
and announce their position to the others several times a second.  A host that receives
no announcement for a fraction of a second reads for itself.
"""

import enum

from siskinthread.timing import Deadline


def check_age_limit_s(peers, reader_count, interval_s, age_limit_s):
    """Return the age at which a host checks whether it has read everything, seconds.

    Parameters
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Determines the role of this host; None without other hosts.
    reader_count : int
        Number of readers of each failure domain.
    interval_s : float
        Interval of the checks by the first reader of all failure domains, seconds.
    age_limit_s : float
        Age at which hosts check that are not readers, seconds.

    Notes
    -----
    The other readers check at the mean of both, so that they replace the first reader
    before all hosts do.
    """
    if peers is None:
        return interval_s
    if not peers.is_table_reader(reader_count):
        return age_limit_s
    if peers.is_reader() and peers.is_first_reader():
        return interval_s
    return (interval_s + age_limit_s) / 2


class ReadingOutcome(enum.Enum):
    """What a reading of a peer implies for this host."""

    # The reading is not valid for this host.
    IGNORED = "ignored"
    # This host's position is up to date.
    CONFIRMED = "confirmed"
    # The peer is ahead of this host's position.
    AHEAD = "moved"


class ReaderLease:
    """Positions that readers have announced, and the lease that they grant.

    Parameters
    ----------
    settings : GatewaySettings
        Duration of the lease.
    age_limit_s : float
        Longest time since the position of a reader was confirmed at which its
        announcement is valid, seconds.
    clock : siskinthread.timing.Clock
        Clock for the lease.
    eras : siskinthread.source_eras.EraWatch
        Eras of the source that were reported to this host.

    Notes
    -----
    A host may skip its own reads while two conditions hold: a reader was heard within
    the duration of the lease, and the lease has not expired since the last own read.
    Datagrams in the socket of a process that was stopped look recent, but can't renew
    an expired lease.
    """

    __slots__ = (
        "_age_limit_s",
        "_clock",
        "_eras",
        "_heard_expiry",
        "_settings",
        "_readings_ahead",
        "_trust_expiry",
    )

    def __init__(self, settings, age_limit_s, clock, eras):
        self._settings = settings
        self._eras = eras
        self._age_limit_s = age_limit_s
        self._clock = clock
        self._trust_expiry = Deadline.after(clock, 0.0)
        self._heard_expiry = Deadline.after(clock, 0.0)
        # Readings that are ahead of the own position, by the address of the reader.
        self._readings_ahead = {}

    def note_own_read(self):
        """Renew the lease after an answer of the source itself."""
        self._trust_expiry = Deadline.after(self._clock, self._settings.table_word_s)

    def hear(self, reading, sender, position):
        """Process the announcement of a reader.

        Parameters
        ----------
        reading : object
            Reader's ``position``, and time ``age_s`` since the source confirmed it.
        sender : siskinthread.settings.Address
            Address of the reader.
        position : siskinthread.source_eras.Position or None
            Position that this host has read, or fetched from peers.

        Returns
        -------
        ReadingOutcome
        """
        outcome = self.compare(reading, position)
        if outcome is ReadingOutcome.IGNORED:
            return outcome
        until = Deadline.after(self._clock, self._settings.table_word_s)
        self._heard_expiry = until
        if not self._trust_expiry.passed():
            self._trust_expiry = until
        if outcome is ReadingOutcome.AHEAD:
            self._readings_ahead[sender] = reading
        return outcome

    def compare(self, reading, position):
        """Return what a reading of any peer implies for a position.

        Returns
        -------
        ReadingOutcome
        """
        if position is None or not self._is_valid_reading(reading, position):
            return ReadingOutcome.IGNORED
        if reading.position.offset == position.offset:
            return ReadingOutcome.CONFIRMED
        return ReadingOutcome.AHEAD

    def left_s(self):
        """Return the time until the lease expires, seconds; 0 if it has expired."""
        return min(self._trust_expiry.left_s(), self._heard_expiry.left_s())

    def ahead(self, position):
        """Return the readers that are ahead of a position, the furthest first.

        Returns
        -------
        list of tuple of siskinthread.settings.Address, object
            Addresses of readers, and their readings.
        """
        self._readings_ahead = {
            sender: reading
            for sender, reading in self._readings_ahead.items()
            if position.is_behind(reading.position)
        }
        return sorted(
            self._readings_ahead.items(), key=lambda one: -one[1].position.offset
        )

    def forget_ahead(self):
        """Forget which readers were ahead."""
        self._readings_ahead.clear()

    def _is_valid_reading(self, reading, position):
        """Return whether a reading is of the same era, not behind, and not stale.

        Readings without an era are valid only if no era was ever reported to this
        host; readers make the same check before they announce a position.
        """
        era = reading.position.era
        return (
            era == position.era
            and self._eras.is_comparable(era)
            and reading.position.offset >= position.offset
            and reading.age_s <= self._age_limit_s
        )
