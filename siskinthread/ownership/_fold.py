"""The fold that computes the owner of each group from the claims in log order."""

import enum
import functools

from siskinthread.errors import InvariantError
from siskinthread.ownership._records import (
    Claim,
    NO_CLAIM,
    Owner,
    read_record,
    Reset,
    Snapshot,
)


class ClaimStatus(enum.StrEnum):
    """Outcome of a record, identical on every node."""

    GRANTED = "granted"
    # Supersedes a claim that is not in force; also every repeated or late copy.
    STALE = "stale"
    INVALID = "invalid"
    SNAPSHOT = "snapshot"
    RESET = "reset"


class ClaimVerdict:
    """Result of folding one record.

    Parameters
    ----------
    status : ClaimStatus
        Outcome of the record.
    record : siskinthread.shared_services.LogRecord
        The record.
    claim : Claim or None
        The claim of the record, if it holds one.
    before : Owner or None
        Owner of the group before the record.
    """

    __slots__ = ("before", "claim", "record", "status")

    def __init__(self, status, record, claim=None, before=None):
        self.status = status
        self.record = record
        self.claim = claim
        self.before = before


class OwnershipFold:
    """The owners after all records up to an offset.

    Attributes
    ----------
    applied_offset : int
        Offset of the last folded record; -1 before the first.
    owners : dict of str to Owner
        Owners by group.
    """

    __slots__ = ("applied_offset", "owners")

    def __init__(self, applied_offset=-1, owners=None):
        self.applied_offset = applied_offset
        self.owners = dict(owners or {})

    def apply(self, record):
        """Fold the next record.

        Returns
        -------
        ClaimVerdict

        Raises
        ------
        InvariantError
            If the record does not directly follow the last folded one.
        """
        if record.offset != self.applied_offset + 1:
            raise InvariantError(
                f"claim {record.offset} was folded after {self.applied_offset}"
            )
        verdict = _apply_content(read_record(record.body), record, self)
        self.applied_offset = record.offset
        return verdict

    def fencing(self, group):
        """Return the fencing number of a group's owner, or `NO_CLAIM`."""
        owner = self.owners.get(group)
        return NO_CLAIM if owner is None else owner.fencing

    def snapshot(self):
        """Return the owners as a `Snapshot`."""
        return Snapshot(self.applied_offset, dict(self.owners))

    def contradicts(self, record):
        """Return whether a record is a snapshot at this offset with other owners."""
        content = read_record(record.body)
        if not isinstance(content, Snapshot):
            return False
        if content.applied_offset != self.applied_offset:
            return False
        return content.owners != self.owners


@functools.singledispatch
def _apply_content(content, record, fold):
    return ClaimVerdict(ClaimStatus.INVALID, record)


@_apply_content.register
def _(content: Claim, record, fold):
    before = fold.owners.get(content.group)
    # Offsets only increase, so once a claim is granted, no copy of it and no other
    # claim that supersedes the same predecessor is granted, however late it arrives.
    if content.supersedes != fold.fencing(content.group):
        return ClaimVerdict(ClaimStatus.STALE, record, content, before)
    owner = Owner(content.host, content.incarnation, record.offset)
    fold.owners[content.group] = owner
    return ClaimVerdict(ClaimStatus.GRANTED, record, content, before)


@_apply_content.register
def _(content: Snapshot, record, fold):
    return ClaimVerdict(ClaimStatus.SNAPSHOT, record)


@_apply_content.register
def _(content: Reset, record, fold):
    fold.owners.clear()
    return ClaimVerdict(ClaimStatus.RESET, record)


def find_base(records, first_offset):
    """Return the fold from which the kept records can be replayed.

    Parameters
    ----------
    records : list of LogRecord
        All records that the log retains.
    first_offset : int
        Offset of the oldest retained record.

    Returns
    -------
    OwnershipFold or None
        The fold at the oldest usable base; None if claims in force may have expired.

    Notes
    -----
    A snapshot is usable only if no record after its applied offset has expired.  It is
    not enough that the snapshot itself is retained: a snapshot that was appended late
    could restore an owner that a claim, expired since, had superseded.
    """
    if first_offset == 0:
        return OwnershipFold()
    bases = [_read_base(record) for record in records]
    usable = [
        base
        for base in bases
        if base is not None and base.applied_offset + 1 >= first_offset
    ]
    return min(usable, key=lambda base: base.applied_offset, default=None)


def _read_base(record):
    content = read_record(record.body)
    if isinstance(content, Snapshot) and content.applied_offset < record.offset:
        return OwnershipFold(content.applied_offset, content.owners)
    if isinstance(content, Reset):
        return OwnershipFold(record.offset)
    return None
