"""Datagrams that tell far readers how far the first reader has read.

They are sent apart from the regular messages, as those on the target list are.
"""

import json

from siskinthread.errors import ProtocolError
from siskinthread.peer_news._table_reading import TableReading

READING_PREFIX = b"READING"


def encode_reading_message(reading):
    """Return the datagram of a `TableReading`."""
    return READING_PREFIX + json.dumps(reading.as_row()).encode()


def decode_reading_message(data):
    """Return the `TableReading` of a datagram.

    Raises
    ------
    ProtocolError
        If it is unreadable.
    """
    try:
        return TableReading.from_row(json.loads(data.removeprefix(READING_PREFIX)))
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise ProtocolError(f"unreadable message on a reading: {error!r}") from error
