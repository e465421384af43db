"""Pages: records of the audit stream, each with several entries."""

import json

from siskinthread.audit._entries import Entry
from siskinthread.configuration._records import encode

FORMAT_VERSION = 1
ENVELOPE_BYTES = 512


class Page:
    """One record of the audit stream.

    Parameters
    ----------
    entries : list of Entry
        Entries; an entry may also be in other pages.
    through : dict of str to int
        Offset up to which each source was archived when the page was written.
    """

    __slots__ = ("entries", "through")

    def __init__(self, entries, through=None):
        self.entries = list(entries)
        self.through = dict(through or {})


def encode_page(page):
    """Return the record body of a page."""
    return encode(
        {
            "format": FORMAT_VERSION,
            "kind": "page",
            "through": page.through,
            "entries": [entry.as_dict() for entry in page.entries],
        }
    )


def read_page(body):
    """Return the `Page` that a record body encodes, or None if it encodes none.

    Notes
    -----
    Only the entries that can't be decoded are skipped, not the whole page, as processes
    of other versions may write entries that this version does not know.
    """
    try:
        value = json.loads(body)
        if value["kind"] != "page" or value["format"] != FORMAT_VERSION:
            return None
        through = {str(name): int(offset) for name, offset in value["through"].items()}
        entries = [_read_entry(plain) for plain in value["entries"]]
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return None
    return Page([entry for entry in entries if entry is not None], through)


def size_bytes(entry):
    """Return the encoded size of an entry within a page."""
    return len(encode(entry.as_dict())) + 1


def fitting_prefix(entries, limit_bytes):
    """Return the longest prefix of entries that fits into a page, at least one."""
    chosen = []
    left_bytes = limit_bytes - ENVELOPE_BYTES
    for entry in entries:
        left_bytes -= size_bytes(entry)
        if left_bytes < 0 and chosen:
            break
        chosen.append(entry)
    return chosen


def _read_entry(plain):
    try:
        return Entry.from_dict(plain)
    except (KeyError, TypeError, ValueError, OverflowError):
        return None
