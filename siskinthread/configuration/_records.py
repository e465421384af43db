"""Records of the configuration stream, with JSON bodies.

Every body is an object with ``format`` and ``kind``.  ``format`` is the minimum format
version that a reader must support.  The kinds of format 1 are ``change``, ``floor``
(`siskinthread.configuration._fold`) and ``snapshot``
(`siskinthread.configuration._snapshots`).
"""

import collections
import hashlib
import json
import re

from siskinthread.configuration._forms import Finding, Integer, read_value, Text
from siskinthread.configuration._objects import kind_of, KINDS
from siskinthread.configuration._schema import NAME, plain_object, read_object

FORMAT_VERSION = 1
FIRST_FORMAT = 1
NESTING_LIMIT = 32
OFFSET = Integer(-1, 2**62)
_BRACKET = re.compile(r"[\[\]{}]")
_FORMAT = Integer(1, 2**31)
_RECORD_ID = Text(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,99}", "a short name")
_AUTHOR = Text(r"[^\x00-\x1f\x7f\ud800-\udfff]{1,100}", "a name of one line")
_MESSAGE = Text(r"[^\x00-\x1f\x7f\ud800-\udfff]{0,500}", "a text of one line")
_SHARED_FIELDS = {
    "record_id": _RECORD_ID,
    "author": _AUTHOR,
    "message": _MESSAGE,
    "expected_version": OFFSET,
}


class RecordError(ValueError):
    """The body of a record can't be read.

    Parameters
    ----------
    findings : list of Finding
        All problems of the body.
    """

    def __init__(self, findings):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class Change:
    """A change of the configuration.

    Parameters
    ----------
    record_id : str
        Id set by the publisher; identical on every retry.
    author : str
        Author of the change.
    message : str
        Reason for the change.
    expected_version : int
        Version of the state that the change applies to.
    put : list
        Objects to add or replace.
    removed : list of tuple of str
        Kind and name of each object to remove.
    """

    __slots__ = (
        "author",
        "expected_version",
        "message",
        "put",
        "record_id",
        "removed",
    )

    def __init__(self, record_id, author, message, expected_version, put, removed):
        self.record_id = record_id
        self.author = author
        self.message = message
        self.expected_version = expected_version
        self.put = put
        self.removed = removed


class FloorChange:
    """Raises the newest record format that the fold accepts.

    Parameters
    ----------
    record_id, author, message, expected_version
        As for `Change`.
    format_floor : int
        New floor; accepted only if it is one above the current floor.
    """

    __slots__ = ("author", "expected_version", "format_floor", "message", "record_id")

    def __init__(self, record_id, author, message, expected_version, format_floor):
        self.record_id = record_id
        self.author = author
        self.message = message
        self.expected_version = expected_version
        self.format_floor = format_floor


def encode(value):
    """Return the canonical JSON bytes of a plain value."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return text.encode("ascii")


def encode_change(change):
    """Return the body of a `Change`."""
    return encode({**_shared(change, "change"), **_contents(change)})


def encode_floor(change):
    """Return the body of a `FloorChange`."""
    return encode({**_shared(change, "floor"), "format_floor": change.format_floor})


def content_digest(change):
    """Return a digest of the content of a change.

    It doesn't depend on the author, the message, the record id or the expected version.
    """
    if isinstance(change, FloorChange):
        return _digest({"format_floor": change.format_floor})
    return _digest(_contents(change))


def decode_body(body):
    """Return the JSON object of a body.

    Raises
    ------
    RecordError
        If the body isn't a valid JSON object.

    Notes
    -----
    Nesting is limited before parsing.  The limit of the parser depends on the depth of
    the caller's stack, so one node could accept a record that another rejects.
    """
    try:
        text = body.decode("utf-8")
        _check_nesting(text)
        value = json.loads(
            text, object_pairs_hook=_build_unique_dict, parse_constant=_reject_constant
        )
    except ValueError as error:
        # The parser's message is not included: it varies between parser versions, and
        # reasons must be identical on every node.
        raise RecordError([Finding((), "unreadable")]) from error
    if not isinstance(value, dict):
        raise RecordError([Finding((), "the body is no object")])
    return value


def read_format(value):
    """Return the format version and kind of a decoded body, or raise RecordError."""
    findings = []
    read_value(_FORMAT, value.get("format"), ("format",), findings)
    read_value(NAME, value.get("kind"), ("kind",), findings)
    if findings:
        raise RecordError(findings)
    return value["format"], value["kind"]


def read_change(value):
    """Return the `Change` of a decoded body of kind ``change``."""
    findings = []
    shared = _read_shared(value, ("put", "removed"), findings)
    put = _read_put(value.get("put"), findings)
    removed = _read_removed(value.get("removed"), findings)
    targets = [(kind_of(configured), configured.name) for configured in put] + removed
    for target, count in sorted(collections.Counter(targets).items()):
        if count > 1:
            findings.append(Finding(target, "is changed twice"))
    if findings:
        raise RecordError(findings)
    return Change(**shared, put=put, removed=removed)


def read_floor(value):
    """Return the `FloorChange` of a decoded body of kind ``floor``."""
    findings = []
    shared = _read_shared(value, ("format_floor",), findings)
    floor = value.get("format_floor")
    read_value(_FORMAT, floor, ("format_floor",), findings)
    if findings:
        raise RecordError(findings)
    return FloorChange(**shared, format_floor=floor)


def _shared(change, kind):
    fields = {name: getattr(change, name) for name in _SHARED_FIELDS}
    return {"format": FIRST_FORMAT, "kind": kind, **fields}


def _contents(change):
    put = {}
    for configured in change.put:
        put.setdefault(kind_of(configured), []).append(plain_object(configured))
    for plain_objects in put.values():
        plain_objects.sort(key=lambda plain: plain["name"])
    removed = {}
    for kind, name in sorted(change.removed):
        removed.setdefault(kind, []).append(name)
    return {"put": put, "removed": removed}


def _digest(value):
    return hashlib.sha256(encode(value)).hexdigest()[:32]


def _read_shared(value, own_fields, findings):
    known = {"format", "kind", *_SHARED_FIELDS, *own_fields}
    for name in sorted(value.keys() - known):
        findings.append(Finding((), f"{name!r} is no field of the record"))
    return {
        name: read_value(form, value.get(name), (name,), findings)
        for name, form in _SHARED_FIELDS.items()
    }


def _read_put(value, findings):
    put = []
    for kind, plain_objects in _read_kinds(value, "put", findings):
        for index, plain in enumerate(plain_objects):
            put.append(read_object(kind, plain, ("put", kind, index), findings))
    return [configured for configured in put if configured is not None]


def _read_removed(value, findings):
    removed = []
    for kind, names in _read_kinds(value, "removed", findings):
        for index, name in enumerate(names):
            read_value(NAME, name, ("removed", kind, index), findings)
            removed.append((kind, str(name)))
    return removed


def _read_kinds(value, field, findings):
    if not isinstance(value, dict):
        findings.append(Finding((field,), "is no dict of lists"))
        return
    for kind, items in sorted(value.items()):
        if kind not in KINDS or not isinstance(items, list):
            findings.append(Finding((field, kind), "is no list of a known kind"))
        else:
            yield kind, items


def _check_nesting(text):
    depth = 0
    for bracket in _BRACKET.findall(text):
        depth += 1 if bracket in "[{" else -1
        if depth > NESTING_LIMIT:
            raise ValueError(f"nested deeper than {NESTING_LIMIT}")


def _build_unique_dict(pairs):
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("a key is repeated")
    return value


def _reject_constant(word):
    raise ValueError(f"{word} is no number of JSON")
