"""Entries and records of another writer beside those of sound servers."""

import json

import pytest

from siskinthread.platform._reader_pages import ReaderPages
from siskinthread.platform._sources import ListedTargets, PublishedTables
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.platform.tests.system import (
    listed,
    ONCE_PATH,
    run_system,
    SAFE_PATH,
    status_of,
    until,
)
from siskinthread.settings import Address
from siskinthread.timing import SYSTEM_CLOCK
from standins import platform_store
from standins.odd_entries import ODD_KEYS, ODD_VALUES, with_literal
from standins.platform_server import PlatformServerStandin

TARGETS = "keyed.servers"
PUBLIC_PATH = "/public/2f"
REQUESTS = 20
ROUNDS_LIMIT = 5
SERVERS = 3
PAGES_BYTES_S = 10_000_000


def serve_beside(key, value_of):
    """Run a gateway that starts while an odd entry is listed; check all that it serves.

    Parameters
    ----------
    key : str
        Key of the odd entry.
    value_of : callable
        Returns its bytes for the entry of a server that serves.
    """

    async def write_odd_entry(system):
        value = value_of(listed(system.servers[0]))
        await system.store.put_bytes(TARGETS, key, value)

    async def send(system):
        return [status_of(await system.request(SAFE_PATH)) for _ in range(REQUESTS)]

    async def test(system):
        first = await send(system)
        assert pages_for_peers(system) == [200, 200]
        known = {one.listed_id for one in system.gateway.parts.targets.entries()}
        async with PlatformServerStandin("i-later") as later:
            await system.store.put(TARGETS, "i-later", listed(later))
            # The odd entry is written again, as its writer may do at any time.
            await write_odd_entry(system)
            await system.store.put(TARGETS, "i-0", None)
            await until(lambda: listed_ids(system) == {"i-1", "i-2", "i-later"})
            system.servers[0].seen.clear()
            second = []
            # Targets are chosen at random.
            while not later.seen and len(second) < ROUNDS_LIMIT * REQUESTS:
                second += await send(system)
            assert later.seen
            assert not system.servers[0].seen
        return known, first + second

    known, statuses = run_system(test, SERVERS, prepare=write_odd_entry)
    assert known == {"i-0", "i-1", "i-2"}
    assert set(statuses) == {200}


def pages_for_peers(system):
    """Return the statuses of the pages with which peers learn the list."""
    pages = ReaderPages(
        system.tables, system.targets, system.gateway, PAGES_BYTES_S, SYSTEM_CLOCK
    )
    return [pages.targets_page().status, system.snapshot_page().status]


def listed_ids(system):
    """Return the ids of the targets that a gateway may use."""
    entries = system.gateway.parts.targets.entries()
    return {one.listed_id for one in entries if not one.is_leaving}


@pytest.mark.parametrize("value_of", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_entry_names_no_server_and_the_others_hold(value_of):
    """Guards against an entry of another writer that keeps all servers from use."""
    serve_beside("other", value_of)


@pytest.mark.parametrize("key", ODD_KEYS.values(), ids=ODD_KEYS)
def test_entry_whose_id_can_not_be_sent_names_no_server(key):
    """Guards against requests without an answer, as no header can hold their server."""
    serve_beside(key, lambda entry: json.dumps(entry).encode())


@pytest.mark.parametrize("key", ODD_KEYS.values(), ids=ODD_KEYS)
def test_odd_key_at_the_end_of_a_page_hides_no_entry(key, monkeypatch):
    """Guards against a list that ends at a key that the next call can't state."""
    monkeypatch.setattr(platform_store, "PAGE_ITEMS", 1)
    # Sorts before the keys of the servers, so that another page follows.
    serve_beside("a" + key, lambda entry: b"7")


@pytest.mark.parametrize("value_of", ODD_VALUES.values(), ids=ODD_VALUES)
@pytest.mark.parametrize("key", ["config", "evacuate/b", "other"])
def test_odd_record_among_those_of_the_operator_changes_no_routes(key, value_of):
    """Guards against an odd record that keeps a gateway without configuration."""
    entry = {"service": "app", "address": "127.0.0.1:80", "slots": 1}
    value = value_of(entry)
    tables = PublishedTables(None)
    assert tables.apply([KeyedRecord(key, value)]) == []
    tables.evacuations.replace_all([KeyedRecord(key, value)])
    assert tables.newest is None


def serve_beside_address(address_of, path):
    """Return the statuses of requests while an entry names an address of our own.

    Parameters
    ----------
    address_of : callable
        Returns host and port for a `System`.
    path : str
        Path of the requests.
    """

    async def test(system):
        host, port = address_of(system)
        entry = listed(system.servers[0], address=f"{host}:{port}")
        await system.store.put(TARGETS, "other", entry)
        await system.store.put(TARGETS, "i-0", None)
        await until(lambda: "i-0" not in listed_ids(system))
        return [status_of(await system.request(path)) for _ in range(2 * REQUESTS)]

    return run_system(test, SERVERS)


@pytest.mark.parametrize("path", [SAFE_PATH, PUBLIC_PATH])
def test_entry_with_the_address_for_callers_passes_no_answer_on(path):
    """Guards against answers of an entry host that pass for those of a server."""
    statuses = serve_beside_address(lambda system: system.address, path)
    assert set(statuses) == {200}


def test_request_that_may_not_be_repeated_is_refused_by_an_entry_host():
    """Guards against a failure of a request that no server has got."""
    statuses = serve_beside_address(lambda system: system.address, ONCE_PATH)
    assert set(statuses) <= {200, 503}
    assert statuses.count(503) <= 1


@pytest.mark.parametrize("path", [SAFE_PATH, ONCE_PATH])
def test_entry_with_the_address_of_the_store_names_no_server(path):
    """Guards against requests that wait at the store until their deadline."""
    statuses = serve_beside_address(
        lambda system: (system.store_address.host, system.store_address.port), path
    )
    assert set(statuses) == {200}


# Nesting around the limit of the JSON parser, which depends on the caller's stack.
DEPTHS = range(1, 1100)


@pytest.mark.parametrize("field", ["address", "zone", "state", "slots", "born"])
def test_value_that_is_nested_as_deeply_as_can_be_read_is_malformed(field):
    """Guards against an error on the way to the message of a malformed entry."""
    targets = ListedTargets(None)
    sound = listed(Address("127.0.0.1", 80))
    for depth in DEPTHS:
        literal = "[" * depth + "]" * depth
        value = with_literal(sound, [field], literal)
        [change] = targets.apply([KeyedRecord("other", value)])
        assert change.entry is None
