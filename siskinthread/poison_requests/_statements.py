"""What entries tell one another, and the store, of a suspected request."""

import hashlib

from siskinthread.errors import ProtocolError

TAG_BYTES = 4
# More than the ends after which a request is kept off, and than tries under way add.
ENDS_LIMIT = 8
TENTHS_PER_SECOND = 10
# Bits of an end's mark.
CLEARED_BIT = 1
TRIAL_BIT = 2
ANSWERED_BIT = 4


def tag_of(instance_id):
    """Return a short name of a start of a target, which others reckon alike."""
    digest = hashlib.blake2b(instance_id.encode(), digest_size=TAG_BYTES)
    return digest.hexdigest()


class EndStatement:
    """That a target has ended under a request.

    Parameters
    ----------
    tag : str
        Names the start of the target.
    age_s : float
        Time since it ended, seconds.
    is_cleared : bool
        Whether it does not count any more, since the request was answered.
    is_trial : bool
        Whether it ended under a try of what was suspected already.
    """

    __slots__ = ("age_s", "is_cleared", "is_trial", "tag")

    def __init__(self, tag, age_s, is_cleared, is_trial=False):
        self.tag = tag
        self.age_s = age_s
        self.is_cleared = is_cleared
        self.is_trial = is_trial


class SuspectStatement:
    """What an entry knows of a suspected request or part of prompts.

    Parameters
    ----------
    fingerprint : str
        The request, or the name of the part.
    ends : list of EndStatement
        Targets that have ended under it.
    was_answered : bool
        Whether a request with the part has ever been answered in full, as far as is
        remembered.
    """

    __slots__ = ("ends", "fingerprint", "was_answered")

    def __init__(self, fingerprint, ends, was_answered=False):
        self.fingerprint = fingerprint
        self.ends = ends
        self.was_answered = was_answered

    def key(self):
        """Return a value that differs if this would tell something new."""
        marks = sorted((end.tag, self._mark(end)) for end in self.ends)
        return self.fingerprint, tuple(marks)

    def tells_all_of(self, other):
        """Return whether another statement holds nothing beyond this one."""
        own = {end.tag: self._mark(end) for end in self.ends}
        return all(
            end.tag in own and not other._mark(end) & ~own[end.tag]
            for end in other.ends
        )

    def as_rows(self):
        """Return the ends as a JSON value."""
        return [
            [end.tag, round(end.age_s * TENTHS_PER_SECOND), self._mark(end)]
            for end in self.ends
        ]

    def _mark(self, end):
        return (
            CLEARED_BIT * end.is_cleared
            + TRIAL_BIT * end.is_trial
            + ANSWERED_BIT * self.was_answered
        )

    @classmethod
    def from_rows(cls, fingerprint, rows):
        """Return the statement of a decoded JSON value.

        Raises
        ------
        ProtocolError
            If it is none.
        """
        try:
            marks = 0
            ends = []
            for tag, age, mark in rows[:ENDS_LIMIT]:
                age_s = max(0, int(age)) / TENTHS_PER_SECOND
                mark = int(mark)
                is_cleared, is_trial = bool(mark & CLEARED_BIT), bool(mark & TRIAL_BIT)
                ends.append(EndStatement(str(tag), age_s, is_cleared, is_trial))
                marks |= mark
        except (TypeError, ValueError, KeyError, OverflowError) as error:
            raise ProtocolError(f"unreadable ends of targets: {error!r}") from error
        return cls(str(fingerprint), ends, bool(marks & ANSWERED_BIT))
