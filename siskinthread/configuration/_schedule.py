"""When to write the next snapshot."""

from siskinthread.timing import Deadline

MILLISECONDS_PER_SECOND = 1000


class SnapshotSchedule:
    """The jittered deadline of the next snapshot of one node.

    Parameters
    ----------
    settings : ConfigurationSettings
        Retention of the log and shares of it.
    clock : Clock
        The node's clock.
    random : random.Random
        Source of the jitter.

    Notes
    -----
    The oldest needed record is the one behind the newest complete snapshot.  It may be
    the first part of that snapshot itself, so a quiet log is written on too.  Each node
    draws a deadline well before that record expires; the first one writes, and the
    others see the snapshot and draw anew.
    """

    __slots__ = (
        "_base_offset",
        "_clock",
        "_crowded",
        "_not_before",
        "_random",
        "_settings",
        "_times",
        "deadline",
    )

    def __init__(self, settings, clock, random):
        self._settings = settings
        self._clock = clock
        self._random = random
        self._base_offset = -1
        self._times = {}
        self._crowded = False
        self._not_before = None
        self.deadline = None

    def note(self, records, base_offset):
        """Take in records that were folded and the offset of the newest snapshot."""
        for record in records:
            self._times[record.offset] = record.at_ms
        if base_offset > self._base_offset:
            self._base_offset = base_offset
            self._crowded = False
            self.deadline = None
        needed = {
            offset: at_ms
            for offset, at_ms in self._times.items()
            if offset > self._base_offset
        }
        self._times = needed
        if needed and self.deadline is None:
            self.deadline = self._before_expiry(needed[min(needed)])
        if len(needed) >= self._settings.snapshot_after_records and not self._crowded:
            self._crowded = True
            self._bring_forward()

    def note_unknown_base(self):
        """Take in that the state came from a peer, not from the log.

        How old the log's newest snapshot is isn't known then.  Unless one is seen, it's
        written soon, as the records that it's needed for may be about to expire.
        """
        self._bring_forward()

    def put_off(self):
        """Wait after this node wrote a snapshot, whether or not it comes back.

        Without a pause, a node whose clock is far ahead of the log's would find its
        own snapshot too old at once and write again and again.
        """
        settings = self._settings
        pause_s = settings.snapshot_earliest_share * settings.retention_s / 2
        self._not_before = Deadline.after(self._clock, pause_s)
        self.deadline = self._not_before

    def due(self):
        """Return whether a snapshot is to be written now."""
        if self.deadline is None or not self.deadline.passed():
            return False
        return self._not_before is None or self._not_before.passed()

    def _before_expiry(self, oldest_needed_at_ms):
        settings = self._settings
        share = self._random.uniform(
            settings.snapshot_earliest_share, settings.snapshot_latest_share
        )
        age_ms = self._clock.unix_ms() - oldest_needed_at_ms
        left_s = share * settings.retention_s - age_ms / MILLISECONDS_PER_SECOND
        return Deadline.after(self._clock, left_s)

    def _bring_forward(self):
        spread_s = self._settings.snapshot_spread_s * self._random.random()
        sooner = Deadline.after(self._clock, spread_s)
        if self.deadline is None or sooner.at_s < self.deadline.at_s:
            self.deadline = sooner
