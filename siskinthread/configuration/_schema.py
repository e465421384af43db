"""Fields of each kind of object, and conversion between objects and JSON."""

import functools

from siskinthread.configuration._forms import (
    Boolean,
    Finding,
    Integer,
    Labels,
    ListOf,
    Number,
    OneOf,
    read_value,
    SelectorText,
    Text,
    Window,
)
from siskinthread.configuration._names import (
    KEY_DIGEST_PATTERN,
    LIFETIME_LIMIT_S,
    METHOD_PATTERN,
    MODEL_PATTERN,
    NAME_PATTERN,
)
from siskinthread.configuration._objects import kind_of, KINDS
from siskinthread.configuration._selector import Selector

NAME = Text(NAME_PATTERN, "varsel-3")
_SELECTOR = SelectorText()
_RATE = Number(0, 1e9, above_zero=True)
_WEIGHT = Number(0, 1e6)

_FORMS = {
    "hosts": {},
    "services": {
        "kind": OneOf("engine", "plain"),
        "models": ListOf(Text(MODEL_PATTERN, "triage-7b"), 1000),
        "idempotent_methods": ListOf(Text(METHOD_PATTERN, "GET"), 32),
        "lifetime_limit_s": Number(0, LIFETIME_LIMIT_S, above_zero=True),
    },
    "groups": {
        "service": NAME,
        "hosts": _SELECTOR,
        "checks_fencing": Boolean(),
        "skew_weight": _WEIGHT,
        "cost_weight": _WEIGHT,
        "quiet_windows": ListOf(Window(), 32),
    },
    "accounts": {
        "key_digests": ListOf(Text(KEY_DIGEST_PATTERN, "64 hexadecimal digits"), 16)
    },
    "placements": {"services": _SELECTOR, "hosts": _SELECTOR},
    "policies": {
        "accounts": _SELECTOR,
        "services": _SELECTOR,
        "hosts": _SELECTOR,
        "priority": Integer(0, 1000),
    },
    "limits": {
        "accounts": _SELECTOR,
        "requests_per_s": _RATE,
        "tokens_per_s": _RATE,
        "burst_s": Number(0, 3600, above_zero=True),
    },
}
FIELDS = {
    kind: {"name": NAME, "labels": Labels(), **forms} for kind, forms in _FORMS.items()
}
# The publisher fills in defaults, never the fold: if a default changed between program
# versions, two nodes would fold the same record differently.
_DEFAULTS = {
    "labels": {},
    "models": [],
    "idempotent_methods": ["GET", "HEAD"],
    "lifetime_limit_s": 300.0,
    "checks_fencing": False,
    "skew_weight": 1.0,
    "cost_weight": 1.0,
    "quiet_windows": [],
    "burst_s": 2.0,
}


def with_defaults(kind, value):
    """Return a JSON dict of an object with omitted fields set to their defaults."""
    filled = {name: _DEFAULTS[name] for name in FIELDS[kind] if name in _DEFAULTS}
    return {**filled, **value}


def read_object(kind, value, path, findings):
    """Validate the JSON form of an object and build the object.

    No defaults are applied: every field must be present.

    Parameters
    ----------
    kind : str
        Key of `KINDS`.
    value : object
        Plain JSON value.
    path : tuple
        Keys and indices that lead to the object.
    findings : list of Finding
        Problems are appended to this list.

    Returns
    -------
    object or None
        None if the value has a problem.
    """
    if not isinstance(value, dict):
        findings.append(Finding(path, "an object is a dict of fields"))
        return None
    found_before = len(findings)
    fields = FIELDS[kind]
    for name in value.keys() - fields.keys():
        findings.append(Finding((*path, name), f"{name!r} is no field of {kind}"))
    for name in fields.keys() - value.keys():
        findings.append(Finding(path, f"field {name!r} is missing"))
    arguments = {
        name: read_value(form, value[name], (*path, name), findings)
        for name, form in fields.items()
        if name in value
    }
    if len(findings) > found_before:
        findings[found_before:] = sorted(findings[found_before:], key=str)
        return None
    return KINDS[kind](**arguments)


def plain_object(configured):
    """Return an object as the JSON dict that `read_object` accepts."""
    return {
        name: plain_value(getattr(configured, name))
        for name in FIELDS[kind_of(configured)]
    }


@functools.singledispatch
def plain_value(value):
    """Return the JSON value of a field."""
    return value


@plain_value.register
def _(value: Selector):
    return value.text


@plain_value.register
def _(value: tuple):
    return list(value)


@plain_value.register
def _(value: list):
    return [plain_value(item) for item in value]


def same_object(one, other):
    """Return whether two objects have the same kind and fields."""
    return type(one) is type(other) and plain_object(one) == plain_object(other)
