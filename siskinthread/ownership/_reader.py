"""Reader that folds the ownership stream."""

from siskinthread.configuration._reading import Condition
from siskinthread.ownership._fold import find_base
from siskinthread.ownership._tail import LogTail


class ClaimReading:
    """Result of reading the stream to its end.

    Parameters
    ----------
    condition : Condition
        Whether the stream could be read on from the last folded record.
    detail : str
        Explanation of any other condition than ``GOOD``.
    verdicts : list of ClaimVerdict
        Verdicts of the folded records.
    diverged : bool
        Whether a snapshot in the stream contradicts the reader's fold.
    """

    __slots__ = ("condition", "detail", "diverged", "verdicts")

    def __init__(self, condition, detail="", verdicts=(), diverged=False):
        self.condition = condition
        self.detail = detail
        self.verdicts = list(verdicts)
        self.diverged = diverged


class ClaimReader:
    """Reader that keeps a fold up to date; its fencing numbers never decrease.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the ownership stream.

    Attributes
    ----------
    fold : OwnershipFold or None
        None until the stream was read from a usable base.
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
            Of any other condition than ``GOOD`` if the stream could not be followed.

        Raises
        ------
        PlatformUnavailableError
            If the log gave no answer; records folded so far stay folded.
        """
        if self.fold is None:
            return await self._start()
        verdicts = []
        diverged = False
        while True:
            reading = await self._tail.read_on()
            if reading.condition is Condition.GAP:
                # Without a usable base, the next read must find the gap again rather
                # than continue after it.
                self._tail.seek(self.fold.applied_offset + 1)
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
        records, first_offset = await _read_all(tail)
        fold = find_base(records, first_offset)
        if fold is None:
            detail = f"the stream starts at {first_offset}, no snapshot fits"
            return ClaimReading(Condition.GAP, detail)
        kept = [record for record in records if record.offset > fold.applied_offset]
        verdicts = [fold.apply(record) for record in kept]
        if self._would_regress(fold):
            detail = "the stream holds older claims than were read"
            return ClaimReading(Condition.REWRITTEN, detail)
        self.fold = fold
        self._tail = tail
        return ClaimReading(Condition.GOOD, "", verdicts)

    def _would_regress(self, fold):
        if self.fold is None:
            return False
        if fold.applied_offset < self.fold.applied_offset:
            return True
        return any(
            group in fold.owners and fold.fencing(group) < owner.fencing
            for group, owner in self.fold.owners.items()
        )


async def _read_all(tail):
    """Return all retained records of a stream and the offset of the first."""
    records = []
    first_offset = 0
    while True:
        reading = await tail.read_on()
        if reading.condition is Condition.GAP:
            # Earlier records have expired, perhaps while they were being read.
            records = []
            at_start = reading.records
            first_offset = at_start[0].offset if at_start else tail.next_offset
        elif reading.condition is not Condition.GOOD:
            tail.restart()
            records, first_offset = [], 0
            continue
        records += reading.records
        if reading.at_end:
            return records, first_offset
