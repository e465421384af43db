"""Client of the platform's store, which is a log of records by topic."""

import base64
import json
from urllib.parse import quote

from siskinthread.errors import (
    PlatformRefusedError,
    PlatformUnavailableError,
    PositionExpiredError,
)
from siskinthread.observability import part_logger
from siskinthread.shared_services import HttpClient, parse_json

SERVICE = "platform store"
MILLISECONDS_PER_SECOND = 1000
STATUS_GONE = 410
# Topics that hold a value for each key have one partition.
ONLY_PARTITION = 0
OFFSET_BYTES = 8
LENGTH_BYTES = 4
JSON_HEADER = ("content-type", "application/json")

_logger = part_logger("platform")


class KeyedRecord:
    """A value that was written under a key.

    Parameters
    ----------
    key : str
        The key.
    value : bytes or None
        The value; None if the key was dropped.
    """

    __slots__ = ("key", "value")

    def __init__(self, key, value):
        self.key = key
        self.value = value


class Joined:
    """What a member of a group holds.

    Parameters
    ----------
    generation : int
        Rises with each change of the group.
    partitions : list of int
        Partitions that belong to the member.
    """

    __slots__ = ("generation", "partitions")

    def __init__(self, generation, partitions):
        self.generation = generation
        self.partitions = partitions


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
    """

    __slots__ = ("_call_count", "_http")

    def __init__(self, address, answer_wait_s, call_count):
        self._http = HttpClient(SERVICE, address, answer_wait_s)
        self._call_count = call_count

    async def read_newest(self, topic):
        """Return the newest record of each key, and the position behind them.

        The pages of a long answer are read one after the other while records are
        added.  The position is that of the first page, so that what was added
        meanwhile is read again behind it.

        Returns
        -------
        tuple
            List of `KeyedRecord`, and an int for `read_changes`.

        Raises
        ------
        PlatformUnavailableError
            If no readable answer came in time.
        """
        records = []
        position = None
        after = ""
        while True:
            target = f"/siskinthread/log-newest?topic={topic}&part={ONLY_PARTITION}"
            if after:
                target += f"&after={quote(after, safe='')}"
            self._call_count.labels("newest").inc()
            page = parse_json(SERVICE, await self._http.get(target))
            try:
                if position is None:
                    # "end" is the offset that the next record will get.
                    position = int(page["end"])
                items = [_read_item(item) for item in page["items"]]
                records += _readable(items, topic)
                if not page["has_more"]:
                    return records, position
                after = page["items"][-1]["key"]
            except (KeyError, TypeError, ValueError, IndexError) as error:
                raise _unreadable(error) from error

    async def write(self, topic, records):
        """Write the newest values of some keys, all of them or none.

        Parameters
        ----------
        topic : str
            Name of the topic.
        records : list of KeyedRecord
            The values; None drops a key.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time; they may have been written.
        """
        body = b"".join(_framed(record) for record in records)
        target = f"/siskinthread/log-append?topic={topic}&part={ONLY_PARTITION}"
        self._call_count.labels("append").inc()
        await self._http.post(target, body)

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
        self._call_count.labels("join").inc()
        content = json.dumps(body).encode()
        answer = await self._http.post("/siskinthread/log-join", content, [JSON_HEADER])
        document = parse_json(SERVICE, answer)
        try:
            # Rows of topic, partition and committed offset.
            partitions = [int(row[1]) for row in document["parts"]]
            return Joined(int(document["generation"]), partitions)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise _unreadable(error) from error

    async def leave(self, group, member):
        """Leave a group of members, so that its partitions pass to others at once.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time; they pass on when they lapse.
        """
        self._call_count.labels("leave").inc()
        content = json.dumps({"group": group, "member": member}).encode()
        await self._http.post("/siskinthread/log-leave", content, [JSON_HEADER])

    async def read_changes(self, topic, position, wait_s=0.0):
        """Return the records from a position on, and the position behind them.

        Parameters
        ----------
        topic : str
            Name of the topic.
        position : int
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
        PlatformUnavailableError
            If no readable answer came in time.
        """
        target = (
            f"/siskinthread/log-read?topic={topic}&part={ONLY_PARTITION}"
            f"&from={position}"
        )
        if wait_s:
            target += f"&wait_ms={round(wait_s * MILLISECONDS_PER_SECOND)}"
        self._call_count.labels("read").inc()
        try:
            body = await self._http.get(target, extra_wait_s=wait_s)
        except PlatformRefusedError as error:
            if error.status == STATUS_GONE:
                raise PositionExpiredError(str(error)) from error
            raise
        try:
            contents = _split_records(body)
        except ValueError as error:
            raise _unreadable(error) from error
        read = [_read_keyed(content) for content in contents]
        return _readable(read, topic), position + len(contents)


def _framed(record):
    """Return the bytes of a `KeyedRecord` with their length before them."""
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def _read_item(item):
    """Return the `KeyedRecord` of an item; None if its value can't be read."""
    # An empty value can't be told from a dropped key here; neither is ever used.
    try:
        value = base64.b64decode(item["value"], validate=True)
    except ValueError:
        return None
    return KeyedRecord(str(item["key"]), value or None)


def _readable(records, topic):
    """Return the records that could be read.

    One that another writer has spoilt must not hide the others: the whole list would
    stay as it was until that record is dropped.
    """
    readable = [one for one in records if one is not None]
    if len(readable) < len(records):
        count = len(records) - len(readable)
        _logger.event("records are unreadable", topic=topic, count=count)
    return readable


def _split_records(body):
    """Return the records behind the two offsets that an answer begins with."""
    records = []
    at = 2 * OFFSET_BYTES
    if len(body) < at:
        raise ValueError("answer without its offsets")
    while at < len(body):
        size = int.from_bytes(body[at : at + LENGTH_BYTES], "big")
        at += LENGTH_BYTES
        content = body[at : at + size]
        if len(content) < size or not size:
            raise ValueError("record is cut short")
        records.append(content)
        at += size
    return records


def _read_keyed(content):
    """Return the `KeyedRecord` of a record; None if it has no readable key."""
    key_end = 1 + content[0]
    if len(content) < key_end:
        return None
    try:
        key = content[1:key_end].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[key_end:] or None)


def _unreadable(error):
    return PlatformUnavailableError(f"{SERVICE}: unreadable answer: {error!r}")
