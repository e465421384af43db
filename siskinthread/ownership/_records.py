"""Records of the ownership stream: claims, snapshots and resets.

Their format is frozen: programs of two versions that folded one record differently
would hold two owners for one group.  Another meaning takes another stream.
"""

import json

from siskinthread.configuration._records import encode

FORMAT_VERSION = 1
NO_CLAIM = -1


class Claim:
    """A candidate asks to be the owner of a group.

    Parameters
    ----------
    group : str
        Name of the model group.
    host, incarnation : str
        The candidate.
    supersedes : int
        Offset of the claim in force that it saw; `NO_CLAIM` if none.
    """

    __slots__ = ("group", "host", "incarnation", "supersedes")

    def __init__(self, group, host, incarnation, supersedes):
        self.group = group
        self.host = host
        self.incarnation = incarnation
        self.supersedes = supersedes

    @property
    def claim_id(self):
        """The same for every copy of the claim, as that is all that it says."""
        return f"{self.host}/{self.incarnation}/{self.group}/{self.supersedes}"


class Owner:
    """The owner of a group.

    Parameters
    ----------
    host, incarnation : str
        The process.
    fencing : int
        Offset of its claim.
    """

    __slots__ = ("fencing", "host", "incarnation")

    def __init__(self, host, incarnation, fencing):
        self.host = host
        self.incarnation = incarnation
        self.fencing = fencing

    def __eq__(self, other):
        return isinstance(other, Owner) and self.plain() == other.plain()

    def __hash__(self):
        return hash(self.fencing)

    def __repr__(self):
        return f"Owner({self.host!r}, {self.incarnation!r}, {self.fencing})"

    def plain(self):
        """Return the owner as a plain list for JSON."""
        return [self.host, self.incarnation, self.fencing]


class Snapshot:
    """All owners as of an offset.

    Parameters
    ----------
    applied_offset : int
        Last record that was folded into it.
    owners : dict of str to Owner
        Owners by group.
    """

    __slots__ = ("applied_offset", "owners")

    def __init__(self, applied_offset, owners):
        self.applied_offset = applied_offset
        self.owners = owners


class Reset:
    """Nobody owns any group from here on.

    Written when the claims in force expired before they were copied.  Safety does not
    need them: later claims have higher offsets.
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
    """Return the body of a `Snapshot`; it depends on its content alone."""
    owners = {group: owner.plain() for group, owner in snapshot.owners.items()}
    return _encode("snapshot", applied_offset=snapshot.applied_offset, owners=owners)


def encode_reset():
    """Return the body of a `Reset`."""
    return _encode("reset")


def read_record(body):
    """Return the `Claim`, `Snapshot` or `Reset` of a body, or None if it is none."""
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
        raise TypeError(f"{value!r} is no name")
    return value


def _offset(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < NO_CLAIM:
        raise TypeError(f"{value!r} is no offset")
    return value
