"""Entry points of the operators' commands, which return reports."""

import random

import curio

from siskinthread.configuration._files import ConfigurationFiles
from siskinthread.configuration._operations import (
    check_consistency,
    publish,
    read_published,
)
from siskinthread.configuration._planning import (
    find_warnings,
    make_plan,
    planned_tables,
)
from siskinthread.configuration._reports import (
    report_check,
    report_history,
    report_outcome,
    report_plan,
    report_state,
)
from siskinthread.configuration._state import State
from siskinthread.errors import DocumentError
from siskinthread.shared_services import LogClient
from siskinthread.timing import Deadline, SYSTEM_CLOCK


def read_files(texts):
    """Return the `ConfigurationFiles` of pairs of text and file name.

    Raises
    ------
    DocumentError
        Lists the problems of all files.
    """
    files = ConfigurationFiles()
    for text, source_name in texts:
        files.add(text, source_name)
    if files.problems:
        raise DocumentError(files.problems)
    return files


def check_files(texts, settings, replace):
    """Check files and return the `Report`.

    Parameters
    ----------
    texts : list of tuple of str
        Pairs of text and file name.
    settings : OperatorSettings or None
        Access to the log whose state the files are checked against; None to check the
        files as a complete configuration.
    replace : bool
        As for `make_plan`.
    """
    files = ConfigurationFiles()
    for text, source_name in texts:
        files.add(text, source_name)
    if files.problems:
        # Objects that could not be read would cause spurious findings in the checks
        # below.
        return report_check(files.problems, [])
    state = State(-1, []) if settings is None else _fold(settings).state
    tables = planned_tables(files, state, replace)
    problems = files.find_inconsistencies(tables)
    return report_check(problems, files.find_unmatched_selectors(tables))


def diff_files(texts, settings, replace):
    """Return the `Report` of the changes that files would make."""
    files = read_files(texts)
    state = _fold(settings).state
    tables = check_consistency(files, state, replace)
    report = report_plan(make_plan(files, state, replace), state)
    return report.with_warnings(find_warnings(files, state, tables))


def publish_files(settings, request):
    """Publish files and return the `Report` of the outcome."""
    publication = _run(settings, publish, request)
    return report_outcome(publication.outcome).with_warnings(publication.warnings)


def show_state(settings, kind, name):
    """Return the `Report` of the published state."""
    return report_state(_fold(settings), kind, name)


def show_history(settings, last, record_id):
    """Return the `Report` of the last records, or of the last ones with an id."""
    verdicts = _run(settings, _read_history).verdicts
    if record_id is not None:
        verdicts = [
            verdict
            for verdict in verdicts
            if verdict.change is not None
            and record_id in (verdict.change.record_id, _name_of(verdict.change))
        ]
    return report_history(verdicts[-last:])


def _name_of(change):
    return change.record_id.partition(".")[0]


def _fold(settings):
    return _run(settings, _read).fold


async def _read(client, settings, deadline, source):
    return await read_published(client, settings, deadline, source)


async def _read_history(client, settings, deadline, source):
    return await read_published(client, settings, deadline, source, whole_history=True)


def _run(settings, operation, *arguments):
    return curio.run(_with_client, settings, operation, arguments)


async def _with_client(settings, operation, arguments):
    client = LogClient(settings)
    deadline = Deadline.after(SYSTEM_CLOCK, settings.deadline_s)
    try:
        return await operation(
            client, settings, *arguments, deadline, random.SystemRandom()
        )
    finally:
        await client.close()
