"""Validated settings, read from JSON with comments.

Each sub-package declares its settings as a `Section` with one `Item` per setting.  The
daemons compose these sections and pass the settings object as a whole.
"""

from siskinthread.settings._example import render_example
from siskinthread.settings._items import Item, Section
from siskinthread.settings._kinds import (
    Address,
    AddressList,
    Choice,
    Key,
    KeyList,
    StringList,
)
from siskinthread.settings._loading import load_section

__all__ = [
    "Address",
    "AddressList",
    "Choice",
    "Item",
    "Key",
    "KeyList",
    "Section",
    "StringList",
    "load_section",
    "render_example",
]
