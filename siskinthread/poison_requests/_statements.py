"""What entries tell one another, and the store, of a suspected request."""

import hashlib

from siskinthread.errors import ProtocolError

TAG_BYTES = 4
# More than the ends after which a request is kept off, and than tries under way add.
ENDS_LIMIT = 8
TENTHS_PER_SECOND = 10


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
    """

    __slots__ = ("age_s", "is_cleared", "tag")

    def __init__(self, tag, age_s, is_cleared):
        self.tag = tag
        self.age_s = age_s
        self.is_cleared = is_cleared


class SuspectStatement:
    """What an entry knows of a suspected request.

    Parameters
    ----------
    fingerprint : str
        The request.
    ends : list of EndStatement
        Targets that have ended under it.
    """

    __slots__ = ("ends", "fingerprint")

    def __init__(self, fingerprint, ends):
        self.fingerprint = fingerprint
        self.ends = ends

    def key(self):
        """Return a value that differs if this would tell something new."""
        marks = sorted((end.tag, end.is_cleared) for end in self.ends)
        return self.fingerprint, tuple(marks)

    def tells_all_of(self, other):
        """Return whether another statement holds nothing beyond this one."""
        own = {end.tag: end.is_cleared for end in self.ends}
        return all(
            end.tag in own and own[end.tag] >= end.is_cleared for end in other.ends
        )

    def as_rows(self):
        """Return the ends as a JSON value."""
        return [
            [end.tag, round(end.age_s * TENTHS_PER_SECOND), int(end.is_cleared)]
            for end in self.ends
        ]

    @classmethod
    def from_rows(cls, fingerprint, rows):
        """Return the statement of a decoded JSON value.

        Raises
        ------
        ProtocolError
            If it is none.
        """
        try:
            ends = [
                EndStatement(str(tag), max(0, int(age)) / TENTHS_PER_SECOND, bool(mark))
                for tag, age, mark in rows[:ENDS_LIMIT]
            ]
        except (TypeError, ValueError, KeyError, OverflowError) as error:
            raise ProtocolError(f"unreadable ends of targets: {error!r}") from error
        return cls(str(fingerprint), ends)
