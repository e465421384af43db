"""Source of ownership changes: the ownership stream."""

from siskinthread.audit._entries import Entry, Kind, source_event_id
from siskinthread.audit._sources import SourceReading
from siskinthread.configuration._fold import record_digest
from siskinthread.configuration._reading import Condition
from siskinthread.ownership import ClaimReader, ClaimStatus

WITHOUT_ENTRY = (ClaimStatus.SNAPSHOT, ClaimStatus.INVALID)


class OwnershipSource:
    """Granted and rejected claims of the ownership stream.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the ownership stream.
    """

    __slots__ = ("_reader",)

    kind = Kind.OWNERSHIP

    def __init__(self, client, stream):
        self._reader = ClaimReader(client, stream)

    async def read_on(self):
        """Read the new records; return them as a `SourceReading`.

        Raises
        ------
        PlatformUnavailableError
            If the log does not answer.
        """
        reading = await self._reader.catch_up()
        entries = [
            ownership_entry(verdict)
            for verdict in reading.verdicts
            if verdict.status not in WITHOUT_ENTRY
        ]
        trouble = ""
        if reading.condition is not Condition.GOOD:
            trouble = f"{reading.condition}: {reading.detail}"
        records = [verdict.record for verdict in reading.verdicts]
        return SourceReading(records, entries, trouble)


def ownership_entry(verdict):
    """Return the `Entry` of a `ClaimVerdict`."""
    record, claim = verdict.record, verdict.claim
    who = f"{claim.host}/{claim.incarnation}" if claim else ""
    granted = verdict.status is ClaimStatus.GRANTED
    return Entry(
        source_event_id(Kind.OWNERSHIP, record.offset, record_digest(record)),
        Kind.OWNERSHIP,
        record.at_ms,
        who,
        f"group {claim.group}" if claim else "all groups",
        str(verdict.status),
        _format_owner(verdict.before),
        f"{who}@{record.offset}" if granted else None,
        record.offset,
        "" if granted or claim is None else f"made for claim {claim.supersedes}",
    )


def _format_owner(owner):
    if owner is None:
        return None
    return f"{owner.host}/{owner.incarnation}@{owner.fencing}"
