"""Client of the platform's store, a log of records by topic."""

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
from siskinthread.observability import part_logger
from siskinthread.platform._store_era import EraReader
from siskinthread.platform._store_records import (
    decode_item,
    decode_record,
    decoded_only,
    frame_record,
    NO_RECORDS_BYTES,
    read_end,
    split_records,
)
from siskinthread.shared_services import HttpClient, parse_json
from siskinthread.source_eras import FAILED_CHECK_INTERVAL_S, Position
from siskinthread.timing import SYSTEM_CLOCK

SERVICE = "platform store"
MILLISECONDS_PER_SECOND = 1000
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412
# Keyed topics have one partition.
ONLY_PARTITION = 0
JSON_HEADER = ("content-type", "application/json")
# Errors that decoding a malformed answer raises.
MALFORMED_ERRORS = (KeyError, TypeError, ValueError, IndexError, OverflowError)

_logger = part_logger("platform")


class GroupAssignment:
    """Assignment of a member of a group.

    Parameters
    ----------
    generation : int
        Rises with each change of the group.
    partitions : list of int
        Partitions that are assigned to the member.
    era : int or None
        Era of the store in which the generation is valid.
    """

    __slots__ = ("era", "generation", "partitions")

    def __init__(self, generation, partitions, era):
        self.era = era
        self.generation = generation
        self.partitions = partitions


class _StoreAnswer:
    """Body of an answer, and the era of the store at that time."""

    __slots__ = ("body", "era")

    def __init__(self, body, era):
        self.body = body
        self.era = era


class StoreClient:
    """Client of topics that hold the newest value of each key, and of member groups.

    Parameters
    ----------
    address : siskinthread.settings.Address
        Listening address of the store.
    answer_wait_s : float
        Longest wait for an answer, seconds.
    call_count : prometheus_client.Counter
        Counts calls by ``call``; each call has a price.
    eras : siskinthread.source_eras.EraWatch
        Notified of the era of each answer.  Positions of an earlier era are not used.
    """

    __slots__ = (
        "_answer_wait_s",
        "_call_count",
        "_era_reader",
        "_http",
        "_waiting_reads",
        "eras",
    )

    def __init__(self, address, answer_wait_s, call_count, eras):
        self._http = HttpClient(SERVICE, address, answer_wait_s)
        self._answer_wait_s = answer_wait_s
        self._call_count = call_count
        self._era_reader = EraReader(eras)
        # Tasks of reads that wait at the store for new records.
        self._waiting_reads = set()
        self.eras = eras
        eras.listen(self._cancel_waiting_reads)

    async def read_newest(self, topic):
        """Return the newest record of each key, and the position after them.

        The pages of a long answer are read one by one while records are added.  The
        position is that of the first page, so that records added meanwhile are read
        again from there.

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
                target += f"&after={_quote_key(after)}"
            answer = await self._call("newest", "GET", target)
            page = parse_json(SERVICE, answer.body)
            try:
                if position is None:
                    # "end" is the offset of the next record.
                    position = Position(answer.era, int(page["end"]))
                self._check_era(position)
                items = [decode_item(item) for item in page["items"]]
                records += decoded_only(items, topic)
                if not page["has_more"]:
                    return records, position
                after = str(page["items"][-1]["key"])
            except MALFORMED_ERRORS as error:
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
            Position at which the records must be appended; None for any.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time; the records may have been written.
        RecordsUnreadError
            If there are records after the position; nothing was written.
        SourceRestoredError
            If the position is of an earlier era; nothing was written.
        """
        body = b"".join(frame_record(record) for record in records)
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
        """Join a group of members, or renew the membership.

        Parameters
        ----------
        group, member, topic : str
            The group, this member, and the topic whose partitions are assigned.
        lapse_s : float
            Time without a call after which the partitions pass to others, seconds.
        generation : int
            The last generation that was received; 0 at first.

        Returns
        -------
        GroupAssignment

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
            return GroupAssignment(int(document["generation"]), partitions, answer.era)
        except MALFORMED_ERRORS as error:
            raise _unreadable(error) from error

    async def leave(self, group, member):
        """Leave a group of members, so that its partitions pass to others at once.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time; the partitions pass on when they lapse.
        """
        content = json.dumps({"group": group, "member": member}).encode()
        target = "/siskinthread/log-leave"
        await self._call("leave", "POST", target, content, [JSON_HEADER])

    async def read_changes(self, topic, position, wait_s=0.0, confirmation=None):
        """Return all records from a position on, and the position after them.

        An answer holds at most 1 MB.  The targets of a large fleet write more while a
        host is cut off, and a list without the remaining records would count as just
        read; so answers are read until the end of the topic.

        Parameters
        ----------
        topic : str
            Name of the topic.
        position : siskinthread.source_eras.Position
            Position from an earlier call.
        wait_s : float
            How long the store may wait for a record if there is none, seconds.
        confirmation : siskinthread.source_eras.PositionConfirmation or None
            While the store waits, it is asked again whenever this is due; None if the
            loss of a read that waits may go unnoticed until its time-out.

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
            read, position, end = await self._read_batch(
                topic, position, wait_s, confirmation
            )
            records += read
            if not read or position.offset >= end:
                return decoded_only(records, topic), position
            wait_s = 0.0

    async def _read_batch(self, topic, position, wait_s, confirmation):
        """Return the records of one answer, the position after them, and the end."""
        self._check_era(position)
        target = (
            f"/siskinthread/log-read?topic={topic}&part={ONLY_PARTITION}"
            f"&from={position.offset}"
        )
        try:
            if wait_s:
                answer = await self._call_waiting(
                    target, wait_s, position, confirmation
                )
            else:
                answer = await self._call("read", "GET", target)
        except PlatformRefusedError as error:
            self._check_era(position)
            if _is_gone(error):
                raise PositionExpiredError(str(error)) from error
            raise
        self._check_era(position)
        if position.era is None and answer.era is not None:
            # The position may be older than the first era that was reported.
            raise SourceRestoredError("the store has begun to report its era")
        try:
            contents = split_records(answer.body)
        except ValueError as error:
            raise _unreadable(error) from error
        read = [decode_record(content) for content in contents]
        next_position = Position(answer.era, position.offset + len(contents))
        return read, next_position, read_end(answer.body)

    async def _call(self, name, method, target, body=b"", headers=(), extra_wait_s=0.0):
        """Return the `_StoreAnswer` to a call, which is sent at most once."""
        self._call_count.labels(name).inc()
        wait_s = self._answer_wait_s + extra_wait_s
        answer = await self._http.call(method, target, body, headers, wait_s)
        era = self._era_reader.read(answer.headers)
        await self.eras.note(era, told_by=SERVICE)
        if self.eras.is_over(era):
            # A kept-alive connection may go on returning answers of the old era.
            await self._http.close()
            raise PlatformUnavailableError(f"{SERVICE}: answer of ended era {era}")
        if answer.status != STATUS_OK:
            text = f"{SERVICE}: {name} was answered with status {answer.status}"
            raise PlatformRefusedError(text, answer.status)
        return _StoreAnswer(answer.body, self.eras.newest)

    async def _call_waiting(self, target, wait_s, position, confirmation):
        """Return the answer to a read that waits, unless an era begins meanwhile.

        Such a read may never be answered, as the records before its position are gone.
        """
        began_s = SYSTEM_CLOCK.monotonic_s()
        calling = await curio.spawn(
            self._first_answer, target, wait_s, position, confirmation, daemon=True
        )
        self._waiting_reads.add(calling)
        ended_by = "cancellation"
        try:
            outcome = await calling.join()
            ended_by = "answer"
            if isinstance(outcome, PlatformUnavailableError):
                ended_by = str(outcome)
        except curio.TaskError as error:
            if isinstance(error.__cause__, curio.TaskCancelled):
                ended_by = "new era"
                raise SourceRestoredError("a new era began during a read") from error
            raise
        finally:
            self._waiting_reads.discard(calling)
            await calling.cancel()
            waited_s = round(SYSTEM_CLOCK.monotonic_s() - began_s, 3)
            _logger.event(
                "waiting read ended", read=target, waited_s=waited_s, ended_by=ended_by
            )
        if isinstance(outcome, PlatformUnavailableError):
            raise outcome
        return outcome

    async def _first_answer(self, target, wait_s, position, confirmation):
        """Return the answer to a read that waits, or to a check that comes first."""
        waiting = f"{target}&wait_ms={round(wait_s * MILLISECONDS_PER_SECOND)}"
        if confirmation is None:
            return await self._answer_or_error("read", waiting, wait_s)
        async with curio.TaskGroup(wait=any) as calls:
            await calls.spawn(self._answer_or_error, "read", waiting, wait_s)
            await calls.spawn(self._check_for_records, target, position, confirmation)
        return calls.result

    async def _check_for_records(self, target, position, confirmation):
        """Check whenever a confirmation is due; return the first answer with records.

        Also returned are answers of another era than that of the position, and errors
        that end the read.
        """
        while True:
            await confirmation.wait_until_due()
            began_s = SYSTEM_CLOCK.monotonic_s()
            answer = await self._answer_or_error("check", target)
            if isinstance(answer, PlatformUnavailableError):
                if _is_gone(answer) or confirmation.is_lost_by_failure():
                    return answer
                await curio.sleep(FAILED_CHECK_INTERVAL_S)
                continue
            if answer.era != position.era:
                return answer
            if len(answer.body) != NO_RECORDS_BYTES:
                _logger.event("waiting read is lost", read=target)
                return answer
            await confirmation.note_check(SYSTEM_CLOCK.monotonic_s() - began_s)

    async def _answer_or_error(self, name, target, wait_s=0.0):
        """Return the answer to a read, or the error as a value."""
        try:
            return await self._call(name, "GET", target, extra_wait_s=wait_s)
        except PlatformUnavailableError as error:
            return error

    async def _cancel_waiting_reads(self):
        current = await curio.current_task()
        own_ids = {current.id, current.parentid}
        for calling in list(self._waiting_reads):
            # A read whose own answer reports the era finds that itself.
            if calling.id not in own_ids:
                await calling.cancel(blocking=False)

    def _check_era(self, position):
        if self.eras.is_over(position.era):
            text = f"position of era {position.era}; the store is in {self.eras.newest}"
            raise SourceRestoredError(text)


def _quote_key(key):
    """Return a key in percent encoding; it may hold surrogates, as JSON allows them."""
    try:
        # The usual form of bytes that are no UTF-8.
        return quote(key, safe="", errors="surrogateescape")
    except UnicodeEncodeError:
        return quote(key, safe="", errors="surrogatepass")


def _is_gone(error):
    """Return whether an error says that the records at a position were dropped."""
    return isinstance(error, PlatformRefusedError) and error.status == STATUS_GONE


def _unreadable(error):
    return PlatformUnavailableError(f"{SERVICE}: unreadable answer: {error!r}")
