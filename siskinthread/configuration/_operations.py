"""Operations of the operators' commands; ``_reports`` renders their results."""

import re

import curio

from siskinthread.configuration._backoff import Backoff
from siskinthread.configuration._planning import (
    find_warnings,
    make_plan,
    planned_tables,
    publication_id,
)
from siskinthread.configuration._publisher import (
    Conflict,
    OutcomeUnknown,
    Published,
    Publisher,
    Rejected,
)
from siskinthread.configuration._reader import LogReader
from siskinthread.configuration._reading import Condition
from siskinthread.errors import DocumentError, PlatformUnavailableError

ID_SEPARATOR = "."
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,59}")


class PublishRequest:
    """An operator's request to publish files.

    Parameters
    ----------
    files : ConfigurationFiles
        Files to publish.
    replace : bool
        Whether kinds that the files list are replaced as a whole.
    author, message : str
        Author of the change, and its reason.
    name : str or None
        Name that the operator gives to the publication; at most one publication is
        accepted per name.
    expected_version : int or None
        Version that the files are based on; None for the version in force.
    """

    __slots__ = ("author", "expected_version", "files", "message", "name", "replace")

    def __init__(self, files, replace, author, message, name, expected_version):
        self.files = files
        self.replace = replace
        self.author = author
        self.message = message
        self.name = name
        self.expected_version = expected_version


class InForce:
    """The files change nothing: the version in force already matches them."""

    __slots__ = ("version",)

    def __init__(self, version):
        self.version = version


class Superseded:
    """The files were published before, and a later version changed their content.

    Parameters
    ----------
    published_version, version : int
        Version created from the files, and version in force.
    author : str
        Author of the version in force.
    """

    __slots__ = ("author", "published_version", "version")

    def __init__(self, published_version, version, author):
        self.published_version = published_version
        self.version = version
        self.author = author


class Publication:
    """Outcome of a publication, with warnings for the operator.

    Parameters
    ----------
    outcome : Published, InForce, Superseded, Conflict, Rejected or OutcomeUnknown
        Outcome.
    warnings : list of str
        Human-readable warnings.
    """

    __slots__ = ("outcome", "warnings")

    def __init__(self, outcome, warnings=()):
        self.outcome = outcome
        self.warnings = list(warnings)


class PublishedLog:
    """Content of the log.

    Parameters
    ----------
    fold : Fold
        Fold of all records.
    verdicts : list of Verdict
        Verdicts on the records after the snapshot that the fold started from.
    """

    __slots__ = ("fold", "verdicts")

    def __init__(self, fold, verdicts):
        self.fold = fold
        self.verdicts = verdicts


async def read_published(client, settings, deadline, random, whole_history=False):
    """Return the `PublishedLog`.

    Raises
    ------
    PlatformUnavailableError
        If the log can't be read or followed before the deadline.
    """
    stream = settings.configuration_stream
    reader = LogReader(client, stream, whole_history=whole_history)
    backoff = Backoff(settings.publishing, random)
    verdicts = []
    while True:
        try:
            reading = await reader.catch_up()
            break
        except PlatformUnavailableError:
            if deadline.passed():
                raise
            await curio.sleep(min(backoff.next_wait_s(), deadline.left_s()))
    if reading.condition is not Condition.GOOD:
        raise PlatformUnavailableError(f"log: {reading.condition}: {reading.detail}")
    verdicts.extend(reading.verdicts)
    return PublishedLog(reader.fold, verdicts)


async def publish(client, settings, request, deadline, random):
    """Publish files; a repeated run doesn't publish them twice.

    Returns
    -------
    Publication

    Raises
    ------
    DocumentError
        If the files applied to the published state give an inconsistent configuration.
    """
    if request.name is not None and not _NAME.fullmatch(request.name):
        reason = f"the id {request.name!r} isn't of the form change-4711"
        return Publication(Rejected(reason))
    try:
        published = await read_published(client, settings, deadline, random)
    except PlatformUnavailableError as error:
        return Publication(OutcomeUnknown(request.name or "", False, str(error)))
    fold = published.fold
    plan = make_plan(request.files, fold.state, request.replace)
    record_id = _record_id(request, fold.state.version)
    outcome = _find_earlier(request, fold, plan, record_id)
    if outcome is not None:
        return Publication(outcome)
    tables = check_consistency(request.files, fold.state, request.replace)
    warnings = find_warnings(request.files, fold.state, tables)
    change = plan.change(record_id, request.author, request.message)
    publisher = Publisher(
        client, settings.configuration_stream, change, settings.publishing, random
    )
    return Publication(await publisher.publish(deadline), warnings)


def check_consistency(files, state, replace):
    """Return the objects by kind and name after files are published.

    Raises
    ------
    DocumentError
        If these objects are inconsistent.
    """
    tables = planned_tables(files, state, replace)
    problems = files.find_inconsistencies(tables)
    if problems:
        raise DocumentError(problems)
    return tables


def _record_id(request, version):
    # Built from the operator's name, or else the version that the files are based on,
    # and a digest of the content, so that a repetition of a crashed run gets the same
    # id.
    if request.name is not None:
        name = request.name
    elif request.expected_version is not None:
        name = f"v{request.expected_version}"
    else:
        name = f"v{version}"
    content = publication_id(request.files, request.replace)
    return f"{name}{ID_SEPARATOR}{content}"


def _find_earlier(request, fold, plan, record_id):
    """Return the outcome if the log already determines it, or None."""
    accepted = fold.accepted_ids.get(record_id)
    if accepted is not None:
        return Published(accepted.offset, earlier=True)
    if request.name is not None:
        return _find_reused_name(request, fold) or _find_stale(request, fold, plan)
    if request.expected_version is None and not plan.is_empty():
        return _find_superseded(record_id, fold)
    return _find_stale(request, fold, plan)


def _find_reused_name(request, fold):
    prefix = f"{request.name}{ID_SEPARATOR}"
    for record_id, accepted in fold.accepted_ids.items():
        if record_id.startswith(prefix):
            return Rejected(
                f"the id {request.name!r} was used for other content, version "
                f"{accepted.offset}"
            )
    return None


def _find_superseded(record_id, fold):
    # The files were published and later overwritten.  Repeating a crashed run must not
    # undo the newer change.
    content = record_id.rpartition(ID_SEPARATOR)[2]
    suffix = f"{ID_SEPARATOR}{content}"
    for other, accepted in reversed(fold.accepted_ids.items()):
        if other.endswith(suffix):
            version = fold.state.version
            return Superseded(accepted.offset, version, fold.last_author)
    return None


def _find_stale(request, fold, plan):
    version, expected = fold.state.version, request.expected_version
    if expected is not None and expected < version:
        return Conflict(version, fold.last_author, fold.last_record_id)
    if expected is not None and expected > version:
        return Rejected(f"version {version} is in force, {expected} is yet to come")
    return InForce(version) if plan.is_empty() else None
