"""Schedule of snapshots."""

from siskinthread.timing import Deadline

MILLISECONDS_PER_SECOND = 1000


class SnapshotSchedule:
    """The jittered deadline of a node's next snapshot.

    Parameters
    ----------
    settings : ConfigurationSettings
        Retention of the log and shares of it.
    clock : Clock
        Clock of the node.
    random : random.Random
        Source of the jitter.

    Notes
    -----
    The oldest needed record is the first one after the offset of the newest complete
    snapshot.  It may be the first part of that snapshot itself, so snapshots are also
    repeated in a log without new changes.  Each node draws a random deadline well
    before this record expires.  The node with the earliest deadline writes the
    snapshot; the others see it and draw new deadlines.
    """

    __slots__ = (
        "_base_offset",
        "_clock",
        "_record_limit_reached",
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
        self._record_limit_reached = False
        self._not_before = None
        self.deadline = None

    def observe(self, records, base_offset):
        """Update the deadline after records were folded.

        Parameters
        ----------
        records : iterable of LogRecord
            Folded records.
        base_offset : int
            Applied offset of the newest complete snapshot; -1 if there is none.
        """
        for record in records:
            self._times[record.offset] = record.at_ms
        if base_offset > self._base_offset:
            self._base_offset = base_offset
            self._record_limit_reached = False
            self.deadline = None
        needed = {
            offset: at_ms
            for offset, at_ms in self._times.items()
            if offset > self._base_offset
        }
        self._times = needed
        if needed and self.deadline is None:
            self.deadline = self._before_expiry(needed[min(needed)])
        if (
            len(needed) >= self._settings.snapshot_after_records
            and not self._record_limit_reached
        ):
            self._record_limit_reached = True
            self._bring_forward()

    def observe_unknown_base(self):
        """Bring the deadline forward after the state came from a peer.

        The age of the newest snapshot in the log is then unknown, and the needed
        records may be about to expire, so a snapshot is written soon unless one is
        seen.
        """
        self._bring_forward()

    def postpone(self):
        """Postpone the next snapshot after this node wrote one.

        Applies whether or not the node reads its own snapshot from the log.  Without
        this pause, a node whose clock is far ahead of the log's clock would consider
        its own snapshot too old immediately and write snapshots continuously.
        """
        settings = self._settings
        pause_s = settings.snapshot_earliest_share * settings.retention_s / 2
        self._not_before = Deadline.after(self._clock, pause_s)
        self.deadline = self._not_before

    def due(self):
        """Return whether it is time to write a snapshot."""
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
        earlier_deadline = Deadline.after(self._clock, spread_s)
        if self.deadline is None or earlier_deadline.at_s < self.deadline.at_s:
            self.deadline = earlier_deadline
