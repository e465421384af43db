"""One suspected request or part: the targets that have ended under it."""

from siskinthread.poison_requests._statements import (
    ENDS_LIMIT,
    EndStatement,
    SuspectStatement,
)


class _End:
    """The end of a target."""

    __slots__ = ("at_s", "is_cleared", "is_trial")

    def __init__(self, at_s, is_cleared, is_trial):
        self.at_s = at_s
        self.is_cleared = is_cleared
        self.is_trial = is_trial


class Suspect:
    """What is known of a request, or part of prompts, under which targets have ended.

    Parameters
    ----------
    fingerprint : str
        The request, or the name of the part.

    Attributes
    ----------
    changed_at_s : float
        When something new was learnt, monotonic seconds.
    is_author : bool
        Whether this entry has learnt by itself something that the store may lack.
    stored_marks : frozenset of tuple of str, bool
        The ends that the store is known to have, as in `counting_marks`.
    was_answered : bool
        Whether a request with the part has been answered in full, within memory.
    is_awaited : bool
        Whether another entry has told of it and does not know that it was answered.

    Notes
    -----
    Ends are kept by the start of the target, and once cleared stay so.  So entries may
    tell one another in any order, and more than once, and come to the same.
    """

    __slots__ = (
        "_ends",
        "changed_at_s",
        "fingerprint",
        "is_author",
        "is_awaited",
        "stored_marks",
        "was_answered",
    )

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self._ends = {}
        self.changed_at_s = 0.0
        self.is_author = False
        self.stored_marks = frozenset()
        self.was_answered = False
        self.is_awaited = False

    def add(self, tag, at_s, is_cleared, is_trial=False):
        """Take an end in; return whether that is new."""
        known = self._ends.get(tag)
        if known is None:
            self._ends[tag] = _End(at_s, is_cleared, is_trial)
            self._drop_oldest()
            return tag in self._ends
        known.at_s = min(known.at_s, at_s)
        is_new = is_cleared and not known.is_cleared
        is_new |= is_trial and not known.is_trial
        known.is_cleared = known.is_cleared or is_cleared
        known.is_trial = known.is_trial or is_trial
        return is_new

    def merge(self, statement, now_s):
        """Take what another one states; return whether anything of it is new."""
        is_new = statement.was_answered and not self.was_answered
        self.was_answered = self.was_answered or statement.was_answered
        for end in statement.ends:
            at_s = now_s - end.age_s
            is_new |= self.add(end.tag, at_s, end.is_cleared, end.is_trial)
        return is_new

    def clear(self):
        """Let no end so far count any more; return whether one did."""
        counting = [end for end in self._ends.values() if not end.is_cleared]
        for end in counting:
            end.is_cleared = True
        return bool(counting)

    def note_stored(self, marks):
        """Note which ends the store has; it may have all that this entry has learnt."""
        self.stored_marks = frozenset(marks)
        if self.stored_marks == self.counting_marks():
            self.is_author = False

    def counting_tags(self):
        """Return the names of the ends that count."""
        return frozenset(tag for tag, end in self._ends.items() if not end.is_cleared)

    def counting_marks(self):
        """Return the names of the ends that count, and whether they were of tries."""
        return frozenset(
            (tag, end.is_trial) for tag, end in self._ends.items() if not end.is_cleared
        )

    def counting_ends(self):
        """Return the times of the ends that count, monotonic seconds, by tag."""
        return {tag: end.at_s for tag, end in self._ends.items() if not end.is_cleared}

    def trial_tags(self):
        """Return the names of the ends that count and were those of tries."""
        return frozenset(
            tag
            for tag, end in self._ends.items()
            if end.is_trial and not end.is_cleared
        )

    @property
    def last_at_s(self):
        """When the newest end came, monotonic seconds."""
        return max(end.at_s for end in self._ends.values())

    def statement(self, now_s):
        """Return the `SuspectStatement` of this moment."""
        ends = [
            EndStatement(tag, max(0.0, now_s - end.at_s), end.is_cleared, end.is_trial)
            for tag, end in self._ends.items()
        ]
        return SuspectStatement(self.fingerprint, ends, self.was_answered)

    def _drop_oldest(self):
        """Keep the newest ends only, and those of tries longest.

        A record must not grow, and what a try has shown must not be forgotten for ends
        that it explains.
        """
        while len(self._ends) > ENDS_LIMIT:
            oldest = min(
                self._ends,
                key=lambda tag: (self._ends[tag].is_trial, self._ends[tag].at_s),
            )
            del self._ends[oldest]
