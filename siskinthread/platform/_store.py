"""Client of the platform's store, which is a log of records by topic."""

import json
from urllib.parse import quote

import curio

from siskinthread.errors import (
    PlatformRefusedError,
    PlatformUnavailableError,
    PositionExpiredError,
    RecordsUnreadError,
    SourceRestoredError,
)
from siskinthread.platform._store_era import EraReader
from siskinthread.platform._store_records import (
    framed,
    read_end,
    read_item,
    read_keyed,
    readable,
    split_records,
)
from siskinthread.shared_services import HttpClient, parse_json
from siskinthread.source_eras import Position

SERVICE = "platform store"
MILLISECONDS_PER_SECOND = 1000
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412
# Topics that hold a value for each key have one partition.
ONLY_PARTITION = 0
JSON_HEADER = ("content-type", "application/json")


class Joined:
    """What a member of a group holds.

    Parameters
    ----------
    generation : int
        Rises with each change of the group.
    partitions : list of int
        Partitions that belong to the member.
    era : int or None
        Era of the store, in which the generation means something.
    """

    __slots__ = ("era", "generation", "partitions")

    def __init__(self, generation, partitions, era):
        self.era = era
        self.generation = generation
        self.partitions = partitions


class _StoreAnswer:
    """Body of an answer, and the era that the store was in."""

    __slots__ = ("body", "era")

    def __init__(self, body, era):
        self.body = body
        self.era = era


class StoreClient:
    """Reads topics that hold the newest value for each key.

    Parameters
    ----------
    address : siskinthread.settings.Address
        Where the store listens.
    answer_wait_s : float
        Longest wait for an answer, seconds.
    call_count : prometheus_client.Counter
        Counts calls by ``call``; each of them is paid for.
    eras : siskinthread.source_eras.EraWatch
        Told the era of each answer.  Positions of an earlier era are not used.
    """

    __slots__ = (
        "_answer_wait_s",
        "_call_count",
        "_era_reader",
        "_http",
        "_waiting",
        "eras",
    )

    def __init__(self, address, answer_wait_s, call_count, eras):
        self._http = HttpClient(SERVICE, address, answer_wait_s)
        self._answer_wait_s = answer_wait_s
        self._call_count = call_count
        self._era_reader = EraReader(eras)
        # Tasks whose reads wait for records.
        self._waiting = set()
        self.eras = eras
        eras.listen(self._give_up_waiting)

    async def read_newest(self, topic):
        """Return the newest record of each key, and the position behind them.

        The pages of a long answer are read one after the other while records are
        added.  The position is that of the first page, so that what was added
        meanwhile is read again behind it.

        Returns
        -------
        tuple
            List of `KeyedRecord`, and a `Position` for `read_changes`.

        Raises
        ------
        PlatformUnavailableError
            If no readable answer came in time.
        SourceRestoredError
            If the store was restored between two pages.
        """
        records = []
        position = None
        after = ""
        while True:
            target = f"/siskinthread/log-newest?topic={topic}&part={ONLY_PARTITION}"
            if after:
                target += f"&after={quote(after, safe='')}"
            answer = await self._call("newest", "GET", target)
            page = parse_json(SERVICE, answer.body)
            try:
                if position is None:
                    # "end" is the offset that the next record will get.
                    position = Position(answer.era, int(page["end"]))
                self._check_era(position)
                items = [read_item(item) for item in page["items"]]
                records += readable(items, topic)
                if not page["has_more"]:
                    return records, position
                after = page["items"][-1]["key"]
            except (KeyError, TypeError, ValueError, IndexError) as error:
                raise _unreadable(error) from error

    async def write(self, topic, records, position=None):
        """Write the newest values of some keys, all of them or none.

        Parameters
        ----------
        topic : str
            Name of the topic.
        records : list of KeyedRecord
            The values; None drops a key.
        position : siskinthread.source_eras.Position or None
            Where the records must come to stand; None for anywhere.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time; they may have been written.
        RecordsUnreadError
            If there are records behind the position; nothing was written.
        SourceRestoredError
            If the position is of an earlier era; nothing was written.
        """
        body = b"".join(framed(record) for record in records)
        target = f"/siskinthread/log-append?topic={topic}&part={ONLY_PARTITION}"
        if position is not None:
            self._check_era(position)
            target += f"&at={position.offset}"
        try:
            await self._call("append", "POST", target, body)
        except PlatformRefusedError as error:
            if error.status == STATUS_CONDITION_FAILED:
                raise RecordsUnreadError(str(error)) from error
            raise

    async def join(self, group, member, topic, lapse_s, generation):
        """Join a group of members, or stay in it.

        Parameters
        ----------
        group, member, topic : str
            The group, this member, and the topic whose partitions are dealt out.
        lapse_s : float
            Time without a call after which the partitions pass to others, seconds.
        generation : int
            The last one that was received, 0 at first.

        Returns
        -------
        Joined

        Raises
        ------
        PlatformUnavailableError
            If no readable answer came in time.
        """
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": round(lapse_s * MILLISECONDS_PER_SECOND),
            "generation": generation,
        }
        content = json.dumps(body).encode()
        target = "/siskinthread/log-join"
        answer = await self._call("join", "POST", target, content, [JSON_HEADER])
        document = parse_json(SERVICE, answer.body)
        try:
            # Rows of topic, partition and committed offset.
            partitions = [int(row[1]) for row in document["parts"]]
            return Joined(int(document["generation"]), partitions, answer.era)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise _unreadable(error) from error

    async def leave(self, group, member):
        """Leave a group of members, so that its partitions pass to others at once.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time; they pass on when they lapse.
        """
        content = json.dumps({"group": group, "member": member}).encode()
        target = "/siskinthread/log-leave"
        await self._call("leave", "POST", target, content, [JSON_HEADER])

    async def read_changes(self, topic, position, wait_s=0.0):
        """Return all records from a position on, and the position behind them.

        An answer holds 1 MB at most.  The targets of a large fleet write more while a
        host is cut off, and a list that lacks the rest would count as just read.

        Parameters
        ----------
        topic : str
            Name of the topic.
        position : siskinthread.source_eras.Position
            From an earlier call.
        wait_s : float
            How long the store may wait for a record if there is none.

        Returns
        -------
        tuple
            List of `KeyedRecord`, oldest first, and the next position.

        Raises
        ------
        PositionExpiredError
            If the records at the position have been dropped.
        SourceRestoredError
            If the position is of an earlier era.
        PlatformUnavailableError
            If no readable answer came in time.
        """
        records = []
        while True:
            read, position, end = await self._read_some(topic, position, wait_s)
            records += read
            if not read or position.offset >= end:
                return readable(records, topic), position
            wait_s = 0.0

    async def _read_some(self, topic, position, wait_s):
        """Return the records of one answer, the position behind them, and the end."""
        self._check_era(position)
        target = (
            f"/siskinthread/log-read?topic={topic}&part={ONLY_PARTITION}"
            f"&from={position.offset}"
        )
        try:
            if wait_s:
                target += f"&wait_ms={round(wait_s * MILLISECONDS_PER_SECOND)}"
                answer = await self._call_waiting("read", target, wait_s)
            else:
                answer = await self._call("read", "GET", target)
        except PlatformRefusedError as error:
            self._check_era(position)
            if error.status == STATUS_GONE:
                raise PositionExpiredError(str(error)) from error
            raise
        self._check_era(position)
        if position.era is None and answer.era is not None:
            # The position may be older than the first era that was told.
            raise SourceRestoredError("the store tells its era now")
        try:
            contents = split_records(answer.body)
        except ValueError as error:
            raise _unreadable(error) from error
        read = [read_keyed(content) for content in contents]
        behind = Position(answer.era, position.offset + len(contents))
        return read, behind, read_end(answer.body)

    async def _call(self, name, method, target, body=b"", headers=(), extra_wait_s=0.0):
        """Return the `_StoreAnswer` to a call, which is sent once at most."""
        self._call_count.labels(name).inc()
        wait_s = self._answer_wait_s + extra_wait_s
        answer = await self._http.call(method, target, body, headers, wait_s)
        era = self._era_reader.read(answer.headers)
        await self.eras.note(era, told_by=SERVICE)
        if self.eras.is_over(era):
            # A kept connection may go on delivering what is no longer so.
            await self._http.close()
            raise PlatformUnavailableError(f"{SERVICE}: answer of era {era}, now over")
        if answer.status != STATUS_OK:
            text = f"{SERVICE}: {name} was answered with status {answer.status}"
            raise PlatformRefusedError(text, answer.status)
        return _StoreAnswer(answer.body, self.eras.newest)

    async def _call_waiting(self, name, target, wait_s):
        """Return the answer to a read that waits, unless an era begins meanwhile.

        Such a read may never be answered: it waits behind records that are gone.
        """
        calling = await curio.spawn(self._outcome_of, name, target, wait_s, daemon=True)
        self._waiting.add(calling)
        try:
            outcome = await calling.join()
        except curio.TaskError as error:
            if isinstance(error.__cause__, curio.TaskCancelled):
                raise SourceRestoredError("an era began while a read waited") from error
            raise
        finally:
            self._waiting.discard(calling)
            await calling.cancel()
        if isinstance(outcome, PlatformUnavailableError):
            raise outcome
        return outcome

    async def _outcome_of(self, name, target, wait_s):
        """Return the answer to a read that waits, or the error as a value."""
        try:
            return await self._call(name, "GET", target, extra_wait_s=wait_s)
        except PlatformUnavailableError as error:
            return error

    async def _give_up_waiting(self):
        current = await curio.current_task()
        for calling in self._waiting - {current}:
            await calling.cancel(blocking=False)

    def _check_era(self, position):
        if self.eras.is_over(position.era):
            text = f"position of era {position.era}; the store is in {self.eras.newest}"
            raise SourceRestoredError(text)


def _unreadable(error):
    return PlatformUnavailableError(f"{SERVICE}: unreadable answer: {error!r}")
