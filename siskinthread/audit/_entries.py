"""Entries of the audit trail."""

import enum

from siskinthread.configuration._objects import kind_of
from siskinthread.configuration._records import Change
from siskinthread.configuration._verdict import Status

TITLES_LIMIT = 20
REASON_LIMIT = 500
DIGEST_LENGTH = 16


class Kind(enum.StrEnum):
    """What an entry is about."""

    CONFIGURATION = "configuration"
    OWNERSHIP = "ownership"
    EXPERT_MAP = "expert_map"
    LOST = "lost"


class Entry:
    """One event of the trail.

    Parameters
    ----------
    event_id : str
        The same whoever derives or writes the event, so that repeats are recognised.
    kind : Kind
        What it is about.
    at_ms : int
        When, Unix milliseconds; the log's time if the event is a record of it.
    who : str
        Author, or host of the process.
    what : str
        What was changed.
    outcome : str
        What became of it, such as "accepted".
    before, after : int, str or None
        Version, owner or map before and after it; `after` is None if nothing changed.
    offset : int or None
        Offset of the record in the stream of its kind.
    reason : str
        Why it was not accepted.
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

    def plain(self):
        """Return the entry as a plain dict for JSON."""
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
    def from_plain(cls, value):
        """Return the entry of a plain dict.

        Raises
        ------
        KeyError, TypeError or ValueError
            If it is none.
        """
        return cls(
            _text(value["id"]),
            Kind(value["kind"]),
            int(value["at_ms"]),
            _text(value["who"]),
            _text(value["what"]),
            _text(value["outcome"]),
            value["from"],
            value["to"],
            value["offset"],
            _text(value["reason"]),
        )


def source_event_id(kind, offset, digest):
    """Return the id of an event that a record of a stream is.

    Parameters
    ----------
    kind : Kind
        What the stream holds.
    offset : int
        Offset of the record.
    digest : str
        Its `record_digest`; a log that was shortened and written on holds another
        event at the same offset.
    """
    return f"{kind}/{offset}/{digest[:DIGEST_LENGTH]}"


def configuration_entry(verdict, digest):
    """Return the `Entry` of a verdict of the fold, or None for a snapshot."""
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
        Offset of its claim.
    old_version, version : int
        Version in force before, and the one to reach.
    outcome : siskinthread.experts.ChangeResult
        What became of it.
    at_ms : int
        Wall clock of the controller, Unix milliseconds.

    Notes
    -----
    One controller may try to reach a version several times; each outcome is an entry
    of its own, a repeated one isn't.
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
    """Return the `Entry` that says that records expired before they were read."""
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
    """Return the `Entry` that says how many events a full buffer dropped.

    Parameters
    ----------
    host, incarnation : str
        Process that dropped them.
    total : int
        Events since the process began; a later entry includes those of earlier ones,
        so that a repeated append counts nothing twice.
    at_ms : int
        Wall clock, Unix milliseconds.
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


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value
