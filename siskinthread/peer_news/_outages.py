"""Exchange of the states of target groups, broken or open, between entry hosts."""

import json

from siskinthread.errors import ProtocolError
from siskinthread.settings import Address

MILLISECONDS_PER_SECOND = 1000
# Limit of statements in a datagram: some 1 KB of its 8 KB.
OUTAGES_LIMIT = 16
# Prefix of a datagram that holds group states only.
OUTAGES_PREFIX = b'{"outages":'


class GroupOutageStatement:
    """State of a group as a host has observed it itself.

    Parameters
    ----------
    group_name : str
        The group.
    epoch : int or None
        Last known epoch: the one that is broken, or in which the group has opened.
    since_s : float or None
        How long the group has been broken, seconds; None if it is open.
    age_s : float
        Time since the state was observed, seconds.
    is_reported : bool
        Whether the state comes from a rank's own report.
    revision : int
        Local value whose change makes the statement be sent again; not sent itself.
    """

    __slots__ = ("age_s", "epoch", "group_name", "is_reported", "revision", "since_s")

    def __init__(self, group_name, epoch, since_s, age_s, is_reported, revision=0):
        self.group_name = group_name
        self.epoch = epoch
        self.since_s = since_s
        self.age_s = age_s
        self.is_reported = is_reported
        self.revision = revision

    @property
    def is_open(self):
        """Whether the group is open."""
        return self.since_s is None

    def key(self):
        """Return the fields whose change makes the statement be sent again."""
        return self.group_name, self.epoch, self.is_open, self.revision


def encode_outages(statements):
    """Return the rows of a datagram for the first statements."""
    return [
        [
            one.group_name,
            one.epoch,
            None if one.is_open else _milliseconds(one.since_s),
            _milliseconds(one.age_s),
            int(one.is_reported),
        ]
        for one in statements[:OUTAGES_LIMIT]
    ]


def decode_outages(rows):
    """Return the statements of rows.

    Raises
    ------
    TypeError, ValueError, OverflowError
        If the rows are unreadable.
    """
    return [_decode(*row) for row in rows]


def encode_outage_message(sender, statements):
    """Return the datagram that holds group states only.

    Parameters
    ----------
    sender : siskinthread.settings.Address
        UDP address on which the sender receives messages.
    statements : list of GroupOutageStatement
        States that the sender has observed.
    """
    document = {"outages": encode_outages(statements), "sender": str(sender)}
    return json.dumps(document, separators=(",", ":")).encode()


def decode_outage_message(data):
    """Return sender and statements of a datagram that holds group states only.

    Raises
    ------
    ProtocolError
        If it is unreadable.
    """
    try:
        document = json.loads(data)
        sender = Address.parse(document["sender"])
        return sender, decode_outages(document["outages"])
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ProtocolError(f"unreadable message on group states: {error!r}") from error


def _decode(group_name, epoch, since_ms, age_ms, is_reported):
    return GroupOutageStatement(
        str(group_name),
        None if epoch is None else int(epoch),
        None if since_ms is None else _seconds(since_ms),
        _seconds(age_ms),
        bool(is_reported),
    )


def _milliseconds(time_s):
    return round(time_s * MILLISECONDS_PER_SECOND)


def _seconds(time_ms):
    return max(0, int(time_ms)) / MILLISECONDS_PER_SECOND
