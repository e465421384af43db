"""Entries of the audit trail."""

import enum

from siskinthread.configuration._objects import kind_of
from siskinthread.configuration._records import Change
from siskinthread.configuration._verdict import Status

TITLES_LIMIT = 20
REASON_LIMIT = 500
DIGEST_LENGTH = 16


class Kind(enum.StrEnum):
    """Kind of event that an entry describes."""

    CONFIGURATION = "configuration"
    OWNERSHIP = "ownership"
    EXPERT_MAP = "expert_map"
    LOST = "lost"


class Entry:
    """One event of the audit trail.

    Parameters
    ----------
    event_id : str
        Identifier that does not depend on the process which derives or writes the
        event, so that repeats are recognised.
    kind : Kind
        Kind of event.
    at_ms : int
        Time of the event, Unix milliseconds; for a record of the log, the time that the
        log assigned.
    who : str
        Author of the change, or host of the process.
    what : str
        Description of the change.
    outcome : str
        Outcome of the change, such as "accepted".
    before, after : int, str or None
        Version, owner or map before and after the change; `after` is None if nothing
        changed.
    offset : int or None
        Offset of the record in the stream of its kind.
    reason : str
        Reason why the change was not accepted, truncated to `REASON_LIMIT` characters.
    """

    __slots__ = (
        "after",
        "at_ms",
        "before",
        "event_id",
        "kind",
        "offset",
        "outcome",
        "reason",
        "what",
        "who",
    )

    def __init__(
        self,
        event_id,
        kind,
        at_ms,
        who,
        what,
        outcome,
        before=None,
        after=None,
        offset=None,
        reason="",
    ):
        self.event_id = event_id
        self.kind = kind
        self.at_ms = at_ms
        self.who = who
        self.what = what
        self.outcome = outcome
        self.before = before
        self.after = after
        self.offset = offset
        self.reason = reason[:REASON_LIMIT]

    def as_dict(self):
        """Return the entry as a dict for JSON."""
        return {
            "id": self.event_id,
            "kind": str(self.kind),
            "at_ms": self.at_ms,
            "who": self.who,
            "what": self.what,
            "outcome": self.outcome,
            "from": self.before,
            "to": self.after,
            "offset": self.offset,
            "reason": self.reason,
        }

    @classmethod
    def from_dict(cls, value):
        """Return the entry that a dict from JSON describes.

        Raises
        ------
        KeyError, TypeError, ValueError or OverflowError
            If the dict does not describe an entry.
        """
        return cls(
            _require_text(value["id"]),
            Kind(value["kind"]),
            int(value["at_ms"]),
            _require_text(value["who"]),
            _require_text(value["what"]),
            _require_text(value["outcome"]),
            value["from"],
            value["to"],
            value["offset"],
            _require_text(value["reason"]),
        )


def source_event_id(kind, offset, digest):
    """Return the id of an event that is a record of a stream.

    Parameters
    ----------
    kind : Kind
        Kind of events in the stream.
    offset : int
        Offset of the record.
    digest : str
        `record_digest` of the record, which is needed because a log that lost records
        assigns their offsets to other events.
    """
    return f"{kind}/{offset}/{digest[:DIGEST_LENGTH]}"


def configuration_entry(verdict, digest):
    """Return the `Entry` of a fold's verdict on a record, or None for a snapshot."""
    if verdict.status is Status.SNAPSHOT:
        return None
    change = verdict.change
    accepted = verdict.status is Status.ACCEPTED
    return Entry(
        source_event_id(Kind.CONFIGURATION, verdict.offset, digest),
        Kind.CONFIGURATION,
        verdict.at_ms,
        change.author if change else "",
        _describe(change),
        str(verdict.status),
        change.expected_version if change else None,
        verdict.offset if accepted else None,
        verdict.offset,
        verdict.reason,
    )


def map_entry(group, host, fencing, old_version, version, outcome, at_ms):
    """Return the `Entry` of a change of a group's expert map.

    Parameters
    ----------
    group : str
        Name of the model group.
    host : str
        Host of the controller.
    fencing : int
        Fencing number of the controller, which is the offset of its claim.
    old_version, version : int
        Version in force before the change, and the version that the change introduces.
    outcome : siskinthread.experts.ChangeResult
        Outcome of the change.
    at_ms : int
        Wall-clock time of the controller, Unix milliseconds.

    Notes
    -----
    A controller may attempt a change to the same version several times.  Each different
    outcome has an entry of its own; a repeated outcome has the same id.
    """
    return Entry(
        f"{Kind.EXPERT_MAP}/{group}/{fencing}/{old_version}-{version}/{outcome}",
        Kind.EXPERT_MAP,
        at_ms,
        host,
        f"expert map of {group}, fencing number {fencing}",
        str(outcome),
        old_version,
        version if str(outcome) == "changed" else None,
    )


def lost_entry(source, first_offset, last_offset, at_ms):
    """Return the `Entry` that reports records which expired before they were read."""
    span = f"{first_offset}-{last_offset}"
    return Entry(
        f"{Kind.LOST}/{source}/{span}",
        Kind.LOST,
        at_ms,
        "",
        f"records {span} of the stream of kind {source} expired unread",
        "lost",
    )


def dropped_entry(host, incarnation, total, at_ms):
    """Return the `Entry` that reports how many events a full buffer dropped.

    Parameters
    ----------
    host, incarnation : str
        Process that dropped the events.
    total : int
        Events dropped since the process started.  The total is cumulative, so that a
        repeated append does not count an event twice.
    at_ms : int
        Wall-clock time, Unix milliseconds.
    """
    return Entry(
        f"{Kind.LOST}/{host}/{incarnation}/{total}",
        Kind.LOST,
        at_ms,
        host,
        f"{total} events in all were dropped by this process, its buffer was full",
        "lost",
    )


def _describe(change):
    if change is None:
        return "unreadable record"
    if not isinstance(change, Change):
        return f"record format {change.format_floor}"
    titles = [f"+{kind_of(item)}/{item.name}" for item in change.put]
    titles += [f"-{kind}/{name}" for kind, name in change.removed]
    shown = titles[:TITLES_LIMIT]
    if len(titles) > TITLES_LIMIT:
        shown.append(f"and {len(titles) - TITLES_LIMIT} more")
    return f"{change.record_id}: {' '.join(shown)}"


def _require_text(value):
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r}")
    return value
