"""Readers that convert a document's values to the kinds of their settings.

Each reader returns the converted value.  If the value is invalid, it records every
problem and returns ``INVALID`` instead of raising, so that all problems of a file are
reported at once.
"""

import math

from siskinthread.documents import Problem
from siskinthread.settings._kinds import (
    Address,
    AddressList,
    Choice,
    Key,
    KeyList,
    StringList,
)
from siskinthread.settings._suggestions import suggestion

INVALID = object()

# Frames between processes carry signed 64-bit integers.
_INTEGER_LIMIT = 2**63 - 1
_KEY_FIELDS = ("id", "secret")
_TYPE_NAMES = {
    bool: "a boolean",
    dict: "an object",
    float: "a number",
    int: "a number",
    list: "a list",
    str: "a string",
    type(None): "null",
}


class Reading:
    """The document being read and the problems found so far.

    Parameters
    ----------
    document : Document
    """

    __slots__ = ("_document", "problems")

    def __init__(self, document):
        self._document = document
        self.problems = list(document.problems)

    def report(self, path, message):
        """Record a problem with a value and return ``INVALID``.

        Parameters
        ----------
        path : tuple of str or int
            Keys and indices that lead to the value.
        message : str
            Description of the problem.

        Returns
        -------
        object
            ``INVALID``.
        """
        self._add_problem(self._document.place(path), path, message)
        return INVALID

    def report_key(self, path, message):
        """Record a problem with a key."""
        self._add_problem(self._document.key_place(path), path, message)

    def _add_problem(self, place, path, message):
        name = _dotted(path)
        message = f"{name}: {message}" if name else message
        self.problems.append(Problem(self._document.source_name, place, message))


def read_value(item, value, path, reading):
    """Read the value of a setting that is not a section.

    Parameters
    ----------
    item : Item
    value : object
        Value in the document.
    path : tuple of str or int
        Keys and indices that lead to the value.
    reading : Reading

    Returns
    -------
    object
        The value of the setting, or ``INVALID``.
    """
    if value is None and item.default is None:
        return None
    if isinstance(item.kind, Choice):
        return _read_choice(item.kind, value, path, reading)
    result = _READERS[item.kind](value, path, reading)
    if result is INVALID or item.minimum is None:
        return result
    return _check_minimum(item, result, path, reading)


def wrong_type(expected, value, path, reading):
    """Record that a value has the wrong type and return ``INVALID``.

    The message gives the type of the value instead of the value itself, which may be a
    misplaced secret.
    """
    found = _TYPE_NAMES[type(value)]
    return reading.report(path, f"expected {expected}, found {found}")


def unknown_key(key, known, path, reading):
    """Record a key that is not the name of a setting."""
    reading.report_key(path, f"unknown setting{suggestion(key, known)}")


def _check_minimum(item, value, path, reading):
    if isinstance(value, list):
        if len(value) < item.minimum:
            text = f"expected at least {item.minimum} elements, found {len(value)}"
            return reading.report(path, text)
    elif value < item.minimum:
        return reading.report(path, f"under the minimum {item.minimum}")
    return value


def _read_choice(choice, value, path, reading):
    expected = "one of " + ", ".join(f'"{word}"' for word in choice.options)
    if not isinstance(value, str):
        return wrong_type(expected, value, path, reading)
    if value not in choice.options:
        hint = suggestion(value, choice.options)
        return reading.report(path, f'expected {expected}, found "{value}"{hint}')
    return value


def _read_bool(value, path, reading):
    if not isinstance(value, bool):
        return wrong_type("a boolean", value, path, reading)
    return value


def _read_int(value, path, reading):
    if isinstance(value, float):
        return reading.report(path, f"expected a whole number, found {value}")
    # `bool` is a subclass of `int`.
    if isinstance(value, bool) or not isinstance(value, int):
        return wrong_type("a whole number", value, path, reading)
    if abs(value) > _INTEGER_LIMIT:
        return reading.report(path, "the number is too large")
    return value


def _read_float(value, path, reading):
    if isinstance(value, bool) or not isinstance(value, int | float):
        return wrong_type("a number", value, path, reading)
    try:
        number = float(value)
    except OverflowError:
        return reading.report(path, "the number is too large")
    # Every comparison with NaN is false, so a limit of NaN would never take effect.
    if not math.isfinite(number):
        return reading.report(path, f"expected a finite number, found {number}")
    return number


def _read_str(value, path, reading):
    if not isinstance(value, str):
        return wrong_type("a string", value, path, reading)
    return value


def _read_address(value, path, reading):
    if not isinstance(value, str):
        return wrong_type('a string "IP number:port"', value, path, reading)
    try:
        return Address.parse(value)
    except ValueError as error:
        return reading.report(path, str(error))


def _read_key(value, path, reading):
    expected = 'a key {"id": ..., "secret": ...}'
    if not isinstance(value, dict):
        return wrong_type(expected, value, path, reading)
    problem_count = len(reading.problems)
    for field in value:
        if field not in _KEY_FIELDS:
            unknown_key(field, _KEY_FIELDS, (*path, field), reading)
    for field in _KEY_FIELDS:
        _check_key_field(field, value, path, reading)
    if len(reading.problems) > problem_count:
        return INVALID
    return Key(value["id"], value["secret"])


def _check_key_field(field, value, path, reading):
    if field not in value:
        reading.report(path, f'missing "{field}"')
    elif not isinstance(value[field], str):
        wrong_type("a string", value[field], (*path, field), reading)
    elif not value[field]:
        reading.report((*path, field), "expected a string that is not empty")


def _read_list(list_class, read_element, value, path, reading):
    if not isinstance(value, list):
        return wrong_type("a list", value, path, reading)
    elements = [
        read_element(element, (*path, index), reading)
        for index, element in enumerate(value)
    ]
    if any(element is INVALID for element in elements):
        return INVALID
    return list_class(elements)


def _read_addresses(value, path, reading):
    return _read_list(AddressList, _read_address, value, path, reading)


def _read_strings(value, path, reading):
    return _read_list(StringList, _read_str, value, path, reading)


def _read_keys(value, path, reading):
    keys = _read_list(KeyList, _read_key, value, path, reading)
    if keys is INVALID:
        return INVALID
    if not keys:
        return reading.report(path, "expected at least one key")
    # With two secrets under one id, the order of the list would decide which secret
    # is used.
    ids = [key.id for key in keys]
    for index, key_id in enumerate(ids):
        if key_id in ids[:index]:
            reading.report((*path, index, "id"), f'repeated key id "{key_id}"')
    return keys


def _dotted(path):
    name = ""
    for part in path:
        if isinstance(part, int):
            name += f"[{part}]"
        else:
            name += f".{part}" if name else part
    return name


_READERS = {
    bool: _read_bool,
    int: _read_int,
    float: _read_float,
    str: _read_str,
    Address: _read_address,
    AddressList: _read_addresses,
    Key: _read_key,
    KeyList: _read_keys,
    StringList: _read_strings,
}
