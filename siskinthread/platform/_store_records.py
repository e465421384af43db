"""Framing and decoding of records of the platform's store."""

import base64

from siskinthread.observability import part_logger

OFFSET_BYTES = 8
LENGTH_BYTES = 4
# Length of an answer to a read that holds the two offsets only.
NO_RECORDS_BYTES = 2 * OFFSET_BYTES

_logger = part_logger("platform")


class KeyedRecord:
    """A value written under a key.

    Parameters
    ----------
    key : str
        The key.
    value : bytes or None
        The value; None if the key was dropped.
    """

    __slots__ = ("key", "value")

    def __init__(self, key, value):
        self.key = key
        self.value = value


def frame_record(record):
    """Return the bytes of a `KeyedRecord` with a length prefix."""
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def decode_item(item):
    """Return the `KeyedRecord` of a JSON item; None if its value can't be decoded."""
    # An empty value can't be distinguished from a dropped key here; neither is ever
    # used.
    try:
        value = base64.b64decode(item["value"], validate=True)
    except ValueError:
        return None
    return KeyedRecord(str(item["key"]), value or None)


def decoded_only(records, topic):
    """Return the records that could be decoded.

    An undecodable record of another writer must not hide the others, or the whole list
    would remain as it was until that record is dropped.
    """
    kept = [one for one in records if one is not None]
    if len(kept) < len(records):
        count = len(records) - len(kept)
        _logger.event("records are unreadable", topic=topic, count=count)
    return kept


def split_records(body):
    """Return the records after the two offsets at the start of an answer."""
    records = []
    at = NO_RECORDS_BYTES
    if len(body) < at:
        raise ValueError("answer is shorter than its two offsets")
    while at < len(body):
        size = int.from_bytes(body[at : at + LENGTH_BYTES], "big")
        at += LENGTH_BYTES
        content = body[at : at + size]
        if len(content) < size or not size:
            raise ValueError("record is truncated or empty")
        records.append(content)
        at += size
    return records


def read_end(body):
    """Return the offset after the last record of the topic, from the same answer."""
    return int.from_bytes(body[:OFFSET_BYTES], "big")


def decode_record(content):
    """Return the `KeyedRecord` of a binary record; None if its key can't be decoded."""
    key_end = 1 + content[0]
    if len(content) < key_end:
        return None
    try:
        key = content[1:key_end].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[key_end:] or None)
