"""Decisions of the fold about records."""

import enum


class Status(enum.StrEnum):
    """Decision about a record, identical on every node."""

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
        Decision.
    offset : int
        Offset of the record.
    at_ms : int
        Log time of the record, in Unix milliseconds.
    reason : str
        Reason why the record was not accepted; empty for accepted records and
        snapshots.
    change : Change, FloorChange or None
        Content of the record, if it could be read.
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
    """An accepted record id, kept to detect a retry.

    Parameters
    ----------
    offset : int
        Offset of the record, which is the version that it created.
    at_ms : int
        Log time of the record, in Unix milliseconds.
    content_digest : str
        Digest of the change, to distinguish a retry from a reused id.
    """

    __slots__ = ("at_ms", "content_digest", "offset")

    def __init__(self, offset, at_ms, content_digest):
        self.offset = offset
        self.at_ms = at_ms
        self.content_digest = content_digest
