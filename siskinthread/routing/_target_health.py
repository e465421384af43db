"""Speed and failures of one target, from its answers."""

import collections

from siskinthread.timing import Deadline

SAMPLE_WINDOW_COUNT = 4
FIRST_BYTE_RANK = 1
CALM_SAMPLE_COUNT = 2


class TargetHealth:
    """First-byte times and failures of one target for one service.

    Attributes
    ----------
    first_byte_s : float or None
        The second smallest of the last few times.  Waiting in a queue only ever adds
        to a time, so this value shows the target's speed even while the target is busy;
        a mean would make a busy target look slow and eject it when it is needed most.
    failure_count : int
        Failures since the last first byte.
    probe : Deadline or None
        Set while the target is ejected: when the next probe may be sent.
    """

    __slots__ = (
        "_last_first_byte_at_s",
        "_pending",
        "_probe_wait_s",
        "_recent_s",
        "failure_count",
        "first_byte_s",
        "probe",
        "sample_count",
    )

    def __init__(self):
        self._recent_s = collections.deque(maxlen=SAMPLE_WINDOW_COUNT)
        self._pending = {}
        self._last_first_byte_at_s = 0.0
        self.first_byte_s = None
        self.failure_count = 0
        self.sample_count = 0
        self.probe = None
        self._probe_wait_s = 0.0

    @property
    def ejected(self):
        """Whether the target is ejected."""
        return self.probe is not None

    def note_start(self, request_id, now_s):
        """Record that an attempt was sent."""
        self._pending[request_id] = now_s

    def note_first_byte(self, request_id, first_byte_s, now_s):
        """Record an attempt's first-byte time, seconds; ignore repeated calls."""
        if self._pending.pop(request_id, None) is None:
            return
        self._last_first_byte_at_s = now_s
        self.failure_count = 0
        self.sample_count += 1
        if self.ejected:
            self._recent_s.clear()
        self._recent_s.append(first_byte_s)
        rank = min(FIRST_BYTE_RANK, len(self._recent_s) - 1)
        self.first_byte_s = sorted(self._recent_s)[rank]

    def note_no_first_byte(self, request_id, failed):
        """Record that an attempt ended before its first byte."""
        if self._pending.pop(request_id, None) is not None and failed:
            self.failure_count += 1

    def silence_s(self, now_s):
        """Return for how long attempts have waited without any first byte, seconds.

        A busy target may let one request wait for long, but meanwhile the first bytes
        of other requests arrive.
        """
        if not self._pending:
            return 0.0
        oldest_s = next(iter(self._pending.values()))
        return now_s - max(oldest_s, self._last_first_byte_at_s)

    def is_slow(self, limit_s, is_calm):
        """Return whether the first-byte times exceed a limit.

        Parameters
        ----------
        limit_s : float
            The limit, seconds.
        is_calm : bool
            Whether the target has free capacity, so that the last times include no
            queueing.
        """
        if is_calm and min(list(self._recent_s)[-CALM_SAMPLE_COUNT:]) > limit_s:
            return True
        return self.first_byte_s > limit_s

    def has_enough_samples(self, settings):
        """Return whether there are enough first-byte times to compare the target."""
        enough = self.sample_count >= settings.slow_sample_count
        return enough and self.first_byte_s is not None

    def eject(self, wait_s, clock):
        """Eject the target and forget its first-byte times.

        With the times from before, a stalled target would be readmitted as soon as the
        requests stuck in it were given up.
        """
        self._recent_s.clear()
        self.first_byte_s = None
        self._probe_wait_s = wait_s
        self.probe = Deadline.after(clock, wait_s)

    def postpone_probe(self, limit_s, clock):
        """Double the time to the next probe, up to `limit_s` seconds."""
        self._probe_wait_s = min(limit_s, 2.0 * self._probe_wait_s)
        self.probe = Deadline.after(clock, self._probe_wait_s)

    def readmit(self):
        """End the ejection."""
        self.probe = None

    def has_pending_attempt(self):
        """Return whether an attempt has not received its first byte yet."""
        return bool(self._pending)
