"""Forms of single values, and how a JSON value is read against its form.

What a form accepts is part of the record format: two versions that judged one value
differently would fold one log to different states.  A change here needs a new format
version (``docs/design/configuration.md``).
"""

import functools
import re

from siskinthread.configuration._names import LABEL_KEY_PATTERN, LABEL_VALUE_PATTERN
from siskinthread.configuration._selector import Selector

LABELS_LIMIT = 64
SELECTOR_LIMIT = 2048
MINUTES_PER_DAY = 1440


class Finding:
    """Something wrong with one value.

    Parameters
    ----------
    path : tuple
        Keys and indices that lead to the value.
    message : str
        What is wrong with it.
    """

    __slots__ = ("message", "path")

    def __init__(self, path, message):
        self.path = path
        self.message = message

    def __str__(self):
        where = ".".join(str(step) for step in self.path)
        return f"{where}: {self.message}" if where else self.message


class Text:
    """A string that a pattern matches whole."""

    __slots__ = ("_pattern", "example")

    def __init__(self, pattern, example):
        self._pattern = re.compile(pattern)
        self.example = example

    def fits(self, value):
        """Return whether a value is such a string."""
        return isinstance(value, str) and bool(self._pattern.fullmatch(value))


class Word:
    """One of several words."""

    __slots__ = ("words",)

    def __init__(self, *words):
        self.words = words


class Number:
    """A number between two bounds; `above_zero` excludes zero itself."""

    __slots__ = ("above_zero", "maximum", "minimum")

    def __init__(self, minimum, maximum, above_zero=False):
        self.minimum = minimum
        self.maximum = maximum
        self.above_zero = above_zero


class Whole:
    """A whole number between two bounds."""

    __slots__ = ("maximum", "minimum")

    def __init__(self, minimum, maximum):
        self.minimum = minimum
        self.maximum = maximum


class Flag:
    """True or false."""

    __slots__ = ()


class ListOf:
    """A list without repeated items, each of one form."""

    __slots__ = ("item_form", "limit")

    def __init__(self, item_form, limit):
        self.item_form = item_form
        self.limit = limit


class Labels:
    """A dict of labels."""

    __slots__ = ()


class SelectorText:
    """The text of a `Selector`."""

    __slots__ = ()


class Window:
    """Two minutes of the UTC day, from and to; it may span midnight."""

    __slots__ = ()


@functools.singledispatch
def read_value(form, value, path, findings):
    """Read a JSON value against its form.

    Parameters
    ----------
    form : object
        One of the classes of this module.
    value : object
        Plain JSON value.
    path : tuple
        Where the value stands.
    findings : list of Finding
        What is wrong is added here.

    Returns
    -------
    object
        The value in the form that objects hold; None if it doesn't fit.
    """
    raise TypeError(f"unknown form {form!r}")


@read_value.register
def _(form: Text, value, path, findings):
    if form.fits(value):
        return value
    return _refuse(findings, path, f"{value!r} isn't a value such as {form.example!r}")


@read_value.register
def _(form: Word, value, path, findings):
    if isinstance(value, str) and value in form.words:
        return value
    return _refuse(findings, path, f"{value!r} is none of {', '.join(form.words)}")


@read_value.register
def _(form: Number, value, path, findings):
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _refuse(findings, path, f"{value!r} is no number")
    if not form.minimum <= value <= form.maximum:
        bounds = f"{form.minimum} to {form.maximum}"
        return _refuse(findings, path, f"{value!r} is outside {bounds}")
    if form.above_zero and value == 0:
        return _refuse(findings, path, "must be above zero")
    return float(value)


@read_value.register
def _(form: Whole, value, path, findings):
    if isinstance(value, bool) or not isinstance(value, int):
        return _refuse(findings, path, f"{value!r} is no whole number")
    if not form.minimum <= value <= form.maximum:
        bounds = f"{form.minimum} to {form.maximum}"
        return _refuse(findings, path, f"{value!r} is outside {bounds}")
    return value


@read_value.register
def _(form: Flag, value, path, findings):
    if isinstance(value, bool):
        return value
    return _refuse(findings, path, f"{value!r} is neither true nor false")


@read_value.register
def _(form: ListOf, value, path, findings):
    if not isinstance(value, list):
        return _refuse(findings, path, f"{value!r} is no list")
    if len(value) > form.limit:
        return _refuse(findings, path, f"more than {form.limit} items")
    items = []
    for index, item in enumerate(value):
        if item in value[:index]:
            _refuse(findings, (*path, index), f"{item!r} is repeated")
        items.append(read_value(form.item_form, item, (*path, index), findings))
    return items


@read_value.register
def _(form: Labels, value, path, findings):
    if not isinstance(value, dict):
        return _refuse(findings, path, f"{value!r} is no dict of labels")
    if len(value) > LABELS_LIMIT:
        return _refuse(findings, path, f"more than {LABELS_LIMIT} labels")
    for key, label in value.items():
        if not _LABEL_KEY.fits(key):
            _refuse(findings, (*path, key), f"{key!r} is no label key")
        read_value(_LABEL_VALUE, label, (*path, key), findings)
    return dict(sorted(value.items()))


@read_value.register
def _(form: SelectorText, value, path, findings):
    if not isinstance(value, str) or len(value) > SELECTOR_LIMIT:
        return _refuse(findings, path, "a selector is a text such as 'zone in (a,b)'")
    try:
        return Selector(value)
    except ValueError as error:
        return _refuse(findings, path, f"selector: {error}")


@read_value.register
def _(form: Window, value, path, findings):
    if not isinstance(value, list) or len(value) != 2 or value[0] == value[1]:
        return _refuse(findings, path, "a window is [from, to], minutes of the UTC day")
    for index, minute in enumerate(value):
        read_value(_MINUTE, minute, (*path, index), findings)
    return tuple(value)


def _refuse(findings, path, message):
    findings.append(Finding(path, message))


_LABEL_KEY = Text(LABEL_KEY_PATTERN, "zone")
_LABEL_VALUE = Text(LABEL_VALUE_PATTERN, "trondheim-a")
_MINUTE = Whole(0, MINUTES_PER_DAY)
