"""Snapshots: the complete fold at an offset, appended to the log.

The log keeps records for a limited time, and hosts store nothing.  Without snapshots,
the first accepted records would expire, and a starting node could not rebuild the
state.  The content depends only on the fold, so all nodes write identical snapshots.
"""

import base64
import hashlib
import json

from siskinthread.configuration._fold import Fold
from siskinthread.configuration._forms import Finding, Integer, read_value, Text
from siskinthread.configuration._homes import Homes
from siskinthread.configuration._names import KEY_DIGEST_PATTERN
from siskinthread.configuration._objects import KINDS
from siskinthread.configuration._records import (
    decode_body,
    encode,
    OFFSET,
    read_format,
    RecordError,
)
from siskinthread.configuration._schema import plain_object, read_object
from siskinthread.configuration._state import State
from siskinthread.configuration._verdict import AcceptedId

ENVELOPE_BYTES = 512
PARTS_LIMIT = 10_000
_KIND_MARKER = b'"kind":"snapshot"'
_PART_FIELDS = {
    "applied_offset": OFFSET,
    "digest": Text(KEY_DIGEST_PATTERN, "64 hexadecimal digits"),
    "part": Integer(0, PARTS_LIMIT - 1),
    "parts": Integer(1, PARTS_LIMIT),
    "data": Text(r"[A-Za-z0-9+/=]*", "base64"),
}


class Snapshot:
    """A complete snapshot.

    Parameters
    ----------
    applied_offset : int
        Offset of the last record that the snapshot includes.
    format_version : int
        Format of the snapshot's records, which is the format floor at that offset.
    content : bytes
        JSON that `restore` reads.
    """

    __slots__ = ("applied_offset", "content", "format_version")

    def __init__(self, applied_offset, format_version, content):
        self.applied_offset = applied_offset
        self.format_version = format_version
        self.content = content


class SnapshotAssembler:
    """Assembles snapshots from their parts.

    Notes
    -----
    Parts from different writers are interchangeable if the content is the same.  The
    parts of a writer that died before the last part are dropped when a newer snapshot
    is complete.
    """

    __slots__ = ("_parts",)

    def __init__(self):
        self._parts = {}

    def add(self, record):
        """Add a record and return the `Snapshot` that it completes, or None."""
        part = _read_part(record.body)
        if part is None:
            return None
        key = (part["applied_offset"], part["digest"], part["parts"], part["format"])
        data_by_part = self._parts.setdefault(key, {})
        data_by_part[part["part"]] = part["data"]
        if len(data_by_part) < part["parts"]:
            return None
        del self._parts[key]
        return self._join(key, data_by_part)

    def _join(self, key, data_by_part):
        applied_offset, digest, _, format_version = key
        try:
            content = b"".join(
                base64.b64decode(data, validate=True)
                for _, data in sorted(data_by_part.items())
            )
        except ValueError:
            return None
        if hashlib.sha256(content).hexdigest() != digest:
            return None
        self._parts = {
            other: data for other, data in self._parts.items() if other > key
        }
        return Snapshot(applied_offset, format_version, content)


def snapshot_content(fold):
    """Return the canonical content of a snapshot of a fold."""
    state = fold.state
    return encode(
        {
            "applied_offset": fold.applied_offset,
            "chain": fold.chain,
            "version": state.version,
            "format_floor": fold.format_floor,
            "last_author": fold.last_author,
            "last_record_id": fold.last_record_id,
            "accepted_ids": [
                [record_id, accepted.offset, accepted.at_ms, accepted.content_digest]
                for record_id, accepted in fold.accepted_ids.items()
            ],
            "homes": {
                name: [
                    [homes.version, homes.changed_at_ms, homes.hosts]
                    for homes in history
                ]
                for name, history in state.homes_histories.items()
            },
            "objects": {
                kind: [plain_object(item) for item in getattr(state, kind).values()]
                for kind in KINDS
            },
        }
    )


def encode_snapshot(fold, record_limit_bytes):
    """Return the record bodies of a snapshot of a fold.

    Parameters
    ----------
    fold : Fold
        The fold; not modified.
    record_limit_bytes : int
        Maximum length of a body.

    Returns
    -------
    list of bytes
        One body per part.
    """
    content = snapshot_content(fold)
    digest = hashlib.sha256(content).hexdigest()
    # Base64 encodes three bytes as four.
    size = (record_limit_bytes - ENVELOPE_BYTES) // 4 * 3
    slices = [content[start : start + size] for start in range(0, len(content), size)]
    return [
        encode(
            {
                "format": fold.format_floor,
                "kind": "snapshot",
                "applied_offset": fold.applied_offset,
                "digest": digest,
                "part": index,
                "parts": len(slices),
                "data": base64.b64encode(data).decode("ascii"),
            }
        )
        for index, data in enumerate(slices)
    ]


def restore(snapshot, known_format):
    """Return the `Fold` that a snapshot contains.

    Parameters
    ----------
    snapshot : Snapshot
        A complete snapshot.
    known_format : int
        Newest record format that this program can read.

    Raises
    ------
    RecordError
        If the snapshot has a newer format, or its content is invalid.
    """
    if snapshot.format_version > known_format:
        message = f"a snapshot has format {snapshot.format_version}"
        raise RecordError(
            [Finding((), f"{message}, this program knows {known_format}")]
        )
    try:
        return _restore(json.loads(snapshot.content), known_format)
    except (
        AttributeError,
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise RecordError([Finding((), f"unreadable snapshot: {error!r}")]) from error


def _restore(content, known_format):
    findings = []
    objects = [
        read_object(kind, plain, (kind, index), findings)
        for kind, plain_objects in content["objects"].items()
        for index, plain in enumerate(plain_objects)
    ]
    if findings:
        raise RecordError(findings)
    histories = {
        name: [Homes(*homes) for homes in history]
        for name, history in content["homes"].items()
    }
    fold = Fold(known_format)
    fold.state = State(content["version"], objects, homes_histories=histories)
    fold.applied_offset = content["applied_offset"]
    fold.chain = content["chain"]
    fold.format_floor = content["format_floor"]
    fold.last_author = content["last_author"]
    fold.last_record_id = content["last_record_id"]
    fold.accepted_ids = {
        record_id: AcceptedId(offset, at_ms, digest)
        for record_id, offset, at_ms, digest in content["accepted_ids"]
    }
    return fold


def contradicts(fold, record):
    """Return whether a record is part of a snapshot that differs from a fold.

    Only snapshots at the applied offset of the fold are compared.  A difference means
    that two nodes folded the same log to different states, which violates the guarantee
    that the configuration is the same on every node.
    """
    part = _read_part(record.body)
    if part is None or part["applied_offset"] != fold.applied_offset:
        return False
    return part["digest"] != hashlib.sha256(snapshot_content(fold)).hexdigest()


def _read_part(body):
    # Avoids parsing records of other kinds.
    if _KIND_MARKER not in body:
        return None
    try:
        value = decode_body(body)
        format_version, kind = read_format(value)
    except RecordError:
        return None
    if kind != "snapshot":
        return None
    findings = []
    part = {
        name: read_value(form, value.get(name), (name,), findings)
        for name, form in _PART_FIELDS.items()
    }
    if findings or part["part"] >= part["parts"]:
        return None
    return {**part, "format": format_version}
