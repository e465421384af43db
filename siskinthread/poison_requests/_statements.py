"""Statements on suspected requests for peers and for the store."""

import hashlib

from siskinthread.errors import ProtocolError

TAG_BYTES = 4
# Exceeds the crashes that block a request plus the trials under way.
CRASHES_LIMIT = 8
TENTHS_PER_SECOND = 10
# Bits of the mark of a crash.
CLEARED_BIT = 1
TRIAL_BIT = 2
ANSWERED_BIT = 4


def tag_of(instance_id):
    """Return a short name of an instance of a target, the same on all hosts."""
    digest = hashlib.blake2b(instance_id.encode(), digest_size=TAG_BYTES)
    return digest.hexdigest()


class CrashStatement:
    """States that a target has crashed during a request.

    Parameters
    ----------
    tag : str
        Name of the target's instance, see `tag_of`.
    age_s : float
        Time since the crash, seconds.
    is_cleared : bool
        Whether the crash no longer counts, since the request was answered later.
    is_trial : bool
        Whether the request was a trial of a suspected part.
    """

    __slots__ = ("age_s", "is_cleared", "is_trial", "tag")

    def __init__(self, tag, age_s, is_cleared, is_trial=False):
        self.tag = tag
        self.age_s = age_s
        self.is_cleared = is_cleared
        self.is_trial = is_trial


class SuspectStatement:
    """What a host knows of a suspected request or prompt part.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request, or name of the part.
    crashes : list of CrashStatement
        Targets that have crashed during the request.
    was_answered : bool
        Whether a request with the part has ever been answered in full, as far as is
        remembered.
    """

    __slots__ = ("crashes", "fingerprint", "was_answered")

    def __init__(self, fingerprint, crashes, was_answered=False):
        self.fingerprint = fingerprint
        self.crashes = crashes
        self.was_answered = was_answered

    def key(self):
        """Return a value that changes with the information in the statement."""
        marks = sorted((crash.tag, self._mark(crash)) for crash in self.crashes)
        return self.fingerprint, tuple(marks)

    def covers(self, other):
        """Return whether this statement includes all information of another one."""
        own = {crash.tag: self._mark(crash) for crash in self.crashes}
        return all(
            crash.tag in own and not other._mark(crash) & ~own[crash.tag]
            for crash in other.crashes
        )

    def as_rows(self):
        """Return the crashes as a JSON value."""
        return [
            [crash.tag, round(crash.age_s * TENTHS_PER_SECOND), self._mark(crash)]
            for crash in self.crashes
        ]

    def _mark(self, crash):
        return (
            CLEARED_BIT * crash.is_cleared
            + TRIAL_BIT * crash.is_trial
            + ANSWERED_BIT * self.was_answered
        )

    @classmethod
    def from_rows(cls, fingerprint, rows):
        """Return the statement of a decoded JSON value.

        Raises
        ------
        ProtocolError
            If the value is malformed.
        """
        try:
            marks = 0
            crashes = []
            for tag, age, mark in rows[:CRASHES_LIMIT]:
                age_s = max(0, int(age)) / TENTHS_PER_SECOND
                mark = int(mark)
                is_cleared, is_trial = bool(mark & CLEARED_BIT), bool(mark & TRIAL_BIT)
                crashes.append(CrashStatement(str(tag), age_s, is_cleared, is_trial))
                marks |= mark
        except (TypeError, ValueError, KeyError, OverflowError) as error:
            raise ProtocolError(f"malformed statement on crashes: {error!r}") from error
        return cls(str(fingerprint), crashes, bool(marks & ANSWERED_BIT))
