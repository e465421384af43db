"""Budget of retries."""

import collections

from siskinthread.timing import Deadline

SLOTS_PER_WINDOW = 10


class RetryBudget:
    """Bounds retries to a share of the recent requests plus a small floor.

    Parameters
    ----------
    settings : Section
        Share, floor and window.
    clock : siskinthread.timing.Clock
        Clock of the window.

    Notes
    -----
    When targets fail under load, each retry adds to that load.  Unbounded retries
    multiply the load by the number of attempts and keep the targets failing after the
    cause has gone; the symptom is more attempts than requests.
    """

    __slots__ = ("_clock", "_retry_expiries", "_settings", "_slots")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._slots = collections.deque()
        # Expiry of each retry. Counted by slots, a whole budget could be spent twice
        # within a window and a slot.
        self._retry_expiries = collections.deque()

    def note_request(self):
        """Count a first attempt."""
        self._newest_slot().request_count += 1

    def try_spend(self):
        """Count a retry if the budget allows it.

        Returns
        -------
        bool
            Whether the retry may be made.
        """
        self._drop_expired()
        request_count = sum(slot.request_count for slot in self._slots)
        settings = self._settings
        limit = settings.retry_floor_count + settings.retry_share * request_count
        if len(self._retry_expiries) + 1 > limit:
            return False
        expiry = Deadline.after(self._clock, settings.retry_window_s)
        self._retry_expiries.append(expiry)
        return True

    def is_idle(self):
        """Return whether there was neither a request nor a retry in the window."""
        self._drop_expired()
        return not self._slots and not self._retry_expiries

    def _drop_expired(self):
        while self._slots and self._slots[0].expiry.passed():
            self._slots.popleft()
        while self._retry_expiries and self._retry_expiries[0].passed():
            self._retry_expiries.popleft()

    def _newest_slot(self):
        self._drop_expired()
        if not self._slots or self._slots[-1].closing.passed():
            self._slots.append(_Slot(self._clock, self._settings.retry_window_s))
        return self._slots[-1]


class _Slot:
    """Requests in a tenth of the window."""

    __slots__ = ("closing", "expiry", "request_count")

    def __init__(self, clock, window_s):
        self.closing = Deadline.after(clock, window_s / SLOTS_PER_WINDOW)
        self.expiry = Deadline.after(clock, window_s)
        self.request_count = 0
