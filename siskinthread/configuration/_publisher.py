"""Publication of a change with at-most-once effect.

The answer to an append can be lost after the append took effect, and an append may take
effect late.  The publisher therefore searches the log for its record id before each
append, and the fold ignores a repeated id, so several copies of a record have no
additional effect.
"""

import curio

from siskinthread.configuration._backoff import Backoff
from siskinthread.configuration._reader import LogReader
from siskinthread.configuration._reading import Condition
from siskinthread.configuration._records import (
    Change,
    content_digest,
    decode_body,
    encode_change,
    encode_floor,
    read_change,
    read_floor,
    RecordError,
)
from siskinthread.configuration._verdict import Status
from siskinthread.errors import PlatformUnavailableError

REJECTIONS = (Status.INVALID, Status.FORMAT_ABOVE_FLOOR)


class Published:
    """The change was accepted.

    Parameters
    ----------
    version : int
        Version created by the change.
    earlier : bool
        Whether the change was accepted before this publisher appended anything.
    """

    __slots__ = ("earlier", "version")

    def __init__(self, version, earlier):
        self.version = version
        self.earlier = earlier


class Conflict:
    """Another change was accepted first; this change never takes effect.

    Parameters
    ----------
    version : int
        Version in force.
    author, record_id : str
        Author and record id of the version in force.
    """

    __slots__ = ("author", "record_id", "version")

    def __init__(self, version, author, record_id):
        self.version = version
        self.author = author
        self.record_id = record_id


class Rejected:
    """The change was not accepted and never takes effect.

    Parameters
    ----------
    reason : str
        Reason for the rejection.
    """

    __slots__ = ("reason",)

    def __init__(self, reason):
        self.reason = reason


class OutcomeUnknown:
    """The outcome is unknown; the change may have taken effect or may do so later.

    Parameters
    ----------
    record_id : str
        Id to search for in the log.
    appended : bool
        Whether an append was attempted; if not, this run published nothing.
    reason : str
        Reason why the outcome is unknown.
    """

    __slots__ = ("appended", "reason", "record_id")

    def __init__(self, record_id, appended, reason):
        self.record_id = record_id
        self.appended = appended
        self.reason = reason


class Publisher:
    """Publishes one change.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the configuration stream.
    change : Change or FloorChange
        Change to publish.
    settings : ConfigurationSettings
        Size limit and back-off.
    random : random.Random
        Source of the jitter.
    """

    __slots__ = (
        "_appended",
        "_backoff",
        "_body",
        "_change",
        "_client",
        "_limit_bytes",
        "_reader",
        "_stream",
    )

    def __init__(self, client, stream, change, settings, random):
        self._client = client
        self._stream = stream
        self._change = change
        self._body = _encode(change)
        self._limit_bytes = settings.record_limit_bytes
        self._reader = LogReader(client, stream)
        self._backoff = Backoff(settings, random)
        self._appended = False

    async def publish(self, deadline):
        """Publish the change.

        Parameters
        ----------
        deadline : Deadline
            Deadline for determining the outcome.

        Returns
        -------
        Published, Conflict, Rejected or OutcomeUnknown
        """
        defect = self._find_defect()
        if defect:
            return Rejected(defect)
        reason = "the deadline had passed"
        while not deadline.passed():
            try:
                outcome = self._determine_outcome(await self._reader.catch_up())
                if outcome is not None:
                    return outcome
                self._appended = True
                await self._client.append(self._stream, self._body)
            except PlatformUnavailableError as error:
                reason = str(error)
                wait_s = self._backoff.next_wait_s()
                await curio.sleep(min(wait_s, deadline.left_s()))
        return OutcomeUnknown(self._change.record_id, self._appended, reason)

    def _find_defect(self):
        if len(self._body) > self._limit_bytes:
            return f"the record is longer than {self._limit_bytes} bytes"
        reader = read_change if isinstance(self._change, Change) else read_floor
        try:
            reader(decode_body(self._body))
        except RecordError as error:
            return str(error)
        return ""

    def _determine_outcome(self, reading):
        change = self._change
        if reading.condition is not Condition.GOOD:
            return self._unreadable(reading)
        fold = self._reader.fold
        accepted = fold.accepted_ids.get(change.record_id)
        if accepted is not None:
            return self._compare_accepted(accepted)
        for verdict in reading.verdicts:
            if verdict.status in REJECTIONS and self._is_own(verdict.change):
                return Rejected(verdict.reason)
        version = fold.state.version
        if change.expected_version > version:
            expected = change.expected_version
            return Rejected(f"version {version} is in force, {expected} is yet to come")
        # Versions only increase, so a late copy of this record stays stale.
        if change.expected_version < version:
            return Conflict(version, fold.last_author, fold.last_record_id)
        return None

    def _compare_accepted(self, accepted):
        if accepted.content_digest != content_digest(self._change):
            record_id = self._change.record_id
            return Rejected(
                f"id {record_id!r} was used for another change, {accepted.offset}"
            )
        return Published(accepted.offset, earlier=not self._appended)

    def _unreadable(self, reading):
        reason = f"the log can't be followed ({reading.condition}): {reading.detail}"
        if self._appended:
            return OutcomeUnknown(self._change.record_id, True, reason)
        return Rejected(reason)

    def _is_own(self, other):
        return other is not None and _encode(other) == self._body


def _encode(change):
    if isinstance(change, Change):
        return encode_change(change)
    return encode_floor(change)
