"""Reports of the operators' commands, as text and as JSON."""

import functools
import json
from datetime import datetime, UTC

from siskinthread.configuration._objects import kind_of, KINDS
from siskinthread.configuration._operations import InForce, Superseded
from siskinthread.configuration._publisher import (
    Conflict,
    OutcomeUnknown,
    Published,
    Rejected,
)
from siskinthread.configuration._records import Change
from siskinthread.configuration._schema import plain_object

EXIT_SUCCESS = 0
EXIT_FAILED = 1
EXIT_INVALID_FILE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4


class Report:
    """Output of a command, and its exit code.

    Parameters
    ----------
    exit_code : int
        0 success, 1 failure, 2 invalid file, 3 conflict, 4 unknown outcome.
    text : str
        Human-readable output.
    plain : dict
        Output for ``--json``.
    """

    __slots__ = ("exit_code", "plain", "text")

    def __init__(self, exit_code, text, plain):
        self.exit_code = exit_code
        self.text = text
        self.plain = plain

    def with_warnings(self, warnings):
        """Return a copy of the report with warnings placed before its text."""
        text = "\n".join([f"warning: {item}" for item in warnings] + [self.text])
        return Report(self.exit_code, text, {**self.plain, "warnings": warnings})

    def render(self, as_json):
        """Return the text to print."""
        return json.dumps(self.plain, indent=2) if as_json else self.text


@functools.singledispatch
def report_outcome(outcome):
    """Return the `Report` of the outcome of a publication."""
    raise TypeError(f"unknown outcome {outcome!r}")


@report_outcome.register
def _(outcome: Published):
    earlier = " by an earlier run" if outcome.earlier else ""
    return _outcome_report(
        EXIT_SUCCESS,
        f"Accepted as version {outcome.version}{earlier}.",
        "accepted",
        version=outcome.version,
        earlier=outcome.earlier,
    )


@report_outcome.register
def _(outcome: InForce):
    return _outcome_report(
        EXIT_SUCCESS,
        f"Nothing to publish: version {outcome.version} is as the files say.",
        "in_force",
        version=outcome.version,
    )


@report_outcome.register
def _(outcome: Conflict):
    return _outcome_report(
        EXIT_CONFLICT,
        f"Not accepted, and never will be: {outcome.author} published version "
        f"{outcome.version} first (id {outcome.record_id}). See what changed with "
        "'siskinthread config history' and publish again.",
        "conflict",
        version=outcome.version,
        author=outcome.author,
        record_id=outcome.record_id,
    )


@report_outcome.register
def _(outcome: Superseded):
    return _outcome_report(
        EXIT_CONFLICT,
        f"These files were published as version {outcome.published_version}, and "
        f"changed since; version {outcome.version} by {outcome.author} is in force. "
        f"To publish them once more, add --expect {outcome.version}.",
        "superseded",
        published_version=outcome.published_version,
        version=outcome.version,
        author=outcome.author,
    )


@report_outcome.register
def _(outcome: Rejected):
    text = f"Not accepted: {outcome.reason}."
    return _outcome_report(EXIT_FAILED, text, "refused", reason=outcome.reason)


@report_outcome.register
def _(outcome: OutcomeUnknown):
    what = (
        "Not known whether the change was accepted"
        if outcome.appended
        else "This run published nothing; whether an earlier one did isn't known"
    )
    text = (
        f"{what}: {outcome.reason}. To find out, run the same command again, which "
        "can't publish it twice, or look for the id "
        f"{outcome.record_id!r} with 'siskinthread config history --id'."
    )
    return _outcome_report(
        EXIT_UNKNOWN,
        text,
        "not_known",
        record_id=outcome.record_id,
        appended=outcome.appended,
        reason=outcome.reason,
    )


def report_check(problems, warnings):
    """Return the `Report` of a check of files."""
    lines = [str(problem) for problem in problems]
    lines += [f"{warning} (warning)" for warning in warnings]
    lines.append(f"{len(problems)} problems, {len(warnings)} warnings.")
    plain = {
        "problems": [_plain_problem(problem) for problem in problems],
        "warnings": [_plain_problem(warning) for warning in warnings],
    }
    exit_code = EXIT_INVALID_FILE if problems else EXIT_SUCCESS
    return Report(exit_code, "\n".join(lines), plain)


def report_plan(plan, state):
    """Return the `Report` of a plan."""
    lines = [f"Against version {plan.base_version}:"]
    lines += [f"+ {_qualified_name(item)}" for item in plan.added]
    changed = {
        _qualified_name(item): _field_changes(item, state) for item in plan.replaced
    }
    for title, fields in changed.items():
        lines.append(f"~ {title}")
        lines += [f"    {name}: {old!r} -> {new!r}" for name, old, new in fields]
    lines += [f"- {kind}/{name}" for kind, name in plan.removed]
    if plan.is_empty():
        lines.append("nothing changes.")
    plain = {
        "version": plan.base_version,
        "added": [_qualified_name(item) for item in plan.added],
        "replaced": {
            title: {name: {"old": old, "new": new} for name, old, new in fields}
            for title, fields in changed.items()
        },
        "removed": [f"{kind}/{name}" for kind, name in plan.removed],
    }
    return Report(EXIT_SUCCESS, "\n".join(lines), plain)


def report_state(fold, kind, name):
    """Return the `Report` of the published state, of one kind or of one object."""
    if kind is None:
        return _state_overview(fold)
    table = getattr(fold.state, kind)
    if name is not None and name not in table:
        text = f"There is no {kind}/{name} in version {fold.state.version}."
        return Report(EXIT_FAILED, text, {"version": fold.state.version})
    chosen = table.values() if name is None else [table[name]]
    plain_objects = [plain_object(item) for item in chosen]
    plain = {"version": fold.state.version, "objects": {kind: plain_objects}}
    if name is not None:
        return Report(EXIT_SUCCESS, json.dumps(plain_objects[0], indent=2), plain)
    lines = [f"{item.name}  {_label_text(item.labels)}".rstrip() for item in chosen]
    return Report(EXIT_SUCCESS, "\n".join(lines), plain)


def report_history(verdicts):
    """Return the `Report` of the verdicts on records."""
    lines = []
    for verdict in verdicts:
        author = verdict.change.author if verdict.change else "-"
        what = verdict.reason or (_summary(verdict.change) if verdict.change else "")
        lines.append(
            f"{verdict.offset}  {_time_text(verdict.at_ms)}  {verdict.status}  "
            f"{author}  {what}".rstrip()
        )
    plain = {"records": [_plain_verdict(verdict) for verdict in verdicts]}
    return Report(EXIT_SUCCESS, "\n".join(lines), plain)


def _state_overview(fold):
    state = fold.state
    if state.version < 0:
        lines = ["No configuration was published yet."]
    else:
        lines = [f"Version {state.version} by {fold.last_author}"]
        lines.append(f"id {fold.last_record_id}")
    lines += [f"{kind}: {len(getattr(state, kind))}" for kind in KINDS]
    plain = {
        "version": state.version,
        "author": fold.last_author,
        "record_id": fold.last_record_id,
        "applied_offset": fold.applied_offset,
        "format_floor": fold.format_floor,
        "objects": {
            kind: [plain_object(item) for item in getattr(state, kind).values()]
            for kind in KINDS
        },
    }
    return Report(EXIT_SUCCESS, "\n".join(lines), plain)


def _outcome_report(exit_code, text, outcome, **fields):
    return Report(exit_code, text, {"outcome": outcome, **fields})


def _qualified_name(configured):
    return f"{kind_of(configured)}/{configured.name}"


def _field_changes(configured, state):
    new = plain_object(configured)
    old = plain_object(getattr(state, kind_of(configured))[configured.name])
    return [(name, old[name], new[name]) for name in new if old[name] != new[name]]


def _label_text(labels):
    return ",".join(f"{key}={value}" for key, value in labels.items())


def _summary(change):
    if not isinstance(change, Change):
        return f"raises the record format to {change.format_floor}"
    titles = [f"+{_qualified_name(item)}" for item in change.put]
    titles += [f"-{kind}/{name}" for kind, name in change.removed]
    shown = " ".join(titles[:4]) + (" ..." if len(titles) > 4 else "")
    return f"{change.message}: {shown}" if change.message else shown


def _time_text(at_ms):
    return datetime.fromtimestamp(at_ms / 1000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _plain_problem(problem):
    return {
        "source": problem.source_name,
        "line": problem.place.line,
        "column": problem.place.column,
        "message": problem.message,
    }


def _plain_verdict(verdict):
    plain = {
        "offset": verdict.offset,
        "at_ms": verdict.at_ms,
        "status": str(verdict.status),
        "reason": verdict.reason,
    }
    if verdict.change is not None:
        plain["record_id"] = verdict.change.record_id
        plain["author"] = verdict.change.author
        plain["message"] = verdict.change.message
        plain["summary"] = _summary(verdict.change)
    return plain
