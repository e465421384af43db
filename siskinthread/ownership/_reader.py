"""Reading the ownership stream into a fold."""

from siskinthread.configuration._reading import Condition
from siskinthread.ownership._fold import base_of
from siskinthread.ownership._tail import LogTail


class ClaimReading:
    """Outcome of reading the stream to its end.

    Parameters
    ----------
    condition : Condition
        Whether it could be followed.
    detail : str
        One sentence about any other condition than GOOD.
    verdicts : list of ClaimVerdict
        Of the records that were folded.
    diverged : bool
        Whether a snapshot contradicts the own fold.
    """

    __slots__ = ("condition", "detail", "diverged", "verdicts")

    def __init__(self, condition, detail="", verdicts=(), diverged=False):
        self.condition = condition
        self.detail = detail
        self.verdicts = list(verdicts)
        self.diverged = diverged


class ClaimReader:
    """Keeps a fold up to date with the stream; fencing numbers never fall.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the ownership stream.

    Attributes
    ----------
    fold : OwnershipFold or None
        None until the stream was read and had a place to start from.
    """

    __slots__ = ("_client", "_stream", "_tail", "fold")

    def __init__(self, client, stream):
        self._client = client
        self._stream = stream
        self._tail = LogTail(client, stream)
        self.fold = None

    async def catch_up(self):
        """Read to the end of the stream.

        Returns
        -------
        ClaimReading
            With any other condition than ``GOOD`` the fold is as before.

        Raises
        ------
        PlatformUnavailableError
            If the log gave no answer; what was folded stays.
        """
        if self.fold is None:
            return await self._start()
        verdicts = []
        diverged = False
        while True:
            reading = await self._tail.read_on()
            if reading.condition is Condition.GAP:
                # If there is no place to start from, the next read must meet the gap
                # again and not fold on behind it.
                self._tail.go_to(self.fold.applied_offset + 1)
                return await self._start()
            if reading.condition is not Condition.GOOD:
                detail = f"the stream was {reading.condition} behind what was read"
                return ClaimReading(reading.condition, detail, verdicts)
            for record in reading.records:
                diverged |= self.fold.contradicts(record)
                verdicts.append(self.fold.apply(record))
            if reading.at_end:
                return ClaimReading(Condition.GOOD, "", verdicts, diverged)

    async def _start(self):
        tail = LogTail(self._client, self._stream)
        records, first_offset = await _collect(tail)
        fold = base_of(records, first_offset)
        if fold is None:
            detail = f"the stream starts at {first_offset}, no snapshot fits"
            return ClaimReading(Condition.GAP, detail)
        kept = [record for record in records if record.offset > fold.applied_offset]
        verdicts = [fold.apply(record) for record in kept]
        if self._lowers(fold):
            detail = "the stream holds older claims than were read"
            return ClaimReading(Condition.REWRITTEN, detail)
        self.fold = fold
        self._tail = tail
        return ClaimReading(Condition.GOOD, "", verdicts)

    def _lowers(self, fold):
        if self.fold is None:
            return False
        if fold.applied_offset < self.fold.applied_offset:
            return True
        return any(
            group in fold.owners and fold.fencing(group) < owner.fencing
            for group, owner in self.fold.owners.items()
        )


async def _collect(tail):
    """Return all kept records of a stream and the offset of the first."""
    records = []
    first_offset = 0
    while True:
        reading = await tail.read_on()
        if reading.condition is Condition.GAP:
            # What came before expired, perhaps while it was being read.
            records = []
            at_start = reading.records
            first_offset = at_start[0].offset if at_start else tail.wanted
        elif reading.condition is not Condition.GOOD:
            tail.restart()
            records, first_offset = [], 0
            continue
        records += reading.records
        if reading.at_end:
            return records, first_offset
