"""Snapshots that entry hosts hand to one another while the store refuses some of them.

A snapshot holds the store's own records, so that the one that gets it decodes them as
if it had read them itself.
"""

import json

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import Snapshot, STATUS_OK, StatusPage
from siskinthread.peer_news import EvacuationStatement
from siskinthread.platform._peer_documents import fetch_document
from siskinthread.platform._sources import (
    CONFIGURATION_KEY,
    ListedTargets,
    PublishedTables,
)
from siskinthread.platform._store_records import KeyedRecord

SNAPSHOT_PATH = "/snapshot"


def snapshot_page(tables, entries, kept_ids, evacuations=None):
    """Return the `StatusPage` of what this process knows.

    Parameters
    ----------
    tables : PublishedTables
        Source of the newest configuration.
    entries : list of siskinthread.gateway.TargetEntry
        Targets as this process believes them to be.  The record of one that leaves may
        be of before, from an older copy; so it is left out.
    kept_ids : set of str
        Listed ids of those that have vanished and are only kept for a while.
    evacuations : siskinthread.peer_news.EvacuationStatement or None
        Failure domains that are evacuated, as far as this process knows.
    """
    serving = {one.listed_id: one for one in entries if not one.is_leaving}
    document = {
        "config": None if tables.newest is None else tables.newest.value.decode(),
        "servers": {key: entry.record.value.decode() for key, entry in serving.items()},
        "kept": sorted(kept_ids & serving.keys()),
    }
    if evacuations is not None:
        document["evacuations"] = evacuations.as_document()
    return StatusPage(STATUS_OK, json.dumps(document).encode())


async def fetch_snapshot(address, wait_s):
    """Return the `siskinthread.gateway.Snapshot` of a peer.

    Parameters
    ----------
    address : siskinthread.settings.Address
        The peer.
    wait_s : float
        Longest wait, seconds.

    Raises
    ------
    PlatformUnavailableError
        If there was no readable answer in time.
    """
    document = await fetch_document(address, SNAPSHOT_PATH, wait_s)
    try:
        config, servers = document["config"], document["servers"]
        records = [KeyedRecord(key, value.encode()) for key, value in servers.items()]
        kept_ids = {str(one) for one in document.get("kept", ())}
        published = [] if config is None else [config.encode()]
        evacuations = _read_evacuations(document)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise PlatformUnavailableError(f"unreadable snapshot: {error!r}") from error
    tables = PublishedTables(None).take(
        [KeyedRecord(CONFIGURATION_KEY, value) for value in published]
    )
    listing = ListedTargets(None)
    listing.take(records)
    table = tables[0] if tables else None
    return Snapshot(table, list(listing.listed.values()), kept_ids, evacuations)


def _read_evacuations(document):
    told = document.get("evacuations")
    return None if told is None else EvacuationStatement.from_document(told)
