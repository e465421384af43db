"""What the fold decided about one record."""

import enum


class Status(enum.StrEnum):
    """The decision; the same on every node."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REPEATED = "repeated"
    INVALID = "invalid"
    FORMAT_ABOVE_FLOOR = "format_above_floor"
    SNAPSHOT = "snapshot"


class Verdict:
    """The decision about one record, with its reason.

    Parameters
    ----------
    status : Status
        The decision.
    offset : int
        Offset of the record.
    at_ms : int
        The log's time of the record, Unix milliseconds.
    reason : str
        Why it was not accepted; empty if it was.
    change : Change, FloorChange or None
        What the record holds, if it could be read.
    """

    __slots__ = ("at_ms", "change", "offset", "reason", "status")

    def __init__(self, status, offset, at_ms, reason="", change=None):
        self.status = status
        self.offset = offset
        self.at_ms = at_ms
        self.reason = reason
        self.change = change

    def __repr__(self):
        return f"Verdict({self.status}, {self.offset}, {self.reason!r})"


class AcceptedId:
    """A record id that was accepted, remembered against a retry.

    Parameters
    ----------
    offset : int
        Offset of the record; the version that it made.
    at_ms : int
        The log's time of the record, Unix milliseconds.
    content_digest : str
        Digest of what the record did, to tell a retry from a reused id.
    """

    __slots__ = ("at_ms", "content_digest", "offset")

    def __init__(self, offset, at_ms, content_digest):
        self.offset = offset
        self.at_ms = at_ms
        self.content_digest = content_digest
