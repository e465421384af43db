"""Records of the ownership stream: claims, snapshots and resets.

The format is frozen: if two program versions folded a record differently, they would
see two owners of a group.  Records of another meaning need another stream.
"""

import json

from siskinthread.configuration._records import encode

FORMAT_VERSION = 1
NO_CLAIM = -1


class Claim:
    """Claim of a candidate to own a group.

    Parameters
    ----------
    group : str
        Name of the model group.
    host, incarnation : str
        Identity of the candidate's process.
    supersedes : int
        Offset of the claim in force that the candidate read; `NO_CLAIM` if none.
    """

    __slots__ = ("group", "host", "incarnation", "supersedes")

    def __init__(self, group, host, incarnation, supersedes):
        self.group = group
        self.host = host
        self.incarnation = incarnation
        self.supersedes = supersedes

    @property
    def claim_id(self):
        """Identifier made of all fields, hence equal for every copy of the claim."""
        return f"{self.host}/{self.incarnation}/{self.group}/{self.supersedes}"


class Owner:
    """The owner of a group.

    Parameters
    ----------
    host, incarnation : str
        Identity of the owning process.
    fencing : int
        Fencing number: the offset of the owner's claim.
    """

    __slots__ = ("fencing", "host", "incarnation")

    def __init__(self, host, incarnation, fencing):
        self.host = host
        self.incarnation = incarnation
        self.fencing = fencing

    def __eq__(self, other):
        return isinstance(other, Owner) and self.as_list() == other.as_list()

    def __hash__(self):
        return hash(self.fencing)

    def __repr__(self):
        return f"Owner({self.host!r}, {self.incarnation!r}, {self.fencing})"

    def as_list(self):
        """Return the owner as a list for JSON."""
        return [self.host, self.incarnation, self.fencing]


class Snapshot:
    """All owners at an offset.

    Parameters
    ----------
    applied_offset : int
        Offset of the last record folded into the snapshot.
    owners : dict of str to Owner
        Owners by group.
    """

    __slots__ = ("applied_offset", "owners")

    def __init__(self, applied_offset, owners):
        self.applied_offset = applied_offset
        self.owners = owners


class Reset:
    """Removal of all owners.

    Written when claims in force expired before a snapshot of them was appended.  This
    is safe, because later claims have higher offsets and thus higher fencing numbers.
    """

    __slots__ = ()


def encode_claim(claim):
    """Return the body of a `Claim`."""
    return _encode(
        "claim",
        group=claim.group,
        host=claim.host,
        incarnation=claim.incarnation,
        supersedes=claim.supersedes,
    )


def encode_snapshot(snapshot):
    """Return the body of a `Snapshot`; equal snapshots have equal bodies."""
    owners = {group: owner.as_list() for group, owner in snapshot.owners.items()}
    return _encode("snapshot", applied_offset=snapshot.applied_offset, owners=owners)


def encode_reset():
    """Return the body of a `Reset`."""
    return _encode("reset")


def read_record(body):
    """Return the `Claim`, `Snapshot` or `Reset` of a body, or None if invalid."""
    try:
        value = json.loads(body)
        if value["format"] != FORMAT_VERSION:
            return None
        return _READERS[value["kind"]](value)
    except (AttributeError, KeyError, TypeError, ValueError, RecursionError):
        return None


def _encode(kind, **fields):
    return encode({"format": FORMAT_VERSION, "kind": kind, **fields})


def _read_claim(value):
    return Claim(
        _text(value["group"]),
        _text(value["host"]),
        _text(value["incarnation"]),
        _offset(value["supersedes"]),
    )


def _read_snapshot(value):
    owners = {
        group: Owner(_text(host), _text(incarnation), _offset(fencing))
        for group, (host, incarnation, fencing) in value["owners"].items()
    }
    return Snapshot(_offset(value["applied_offset"]), owners)


def _read_reset(value):
    return Reset()


_READERS = {"claim": _read_claim, "snapshot": _read_snapshot, "reset": _read_reset}


def _text(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a non-empty string, got {value!r}")
    return value


def _offset(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < NO_CLAIM:
        raise TypeError(f"expected a log offset, got {value!r}")
    return value
