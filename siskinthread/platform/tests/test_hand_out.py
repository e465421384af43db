"""What readers hand out, and what is made of it."""

import json
from types import SimpleNamespace

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import STATUS_OK
from siskinthread.peer_news import ListStatement
from siskinthread.platform import _hand_out
from siskinthread.platform._hand_out import (
    fetch_told_table,
    fetch_told_targets,
    HandOut,
    HandOutRate,
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
        self.tables.take([KeyedRecord("config", value)])
        self.tables.evacuations.domains.add("b")
        self.targets = ListedTargets(None)
        self.targets.take([KeyedRecord("i-1", json.dumps(SERVER).encode())])
        self.position = Position(1, 12)
        self.statement = ListStatement(Position(1, 30), 5, 0.25)
        self.view = SimpleNamespace(table=SimpleNamespace(version=7))
        self.hand_out = HandOut(
            self.tables, self.targets, self, RATE_BYTES_S, ManualClock()
        )

    def table_position(self):
        """Return up to where the configuration was read."""
        return self.position

    def target_statement(self):
        """Return up to where the list was read."""
        return self.statement


def fetch(monkeypatch, fetching, document):
    """Return what is made of a document, or the error."""

    async def fetch_document(address, path, wait_s):
        return document

    monkeypatch.setattr(_hand_out, "fetch_document", fetch_document)
    return curio.run(fetching, None, 0.1)


def test_configuration_comes_over_as_it_was_read(monkeypatch):
    """Guards against a host that serves by something else than its reader."""
    parts = Parts()
    page = parts.hand_out.table_page()
    assert page.status == STATUS_OK
    told = fetch(monkeypatch, fetch_told_table, json.loads(page.body))
    assert (told.position.era, told.position.offset) == (1, 12)
    assert told.table.version == 7
    assert told.record.value == parts.tables.newest.value
    assert told.evacuated == {"b"}
    own = PublishedTables(None)
    own.take_told(told)
    assert own.newest_version == 7
    assert own.evacuations.domains == {"b"}


def test_target_list_comes_over_as_it_was_read(monkeypatch):
    """Guards against a list that seems younger, or has other targets."""
    parts = Parts()
    page = parts.hand_out.targets_page()
    told = fetch(monkeypatch, fetch_told_targets, json.loads(page.body))
    assert told.position.offset == 30
    assert told.age_s == 0.25
    assert [one.listed_id for one in told.entries] == ["i-1"]
    own = ListedTargets(None)
    own.take_told(told)
    record = parts.targets.listed["i-1"].record
    assert own.listed["i-1"].record.value == record.value


def test_target_of_an_earlier_reading_is_not_handed_out(monkeypatch):
    """A list that was read anew was handed out with targets that had left before."""
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
    page = parts.hand_out.targets_page()
    told = fetch(monkeypatch, fetch_told_targets, json.loads(page.body))
    assert [one.listed_id for one in told.entries] == ["i-2"]


def test_nothing_is_handed_out_that_was_not_read_up_to_the_position():
    """Guards against a position without what stands before it."""
    parts = Parts()
    # Of a peer's snapshot; the source's record of it has not been read.
    parts.view.table.version = 8
    assert parts.hand_out.table_page().status == STATUS_UNAVAILABLE
    parts.view.table.version = 7
    parts.position = None
    parts.statement = None
    assert parts.hand_out.table_page().status == STATUS_UNAVAILABLE
    assert parts.hand_out.targets_page().status == STATUS_UNAVAILABLE


def test_rate_bounds_what_is_handed_out():
    """Guards against a link that is filled by the configuration."""
    clock = ManualClock()
    rate = HandOutRate(1000, clock)
    document = "x" * 398
    statuses = [rate.page(document).status for _ in range(3)]
    assert statuses == [STATUS_OK, STATUS_OK, STATUS_UNAVAILABLE]
    clock.advance(0.2)
    assert rate.page(document).status == STATUS_OK
    assert rate.page(document).status == STATUS_UNAVAILABLE


@pytest.mark.parametrize("fetching", [fetch_told_table, fetch_told_targets])
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
    """Guards against a host that ends, or serves nothing, for a peer's nonsense."""
    with pytest.raises(PlatformUnavailableError):
        fetch(monkeypatch, fetching, document)


def test_configuration_that_names_no_routes_is_refused(monkeypatch):
    """Guards against a position that is passed without its configuration."""
    packed = _hand_out._pack(b'{"version": 9}')
    document = {"at": [1, 2], "config": packed, "evacuated": []}
    with pytest.raises(PlatformUnavailableError):
        fetch(monkeypatch, fetch_told_table, document)
