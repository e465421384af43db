"""Snapshots that entry hosts serve to hosts whose calls the store refuses.

A snapshot holds the store's own records, so that the receiving host decodes them as if
it had read them itself.
"""

import json
import math

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import Snapshot, STATUS_OK, StatusPage
from siskinthread.peer_news import EvacuationStatement, ListStatement
from siskinthread.platform._peer_documents import fetch_document
from siskinthread.platform._sources import (
    CONFIGURATION_KEY,
    ListedTargets,
    PublishedTables,
)
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.source_eras import Position

SNAPSHOT_PATH = "/snapshot"
MILLISECONDS_PER_SECOND = 1000


def own_snapshot_page(tables, gateway):
    """Return the `StatusPage` of the snapshot of this process.

    Parameters
    ----------
    tables : PublishedTables
        Source of the newest configuration.
    gateway : siskinthread.gateway.Gateway
        Source of targets and evacuations.
    """
    targets = gateway.parts.targets
    listing = gateway.target_statement()
    if listing is not None:
        # Peers may confirm the list instead of this host reading it, so its own read
        # may be long ago: use the age of the targets.
        listing = ListStatement(listing.position, listing.digest, targets.age_s())
    return snapshot_page(
        tables,
        targets.entries(),
        targets.kept_left_s(),
        listing,
        gateway.parts.evacuations.statement(),
    )


def snapshot_page(tables, entries, kept_left_s, listing, evacuations=None):
    """Return the `StatusPage` of a configuration and targets.

    Parameters
    ----------
    tables : PublishedTables
        Source of the newest configuration.
    entries : list of siskinthread.gateway.TargetEntry
        Targets as this process knows them.  Leaving targets are left out, as their
        records may come from an older copy, before they began to leave.
    kept_left_s : dict of str to float
        Remaining time, seconds, by listed id, of targets that have vanished and are
        kept for a grace period only.
    listing : siskinthread.peer_news.ListStatement or None
        Position up to which the list has been read, and the age of that read.
    evacuations : siskinthread.peer_news.EvacuationStatement or None
        Failure domains that are evacuated, as far as this process knows.
    """
    serving = {one.listed_id: one for one in entries if not one.is_leaving}
    document = {
        "config": None if tables.newest is None else tables.newest.value.decode(),
        "servers": {key: entry.record.value.decode() for key, entry in serving.items()},
        "kept": {
            key: math.floor(left_s * MILLISECONDS_PER_SECOND)
            for key, left_s in kept_left_s.items()
            if key in serving
        },
    }
    if listing is not None:
        position = listing.position
        document["at"] = [position.era, position.offset]
        document["age_ms"] = math.ceil(listing.age_s * MILLISECONDS_PER_SECOND)
    if evacuations is not None:
        document["evacuations"] = evacuations.as_document()
    return StatusPage(STATUS_OK, json.dumps(document).encode())


async def fetch_snapshot(address, wait_s):
    """Return the `siskinthread.gateway.Snapshot` of a peer.

    Parameters
    ----------
    address : siskinthread.settings.Address
        Address of the peer.
    wait_s : float
        Longest wait, seconds.

    Raises
    ------
    PlatformUnavailableError
        If no readable answer came in time.
    """
    document = await fetch_document(address, SNAPSHOT_PATH, wait_s)
    try:
        config, servers = document["config"], document["servers"]
        records = [KeyedRecord(key, value.encode()) for key, value in servers.items()]
        kept_left_s = {
            str(key): int(left_ms) / MILLISECONDS_PER_SECOND
            for key, left_ms in document["kept"].items()
        }
        listing = _read_listing(document)
        published = [] if config is None else [config.encode()]
        evacuations = _read_evacuations(document)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise PlatformUnavailableError(f"unreadable snapshot: {error!r}") from error
    tables = PublishedTables(None).apply(
        [KeyedRecord(CONFIGURATION_KEY, value) for value in published]
    )
    targets = ListedTargets(None)
    targets.apply(records)
    table = tables[0] if tables else None
    entries = list(targets.listed.values())
    return Snapshot(table, entries, kept_left_s, listing, evacuations)


def _read_listing(document):
    """Return the peer's read position as a `ListStatement`, or None."""
    if document.get("at") is None:
        return None
    era, offset = document["at"]
    position = Position(None if era is None else int(era), int(offset))
    age_s = max(0, int(document["age_ms"])) / MILLISECONDS_PER_SECOND
    # The digest is not needed: snapshots are compared by position only.
    return ListStatement(position, None, age_s)


def _read_evacuations(document):
    evacuations = document.get("evacuations")
    return (
        None if evacuations is None else EvacuationStatement.from_document(evacuations)
    )
