"""Whether readers of the failure domain spare a host its own reads.

Each read of the configuration is a call that is paid for, and each host's own read that
waits costs one every 8 s and one for each change.  So the first hosts of a failure
domain read, and tell the others several times a second up to where.  A host that hears
nothing for a part of a second reads for itself.
"""

import enum

from siskinthread.timing import Deadline


class ReadingOutcome(enum.Enum):
    """What a reading of a peer means to this host."""

    # It says nothing that may be believed.
    IGNORED = "ignored"
    # There is nothing that this host has not read.
    CONFIRMED = "confirmed"
    # There is something behind this host's position.
    AHEAD = "moved"


class ReaderLease:
    """What readers have told, and for how long it counts.

    Parameters
    ----------
    settings : GatewaySettings
        How long the word of a reader counts.
    age_limit_s : float
        Longest time since the source answered a reader that is believed, seconds.
    clock : siskinthread.timing.Clock
        Clock of the times.
    eras : siskinthread.source_eras.EraWatch
        Eras of the source that were reported to this host.

    Notes
    -----
    A host is spared while two conditions hold.  A reader was heard lately.  And since
    the last own read, no pause between two words was longer than they count: news that
    wait in the socket of a process that was stopped look young, but can't extend what
    has run out.
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
        # Readings that are ahead of the own position, by the address of the peer.
        self._readings_ahead = {}

    def note_own_read(self):
        """Note an answer of the source itself."""
        self._trust_expiry = Deadline.after(self._clock, self._settings.table_word_s)

    def hear(self, reading, sender, position):
        """Take what a reader has read.

        Parameters
        ----------
        reading : object
            Its ``position``, and ``age_s`` since the source answered it.
        sender : siskinthread.settings.Address
            The reader.
        position : siskinthread.source_eras.Position or None
            Up to where this host has read, or taken from peers.

        Returns
        -------
        ReadingOutcome
        """
        if position is None or not self._is_valid_reading(reading, position):
            return ReadingOutcome.IGNORED
        until = Deadline.after(self._clock, self._settings.table_word_s)
        self._heard_expiry = until
        if not self._trust_expiry.passed():
            self._trust_expiry = until
        if reading.position.offset == position.offset:
            return ReadingOutcome.CONFIRMED
        self._readings_ahead[sender] = reading
        return ReadingOutcome.AHEAD

    def left_s(self):
        """Return for how long this host is spared, seconds; 0 if it is not."""
        return min(self._trust_expiry.left_s(), self._heard_expiry.left_s())

    def ahead(self, position):
        """Return the readers that are ahead of a position, the furthest first.

        Returns
        -------
        list of tuple of siskinthread.settings.Address, object
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
        """Forget what readers were ahead with; it could not be taken from them."""
        self._readings_ahead.clear()

    def _is_valid_reading(self, reading, position):
        """Return whether a reading is of the own era, not behind, and not too old.

        Readings without an era count only where no era was ever reported to this
        host; readers check the same on their side before they tell.
        """
        era = reading.position.era
        return (
            era == position.era
            and self._eras.is_comparable(era)
            and reading.position.offset >= position.offset
            and reading.age_s <= self._age_limit_s
        )
