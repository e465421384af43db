"""Pages that readers serve to other hosts, and their decoding."""

import json
from types import SimpleNamespace

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import STATUS_OK
from siskinthread.peer_news import ListStatement
from siskinthread.platform import _reader_pages
from siskinthread.platform._reader_pages import (
    fetch_peer_table,
    fetch_peer_targets,
    PageRateLimit,
    ReaderPages,
    STATUS_UNAVAILABLE,
)
from siskinthread.platform._sources import ListedTargets, PublishedTables
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.platform.tests.system import published
from siskinthread.source_eras import Position
from siskinthread.timing import ManualClock

RATE_BYTES_S = 100_000
SERVER = {
    "service": "app",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
}


class Parts:
    """A reader that has read a configuration and one target."""

    def __init__(self):
        self.tables = PublishedTables(None)
        value = json.dumps(published(version=7)).encode()
        self.tables.apply([KeyedRecord("config", value)])
        self.tables.evacuations.domains.add("b")
        self.targets = ListedTargets(None)
        self.targets.apply([KeyedRecord("i-1", json.dumps(SERVER).encode())])
        self.position = Position(1, 12)
        self.statement = ListStatement(Position(1, 30), 5, 0.25)
        self.view = SimpleNamespace(table=SimpleNamespace(version=7))
        self.reader_pages = ReaderPages(
            self.tables, self.targets, self, RATE_BYTES_S, ManualClock()
        )

    def table_position(self):
        """Return the position up to which the configuration was read."""
        return self.position

    def target_statement(self):
        """Return the position up to which the list was read."""
        return self.statement


def fetch(monkeypatch, fetching, document):
    """Return the decoded document, or raise its error."""

    async def fetch_document(address, path, wait_s):
        return document

    monkeypatch.setattr(_reader_pages, "fetch_document", fetch_document)
    return curio.run(fetching, None, 0.1)


def test_configuration_page_round_trip(monkeypatch):
    """Guards against a host that uses another configuration than its reader."""
    parts = Parts()
    page = parts.reader_pages.table_page()
    assert page.status == STATUS_OK
    received = fetch(monkeypatch, fetch_peer_table, json.loads(page.body))
    assert (received.position.era, received.position.offset) == (1, 12)
    assert received.table.version == 7
    assert received.record.value == parts.tables.newest.value
    assert received.evacuated == {"b"}
    own = PublishedTables(None)
    own.take_told(received)
    assert own.newest_version == 7
    assert own.evacuations.domains == {"b"}


def test_target_list_page_round_trip(monkeypatch):
    """Guards against a list that looks younger, or has other targets."""
    parts = Parts()
    page = parts.reader_pages.targets_page()
    received = fetch(monkeypatch, fetch_peer_targets, json.loads(page.body))
    assert received.position.offset == 30
    assert received.age_s == 0.25
    assert [one.listed_id for one in received.entries] == ["i-1"]
    own = ListedTargets(None)
    own.take_told(received)
    record = parts.targets.listed["i-1"].record
    assert own.listed["i-1"].record.value == record.value


def test_target_of_an_earlier_read_is_not_served(monkeypatch):
    """Guards against serving targets that had left before the list was read again."""
    parts = Parts()
    value = json.dumps(SERVER).encode()
    newest = [[KeyedRecord("i-1", value), KeyedRecord("i-2", value)]]

    class Store:
        async def read_newest(self, topic):
            return newest[-1], Position(1, 30)

    parts.targets._store = Store()
    curio.run(parts.targets.read_all)
    newest.append([KeyedRecord("i-2", value)])
    curio.run(parts.targets.read_all)
    page = parts.reader_pages.targets_page()
    received = fetch(monkeypatch, fetch_peer_targets, json.loads(page.body))
    assert [one.listed_id for one in received.entries] == ["i-2"]


def test_pages_need_a_read_up_to_the_position():
    """Guards against a position that is served without the records before it."""
    parts = Parts()
    # The version in force is from a peer's snapshot; the source has not read its
    # record.
    parts.view.table.version = 8
    assert parts.reader_pages.table_page().status == STATUS_UNAVAILABLE
    parts.view.table.version = 7
    parts.position = None
    parts.statement = None
    assert parts.reader_pages.table_page().status == STATUS_UNAVAILABLE
    assert parts.reader_pages.targets_page().status == STATUS_UNAVAILABLE


def test_rate_limits_served_pages():
    """Guards against a configuration that fills the link."""
    clock = ManualClock()
    rate = PageRateLimit(1000, clock)
    document = "x" * 398
    statuses = [rate.page(document).status for _ in range(3)]
    assert statuses == [STATUS_OK, STATUS_OK, STATUS_UNAVAILABLE]
    clock.advance(0.2)
    assert rate.page(document).status == STATUS_OK
    assert rate.page(document).status == STATUS_UNAVAILABLE


@pytest.mark.parametrize("fetching", [fetch_peer_table, fetch_peer_targets])
@pytest.mark.parametrize(
    "document",
    [
        None,
        [],
        {},
        {"at": [1], "config": None, "evacuated": [], "age_ms": 0, "servers": ""},
        {"at": [1, 2], "config": "?", "evacuated": [], "age_ms": 0, "servers": "?"},
        {"at": [1, 2], "config": "AAAA", "evacuated": 5, "age_ms": "x", "servers": 1},
    ],
)
def test_unreadable_documents_are_refused(monkeypatch, fetching, document):
    """Guards against a host that ends, or serves nothing, on a malformed document."""
    with pytest.raises(PlatformUnavailableError):
        fetch(monkeypatch, fetching, document)


def test_configuration_that_names_no_routes_is_refused(monkeypatch):
    """Guards against adopting a position without its configuration."""
    packed = _reader_pages._pack(b'{"version": 9}')
    document = {"at": [1, 2], "config": packed, "evacuated": []}
    with pytest.raises(PlatformUnavailableError):
        fetch(monkeypatch, fetch_peer_table, document)
