"""The fold: from claims in the order of the log to the owner of each group."""

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
    """What became of a record; the same on every node."""

    GRANTED = "granted"
    # Made for another claim than the one in force; also every repeated or late copy.
    STALE = "stale"
    INVALID = "invalid"
    SNAPSHOT = "snapshot"
    RESET = "reset"


class ClaimVerdict:
    """What the fold decided about one record.

    Parameters
    ----------
    status : ClaimStatus
        The decision.
    record : siskinthread.shared_services.LogRecord
        The record.
    claim : Claim or None
        What it holds, if it is a claim.
    before : Owner or None
        Owner of the group before it.
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
        Last record that was folded; -1 before any.
    owners : dict of str to Owner
        Owners by group.
    """

    __slots__ = ("applied_offset", "owners")

    def __init__(self, applied_offset=-1, owners=None):
        self.applied_offset = applied_offset
        self.owners = dict(owners or {})

    def apply(self, record):
        """Fold the next record; return its `ClaimVerdict`.

        Raises
        ------
        InvariantError
            If another record than the next one is given.
        """
        if record.offset != self.applied_offset + 1:
            raise InvariantError(
                f"claim {record.offset} was folded after {self.applied_offset}"
            )
        verdict = _judge(read_record(record.body), record, self)
        self.applied_offset = record.offset
        return verdict

    def fencing(self, group):
        """Return the fencing number in force of a group, `NO_CLAIM` without owner."""
        owner = self.owners.get(group)
        return NO_CLAIM if owner is None else owner.fencing

    def snapshot(self):
        """Return the `Snapshot` of the fold."""
        return Snapshot(self.applied_offset, dict(self.owners))

    def contradicts(self, record):
        """Return whether a record is a snapshot as of here that says otherwise."""
        content = read_record(record.body)
        if not isinstance(content, Snapshot):
            return False
        if content.applied_offset != self.applied_offset:
            return False
        return content.owners != self.owners


@functools.singledispatch
def _judge(content, record, fold):
    return ClaimVerdict(ClaimStatus.INVALID, record)


@_judge.register
def _(content: Claim, record, fold):
    before = fold.owners.get(content.group)
    # Offsets rise, so once a claim is granted no copy of it and no other claim made
    # for the same predecessor can be, however late it lands.
    if content.supersedes != fold.fencing(content.group):
        return ClaimVerdict(ClaimStatus.STALE, record, content, before)
    owner = Owner(content.host, content.incarnation, record.offset)
    fold.owners[content.group] = owner
    return ClaimVerdict(ClaimStatus.GRANTED, record, content, before)


@_judge.register
def _(content: Snapshot, record, fold):
    return ClaimVerdict(ClaimStatus.SNAPSHOT, record)


@_judge.register
def _(content: Reset, record, fold):
    fold.owners.clear()
    return ClaimVerdict(ClaimStatus.RESET, record)


def base_of(records, first_offset):
    """Return the fold to start from, from the oldest usable place, or None.

    Parameters
    ----------
    records : list of LogRecord
        All kept records.
    first_offset : int
        Offset of the oldest kept record.

    Returns
    -------
    OwnershipFold or None
        None if the claims in force may have expired.

    Notes
    -----
    A snapshot is usable if no record after the offset that it stands for has expired,
    and not merely if it's kept: a snapshot that landed late would otherwise bring back
    an owner who had been superseded by a claim that expired since.
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
