"""Pages: records of the audit stream, each with many entries."""

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
        Events, each perhaps in other pages too.
    through : dict of str to int
        For each source, the offset up to which it had been archived.
    """

    __slots__ = ("entries", "through")

    def __init__(self, entries, through=None):
        self.entries = list(entries)
        self.through = dict(through or {})


def encode_page(page):
    """Return the body of a page."""
    return encode(
        {
            "format": FORMAT_VERSION,
            "kind": "page",
            "through": page.through,
            "entries": [entry.plain() for entry in page.entries],
        }
    )


def read_page(body):
    """Return the `Page` of a body, or None if it is none.

    Notes
    -----
    An entry that this program can't read is left out alone: the trail of mixed
    versions must not lose a page for it.
    """
    try:
        value = json.loads(body)
        if value["kind"] != "page" or value["format"] != FORMAT_VERSION:
            return None
        through = {str(name): int(offset) for name, offset in value["through"].items()}
        entries = [_read_entry(plain) for plain in value["entries"]]
    except (AttributeError, KeyError, TypeError, ValueError, RecursionError):
        return None
    return Page([entry for entry in entries if entry is not None], through)


def size_bytes(entry):
    """Return the size of an entry within a page."""
    return len(encode(entry.plain())) + 1


def fitting(entries, limit_bytes):
    """Return as many of the first entries as fit into a page, at least one."""
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
        return Entry.from_plain(plain)
    except (KeyError, TypeError, ValueError):
        return None
