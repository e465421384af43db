"""One suspected request or prompt part, and the targets that crashed during it."""

from siskinthread.poison_requests._statements import (
    CRASHES_LIMIT,
    CrashStatement,
    SuspectStatement,
)


class _Crash:
    """The crash of a target."""

    __slots__ = ("at_s", "is_cleared", "is_trial")

    def __init__(self, at_s, is_cleared, is_trial):
        self.at_s = at_s
        self.is_cleared = is_cleared
        self.is_trial = is_trial


class Suspect:
    """Crashes of targets during one request, or during requests with one prompt part.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request, or name of the part.

    Attributes
    ----------
    changed_at_s : float
        Time of the last change, monotonic seconds.
    is_observer : bool
        Whether this host has itself observed something that the store may lack.
    stored_marks : frozenset of tuple of str, bool
        The crashes that the store is known to have, as in `counting_marks`.
    was_answered : bool
        Whether a request with the part has been answered in full, as far as is
        remembered.
    is_peer_unaware : bool
        Whether another host has reported the part without knowing that it was
        answered.

    Notes
    -----
    Crashes are keyed by the instance of the target and stay cleared once cleared, so
    merging statements is commutative and idempotent.
    """

    __slots__ = (
        "_crashes",
        "changed_at_s",
        "fingerprint",
        "is_observer",
        "is_peer_unaware",
        "stored_marks",
        "was_answered",
    )

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self._crashes = {}
        self.changed_at_s = 0.0
        self.is_observer = False
        self.stored_marks = frozenset()
        self.was_answered = False
        self.is_peer_unaware = False

    def add(self, tag, at_s, is_cleared, is_trial=False):
        """Add a crash; return whether it changes anything."""
        known = self._crashes.get(tag)
        if known is None:
            self._crashes[tag] = _Crash(at_s, is_cleared, is_trial)
            self._drop_oldest()
            return tag in self._crashes
        known.at_s = min(known.at_s, at_s)
        is_new = is_cleared and not known.is_cleared
        is_new |= is_trial and not known.is_trial
        known.is_cleared = known.is_cleared or is_cleared
        known.is_trial = known.is_trial or is_trial
        return is_new

    def merge(self, statement, now_s):
        """Apply a statement; return whether it changes anything."""
        is_new = statement.was_answered and not self.was_answered
        self.was_answered = self.was_answered or statement.was_answered
        for crash in statement.crashes:
            at_s = now_s - crash.age_s
            is_new |= self.add(crash.tag, at_s, crash.is_cleared, crash.is_trial)
        return is_new

    def clear(self):
        """Clear all crashes so far; return whether any of them counted."""
        counting = [crash for crash in self._crashes.values() if not crash.is_cleared]
        for crash in counting:
            crash.is_cleared = True
        return bool(counting)

    def note_stored(self, marks):
        """Record the crashes that the store has; these may be all that are known."""
        self.stored_marks = frozenset(marks)
        if self.stored_marks == self.counting_marks():
            self.is_observer = False

    def counting_tags(self):
        """Return the tags of the crashes that count."""
        return frozenset(
            tag for tag, crash in self._crashes.items() if not crash.is_cleared
        )

    def counting_marks(self):
        """Return the tags of the crashes that count, and whether each is of a trial."""
        return frozenset(
            (tag, crash.is_trial)
            for tag, crash in self._crashes.items()
            if not crash.is_cleared
        )

    def counting_crashes(self):
        """Return the times of the crashes that count, monotonic seconds, by tag."""
        return {
            tag: crash.at_s
            for tag, crash in self._crashes.items()
            if not crash.is_cleared
        }

    def trial_tags(self):
        """Return the tags of the crashes that count and happened in trials."""
        return frozenset(
            tag
            for tag, crash in self._crashes.items()
            if crash.is_trial and not crash.is_cleared
        )

    @property
    def last_at_s(self):
        """When the newest crash happened, monotonic seconds."""
        return max(crash.at_s for crash in self._crashes.values())

    def statement(self, now_s):
        """Return the current `SuspectStatement`."""
        crashes = [
            CrashStatement(
                tag, max(0.0, now_s - crash.at_s), crash.is_cleared, crash.is_trial
            )
            for tag, crash in self._crashes.items()
        ]
        return SuspectStatement(self.fingerprint, crashes, self.was_answered)

    def _drop_oldest(self):
        """Keep the newest crashes only, and those in trials longest.

        The record is bounded, and the result of a trial must not be evicted by crashes
        that it explains.
        """
        while len(self._crashes) > CRASHES_LIMIT:
            oldest = min(
                self._crashes,
                key=lambda tag: (self._crashes[tag].is_trial, self._crashes[tag].at_s),
            )
            del self._crashes[oldest]
