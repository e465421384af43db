"""Forms: types that validate and convert single JSON values.

The values that a form accepts are part of the record format: two program versions that
validate a value differently would fold the same log to different states.  A change here
requires a new format version (``docs/design/configuration.md``).
"""

import functools
import re

from siskinthread.configuration._names import LABEL_KEY_PATTERN, LABEL_VALUE_PATTERN
from siskinthread.configuration._selector import Selector

LABELS_LIMIT = 64
SELECTOR_LIMIT = 2048
MINUTES_PER_DAY = 1440


class Finding:
    """A problem with one value.

    Parameters
    ----------
    path : tuple
        Keys and indices that lead to the value.
    message : str
        Description of the problem.
    """

    __slots__ = ("message", "path")

    def __init__(self, path, message):
        self.path = path
        self.message = message

    def __str__(self):
        where = ".".join(str(step) for step in self.path)
        return f"{where}: {self.message}" if where else self.message


class Text:
    """A string that fully matches a regular expression."""

    __slots__ = ("_pattern", "example")

    def __init__(self, pattern, example):
        self._pattern = re.compile(pattern)
        self.example = example

    def accepts(self, value):
        """Return whether a value is a string that matches the pattern."""
        return isinstance(value, str) and bool(self._pattern.fullmatch(value))


class OneOf:
    """A string out of a fixed set."""

    __slots__ = ("options",)

    def __init__(self, *options):
        self.options = options


class Number:
    """A number between two inclusive bounds; `above_zero` excludes zero."""

    __slots__ = ("above_zero", "maximum", "minimum")

    def __init__(self, minimum, maximum, above_zero=False):
        self.minimum = minimum
        self.maximum = maximum
        self.above_zero = above_zero


class Integer:
    """An integer between two inclusive bounds."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, minimum, maximum):
        self.minimum = minimum
        self.maximum = maximum


class Boolean:
    """A boolean."""

    __slots__ = ()


class ListOf:
    """A list of items of the same form, without repeated items."""

    __slots__ = ("item_form", "limit")

    def __init__(self, item_form, limit):
        self.item_form = item_form
        self.limit = limit


class Labels:
    """A dict of label keys to label values."""

    __slots__ = ()


class SelectorText:
    """The text of a `Selector`."""

    __slots__ = ()


class Window:
    """Start and end minute of a window of the UTC day; it may span midnight."""

    __slots__ = ()


@functools.singledispatch
def read_value(form, value, path, findings):
    """Validate a JSON value and convert it.

    Parameters
    ----------
    form : object
        Instance of one of the form classes of this module.
    value : object
        Plain JSON value.
    path : tuple
        Keys and indices that lead to the value.
    findings : list of Finding
        Problems are appended to this list.

    Returns
    -------
    object
        Value as stored in configuration objects; None if it is invalid.

    Raises
    ------
    TypeError
        If `form` isn't a known form.
    """
    raise TypeError(f"unknown form {form!r}")


@read_value.register
def _(form: Text, value, path, findings):
    if form.accepts(value):
        return value
    return _reject(findings, path, f"{value!r} isn't a value such as {form.example!r}")


@read_value.register
def _(form: OneOf, value, path, findings):
    if isinstance(value, str) and value in form.options:
        return value
    return _reject(findings, path, f"{value!r} is none of {', '.join(form.options)}")


@read_value.register
def _(form: Number, value, path, findings):
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _reject(findings, path, f"{value!r} is no number")
    if not form.minimum <= value <= form.maximum:
        bounds = f"{form.minimum} to {form.maximum}"
        return _reject(findings, path, f"{value!r} is outside {bounds}")
    if form.above_zero and value == 0:
        return _reject(findings, path, "must be above zero")
    return float(value)


@read_value.register
def _(form: Integer, value, path, findings):
    if isinstance(value, bool) or not isinstance(value, int):
        return _reject(findings, path, f"{value!r} is no whole number")
    if not form.minimum <= value <= form.maximum:
        bounds = f"{form.minimum} to {form.maximum}"
        return _reject(findings, path, f"{value!r} is outside {bounds}")
    return value


@read_value.register
def _(form: Boolean, value, path, findings):
    if isinstance(value, bool):
        return value
    return _reject(findings, path, f"{value!r} is neither true nor false")


@read_value.register
def _(form: ListOf, value, path, findings):
    if not isinstance(value, list):
        return _reject(findings, path, f"{value!r} is no list")
    if len(value) > form.limit:
        return _reject(findings, path, f"more than {form.limit} items")
    items = []
    for index, item in enumerate(value):
        if item in value[:index]:
            _reject(findings, (*path, index), f"{item!r} is repeated")
        items.append(read_value(form.item_form, item, (*path, index), findings))
    return items


@read_value.register
def _(form: Labels, value, path, findings):
    if not isinstance(value, dict):
        return _reject(findings, path, f"{value!r} is no dict of labels")
    if len(value) > LABELS_LIMIT:
        return _reject(findings, path, f"more than {LABELS_LIMIT} labels")
    for key, label in value.items():
        if not _LABEL_KEY.accepts(key):
            _reject(findings, (*path, key), f"{key!r} is no label key")
        read_value(_LABEL_VALUE, label, (*path, key), findings)
    return dict(sorted(value.items()))


@read_value.register
def _(form: SelectorText, value, path, findings):
    if not isinstance(value, str) or len(value) > SELECTOR_LIMIT:
        return _reject(findings, path, "a selector is a text such as 'zone in (a,b)'")
    try:
        return Selector(value)
    except ValueError as error:
        return _reject(findings, path, f"selector: {error}")


@read_value.register
def _(form: Window, value, path, findings):
    if not isinstance(value, list) or len(value) != 2 or value[0] == value[1]:
        return _reject(findings, path, "a window is [from, to], minutes of the UTC day")
    for index, minute in enumerate(value):
        read_value(_MINUTE, minute, (*path, index), findings)
    return tuple(value)


def _reject(findings, path, message):
    findings.append(Finding(path, message))


_LABEL_KEY = Text(LABEL_KEY_PATTERN, "zone")
_LABEL_VALUE = Text(LABEL_VALUE_PATTERN, "trondheim-a")
_MINUTE = Integer(0, MINUTES_PER_DAY)
