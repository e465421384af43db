"""Pages with the configuration and the target list that readers serve to other hosts.

The pages hold the store's own records, so that the receiving host decodes them as if it
had read them itself.
"""

import base64
import json
import math
import zlib

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import (
    ReportMark,
    ServedTable,
    ServedTargets,
    STATUS_OK,
    StatusPage,
)
from siskinthread.platform._peer_documents import fetch_document
from siskinthread.platform._sources import (
    CONFIGURATION_KEY,
    ListedTargets,
    PublishedTables,
)
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.source_eras import Position

CONFIGURATION_PATH = "/configuration"
TARGET_LIST_PATH = "/target-list"
STATUS_UNAVAILABLE = 503
MILLISECONDS_PER_SECOND = 1000
# A higher level costs more than it saves: 181 KB of 840 routes become 24 KB in 1.3 ms
# of a core at this level, and 22 KB in 7.6 ms at the highest level.
COMPRESSION_LEVEL = 1
# Bounds the memory of unpacking; the configuration of the largest fleets has 4 MB.
SIZE_LIMIT_BYTES = 64 * 1024 * 1024
RATE_WINDOW_S = 1.0
# Errors that decoding a malformed document raises.
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class PageRateLimit:
    """Token bucket for the bytes that are served.

    Parameters
    ----------
    rate_bytes_s : int
        Rate, bytes per second.
    clock : siskinthread.timing.Clock
        Clock of the rate.
    """

    __slots__ = ("_clock", "_available_bytes", "_refilled_at_s", "_rate_bytes_s")

    def __init__(self, rate_bytes_s, clock):
        self._rate_bytes_s = rate_bytes_s
        self._clock = clock
        self._available_bytes = rate_bytes_s * RATE_WINDOW_S
        self._refilled_at_s = clock.monotonic_s()

    def page(self, document):
        """Return the `StatusPage` of a document, or of an exceeded rate."""
        body = json.dumps(document).encode()
        now_s = self._clock.monotonic_s()
        earned_bytes = (now_s - self._refilled_at_s) * self._rate_bytes_s
        self._refilled_at_s = now_s
        limit_bytes = self._rate_bytes_s * RATE_WINDOW_S
        self._available_bytes = min(limit_bytes, self._available_bytes + earned_bytes)
        if len(body) > self._available_bytes:
            return StatusPage(STATUS_UNAVAILABLE, b"too much is handed out\n")
        self._available_bytes -= len(body)
        return StatusPage(STATUS_OK, body)


class ReaderPages:
    """Builds the pages that readers serve to other hosts.

    Parameters
    ----------
    tables : PublishedTables
        Source of the newest configuration.
    targets : ListedTargets
        Source of the target list.
    gateway : siskinthread.gateway.Gateway
        Provides the positions up to which the sources were read, and the version in
        force.
    rate_bytes_s : int
        Limit of the bytes served per second.
    clock : siskinthread.timing.Clock
        Clock of the rate.
    """

    __slots__ = (
        "_gateway",
        "_packed",
        "_packed_record",
        "_rate",
        "_tables",
        "_targets",
    )

    def __init__(self, tables, targets, gateway, rate_bytes_s, clock):
        self._tables = tables
        self._targets = targets
        self._gateway = gateway
        self._rate = PageRateLimit(rate_bytes_s, clock)
        self._packed_record = None
        self._packed = None

    def table_page(self):
        """Return the `siskinthread.gateway.StatusPage` of the configuration."""
        position = self._gateway.table_position()
        table = self._gateway.view.table
        version = 0 if table is None else table.version
        # A configuration from a peer's snapshot may be newer than the read position.
        if position is None or version != self._tables.newest_version:
            return StatusPage(STATUS_UNAVAILABLE, b"no configuration to hand out\n")
        return self._rate.page(
            {
                "at": [position.era, position.offset],
                "config": self._pack_table(self._tables.newest),
                "evacuated": sorted(self._tables.evacuations.domains),
            }
        )

    def targets_page(self):
        """Return the `siskinthread.gateway.StatusPage` of the target list."""
        statement = self._gateway.target_statement()
        if statement is None:
            return StatusPage(STATUS_UNAVAILABLE, b"no list to hand out\n")
        records = {
            key: entry.record.value.decode()
            for key, entry in self._targets.listed.items()
        }
        position = statement.position
        return self._rate.page(
            {
                "at": [position.era, position.offset],
                "age_ms": math.ceil(statement.age_s * MILLISECONDS_PER_SECOND),
                "servers": _pack(json.dumps(records).encode()),
                "gone": {
                    key: mark.as_row()
                    for key, mark in self._targets.recently_gone().items()
                },
            }
        )

    def _pack_table(self, record):
        if record is None:
            return None
        if record is not self._packed_record:
            self._packed = _pack(record.value)
            self._packed_record = record
        return self._packed


async def fetch_peer_table(address, wait_s):
    """Return the `siskinthread.gateway.ServedTable` that a reader serves.

    Parameters
    ----------
    address : siskinthread.settings.Address
        Address of the reader.
    wait_s : float
        Longest wait, seconds.

    Raises
    ------
    PlatformUnavailableError
        If no readable answer came in time.
    """
    document = await fetch_document(address, CONFIGURATION_PATH, wait_s)
    try:
        position = _read_position(document)
        packed = document["config"]
        record = None
        if packed is not None:
            record = KeyedRecord(CONFIGURATION_KEY, _unpack(packed))
        evacuated = frozenset(str(one) for one in document["evacuated"])
    except DECODE_ERRORS as error:
        text = f"unreadable configuration from a peer: {error!r}"
        raise PlatformUnavailableError(text) from error
    tables = PublishedTables(None).apply([] if record is None else [record])
    if record is not None and not tables:
        raise PlatformUnavailableError("configuration from a peer is no route table")
    return ServedTable(position, tables[0] if tables else None, record, evacuated)


async def fetch_peer_targets(address, wait_s):
    """Return the `siskinthread.gateway.ServedTargets` that a reader serves.

    Parameters
    ----------
    address : siskinthread.settings.Address
        Address of the reader.
    wait_s : float
        Longest wait, seconds.

    Raises
    ------
    PlatformUnavailableError
        If no readable answer came in time.
    """
    document = await fetch_document(address, TARGET_LIST_PATH, wait_s)
    try:
        position = _read_position(document)
        age_s = max(0, int(document["age_ms"])) / MILLISECONDS_PER_SECOND
        values = json.loads(_unpack(document["servers"]))
        records = [KeyedRecord(key, value.encode()) for key, value in values.items()]
        gone = {
            str(key): ReportMark.from_row(row)
            for key, row in document.get("gone", {}).items()
        }
    except DECODE_ERRORS as error:
        text = f"unreadable target list from a peer: {error!r}"
        raise PlatformUnavailableError(text) from error
    listing = ListedTargets(None)
    listing.apply(records)
    return ServedTargets(position, age_s, list(listing.listed.values()), gone)


def _read_position(document):
    era, offset = document["at"]
    return Position(None if era is None else int(era), int(offset))


def _pack(value):
    return base64.b64encode(zlib.compress(value, COMPRESSION_LEVEL)).decode()


def _unpack(packed):
    unpacking = zlib.decompressobj()
    try:
        value = unpacking.decompress(base64.b64decode(packed), SIZE_LIMIT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not unpacking.eof:
        raise ValueError("compressed data is truncated or too large")
    return value
