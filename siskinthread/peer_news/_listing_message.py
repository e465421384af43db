"""Datagrams that notify far readers of a read of the target list.

They are sent apart from the regular messages: those of a domain's first host hold the
sum of the domain, which another regular message of the same sender would displace.
"""

import json
import math

from siskinthread.errors import ProtocolError
from siskinthread.peer_news._message import ListStatement
from siskinthread.source_eras import Position

LISTING_PREFIX = b"LISTING"
MILLISECONDS_PER_SECOND = 1000


def encode_listing_message(listing):
    """Return the datagram of a `ListStatement`.

    Ages are rounded up, so that a statement does not become younger when it is
    forwarded several times.
    """
    position = listing.position
    age_ms = math.ceil(listing.age_s * MILLISECONDS_PER_SECOND)
    row = [position.era, position.offset, listing.digest, age_ms]
    return LISTING_PREFIX + json.dumps(row).encode()


def decode_listing_message(data):
    """Return the `ListStatement` of a datagram.

    Raises
    ------
    ProtocolError
        If it is unreadable.
    """
    try:
        row = json.loads(data.removeprefix(LISTING_PREFIX))
        era, offset, digest, age_ms = row
        position = Position(None if era is None else int(era), int(offset))
        age_s = max(0, int(age_ms)) / MILLISECONDS_PER_SECOND
        return ListStatement(position, int(digest), age_s)
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise ProtocolError(f"unreadable message on a list: {error!r}") from error
