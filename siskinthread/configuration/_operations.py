"""What the operators' commands do; each returns a value that ``_reports`` shows."""

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
    LostConflict,
    NotKnown,
    Published,
    Publisher,
    Refused,
)
from siskinthread.configuration._reader import LogReader
from siskinthread.configuration._reading import Condition
from siskinthread.errors import DocumentError, PlatformUnavailableError

ID_SEPARATOR = "."
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,59}")


class PublishRequest:
    """What an operator asks to publish.

    Parameters
    ----------
    files : ConfigurationFiles
        The files.
    replace : bool
        Whether kinds that the files list are replaced as a whole.
    author, message : str
        Who publishes, and why.
    name : str or None
        The operator's own name of the publication; at most one is accepted under it.
    expected_version : int or None
        Version that the files were made for; None for the one in force.
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
    """The files change nothing; the version is in force as they say."""

    __slots__ = ("version",)

    def __init__(self, version):
        self.version = version


class Superseded:
    """The files were published before, and something in them was changed since.

    Parameters
    ----------
    published_version, version : int
        Version that the files made, and the one in force.
    author : str
        Of the version in force.
    """

    __slots__ = ("author", "published_version", "version")

    def __init__(self, published_version, version, author):
        self.published_version = published_version
        self.version = version
        self.author = author


class Publication:
    """Outcome of a publication, and what the operator should know about it.

    Parameters
    ----------
    outcome : Published, InForce, Superseded, LostConflict, Refused or NotKnown
        What became of it.
    warnings : list of str
        For people.
    """

    __slots__ = ("outcome", "warnings")

    def __init__(self, outcome, warnings=()):
        self.outcome = outcome
        self.warnings = list(warnings)


class PublishedLog:
    """What the log holds.

    Parameters
    ----------
    fold : Fold
        The fold of all of it.
    verdicts : list of Verdict
        Of the records behind the snapshot that the fold started from.
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
    """Publish files so that a repeated run can't publish them twice.

    Returns
    -------
    Publication

    Raises
    ------
    DocumentError
        If the published state and the files together make no valid configuration.
    """
    if request.name is not None and not _NAME.fullmatch(request.name):
        reason = f"the id {request.name!r} isn't of the form change-4711"
        return Publication(Refused(reason))
    try:
        published = await read_published(client, settings, deadline, random)
    except PlatformUnavailableError as error:
        return Publication(NotKnown(request.name or "", False, str(error)))
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
    """Return the objects that files lead to, or raise DocumentError if invalid."""
    tables = planned_tables(files, state, replace)
    problems = files.find_inconsistencies(tables)
    if problems:
        raise DocumentError(problems)
    return tables


def _record_id(request, version):
    # The operator's name, or else the version that the files are published upon, and
    # what they say: a run that crashed and its repetition make one and the same id.
    if request.name is not None:
        name = request.name
    elif request.expected_version is not None:
        name = f"v{request.expected_version}"
    else:
        name = f"v{version}"
    content = publication_id(request.files, request.replace)
    return f"{name}{ID_SEPARATOR}{content}"


def _find_earlier(request, fold, plan, record_id):
    """Return the outcome if the log already tells it, or None."""
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
            return Refused(
                f"the id {request.name!r} was used for other content, version "
                f"{accepted.offset}"
            )
    return None


def _find_superseded(record_id, fold):
    # The files were published and overwritten since.  An operator who repeats a run
    # that crashed must not undo the newer change by it.
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
        return LostConflict(version, fold.last_author, fold.last_record_id)
    if expected is not None and expected > version:
        return Refused(f"version {version} is in force, {expected} is yet to come")
    return InForce(version) if plan.is_empty() else None
