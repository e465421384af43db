"""Checked settings, read from JSON with comments.

Every sub-package that has settings declares them as a `Section` with an `Item` for each
one.  The daemons compose the sections and pass the settings object whole.
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
