"""Label selectors, for example ``zone in (a,b), tier!=spare``."""

import re

from siskinthread.configuration._names import LABEL_KEY_PATTERN, LABEL_VALUE_PATTERN

_COMMA_OUTSIDE_BRACKETS = re.compile(r",(?![^(]*\))")
_KEY = f"(?P<key>{LABEL_KEY_PATTERN})"
_IN = re.compile(rf"{_KEY}\s+(?P<operator>in|notin)\s*\((?P<values>[^()]*)\)")
_EQUALS = re.compile(rf"{_KEY}\s*(?P<operator>!=|==?)\s*(?P<value>[^\s=!]*)")
_EXISTS = re.compile(rf"(?P<operator>!?)\s*{_KEY}")
_VALUE = re.compile(LABEL_VALUE_PATTERN)


class Requirement:
    """One condition on the value of one label.

    Parameters
    ----------
    key : str
        Key of the label.
    values : frozenset of str or None
        Values that the label is compared with; None for any value.
    negated : bool
        Whether the condition is negated: the label must be absent or have a value that
        is not among `values`.
    """

    __slots__ = ("key", "negated", "values")

    def __init__(self, key, values, negated):
        self.key = key
        self.values = values
        self.negated = negated

    def matches(self, labels):
        """Return whether a dict of labels meets the requirement."""
        if self.key not in labels:
            return self.negated
        found = self.values is None or labels[self.key] in self.values
        return found != self.negated


class Selector:
    """A conjunction of requirements on labels; an empty text matches all labels.

    Parameters
    ----------
    text : str
        Requirements joined by commas: ``key=value``, ``key!=value``,
        ``key in (a,b)``, ``key notin (a,b)``, ``key`` and ``!key``.

    Raises
    ------
    ValueError
        If the syntax is invalid; the message gives the position.

    Notes
    -----
    As in Kubernetes, negated requirements also match objects that lack the key.  The
    semantics of a selector are part of the record format: see ``docs/design``.
    """

    __slots__ = ("_requirements", "text")

    def __init__(self, text):
        self.text = text
        self._requirements = _parse(text)

    def matches(self, labels):
        """Return whether a dict of labels meets every requirement."""
        return all(requirement.matches(labels) for requirement in self._requirements)

    def __eq__(self, other):
        return isinstance(other, Selector) and self.text == other.text

    def __hash__(self):
        return hash(self.text)

    def __repr__(self):
        return f"Selector({self.text!r})"


def _parse(text):
    if not text.strip():
        return ()
    requirements = []
    start = 0
    for part in _COMMA_OUTSIDE_BRACKETS.split(text):
        requirements.append(_parse_requirement(part, start))
        start += len(part) + 1
    return tuple(requirements)


def _parse_requirement(part, start):
    stripped = part.strip()
    if match := _IN.fullmatch(stripped):
        values = [value.strip() for value in match["values"].split(",")]
        return _value_requirement(
            match, values, match["operator"] == "notin", part, start
        )
    if match := _EQUALS.fullmatch(stripped):
        return _value_requirement(
            match, [match["value"]], match["operator"] == "!=", part, start
        )
    if match := _EXISTS.fullmatch(stripped):
        return Requirement(match["key"], None, match["operator"] == "!")
    raise ValueError(f"can't read {stripped!r} at character {start + 1}")


def _value_requirement(match, values, negated, part, start):
    for value in values:
        if not _VALUE.fullmatch(value):
            place = start + part.find(value) + 1
            raise ValueError(f"{value!r} at character {place} is no label value")
    return Requirement(match["key"], frozenset(values), negated)
