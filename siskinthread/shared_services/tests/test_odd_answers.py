"""Numbers in answers and records that no integer or float can hold."""

import curio
import pytest

from siskinthread.audit._pages import read_page
from siskinthread.errors import PlatformUnavailableError, TargetError
from siskinthread.observability import Metrics
from siskinthread.ownership._records import read_record
from siskinthread.platform._rank_places import fetch_rank_places
from siskinthread.platform._store import StoreClient
from siskinthread.platform._store_era import EraReader
from siskinthread.settings import Address
from siskinthread.shared_services import LogClient
from siskinthread.source_eras import EraWatch
from siskinthread.targets import Target, TargetSettings
from siskinthread.timing import SYSTEM_CLOCK
from standins._http_server import HttpServer
from standins.odd_entries import with_literal

# Literals of JSON.
NO_NUMBERS = {
    "infinite": "1e400",
    "negative infinite": "-1e400",
    "NaN": "NaN",
    "nested": "[" * 5000 + "]" * 5000,
    "of 5,000 digits": "1" * 5000,
    "null": "null",
    "a list": "[]",
    "an object": "{}",
}


async def read_log(address):
    """Read a log."""
    settings = _PlatformAddresses(address)
    await LogClient(settings).read("configuration", 0)


async def read_store(address):
    """Read the newest records of a topic."""
    await store_client(address).read_newest("keyed.op")


async def join_group(address):
    """Join a group at the store."""
    await store_client(address).join("group", "member", "topic", 1.0, 0)


async def read_load(address):
    """Read the load report of a target."""
    target = Target(TargetSettings(kind="plain", address=address), SYSTEM_CLOCK)
    await target.fetch_load()


async def read_places(address):
    """Read the places of ranks from a peer."""
    await fetch_rank_places(address, 1.0)


class _PlatformAddresses:
    """Settings of the clients of the log."""

    def __init__(self, address):
        self.log = address
        self.answer_wait_s = 1.0


def store_client(address):
    """Return a client of the store."""
    metrics = Metrics()
    calls = metrics.counter("calls", "Calls.", ("call",))
    return StoreClient(address, 1.0, calls, EraWatch(metrics))


RECORD = '{"offset": %s, "at_ms": 1, "body": ""}'
SPAN = '{"first_offset": 0, "next_offset": %s, "records": []}'
LOAD = '{"running": %s, "waiting": 0, "capacity": 4, "age_ms": 1}'
# How an answer is read, and the answer with a number to fill in.
ANSWERS = {
    "end of the store": (read_store, '{"items": [], "has_more": false, "end": %s}'),
    "generation": (join_group, '{"generation": %s, "parts": []}'),
    "partition": (join_group, '{"generation": 1, "parts": [["t", %s, 0]]}'),
    "offset of the log": (read_log, SPAN),
    "record of the log": (
        read_log,
        f'{{"first_offset": 0, "next_offset": 1, "records": [{RECORD}]}}',
    ),
    "load": (read_load, LOAD),
    "rank": (read_places, '{"i-1": ["g", %s, 2]}'),
}


ANSWER_CASES = [
    *((*answer, literal) for answer in ANSWERS.values() for literal in NO_NUMBERS),
    (read_load, LOAD, "negative"),
    (read_load, LOAD, "beyond 32 bits"),
]
NO_COUNTS = NO_NUMBERS | {"negative": "-1", "beyond 32 bits": "2147483648"}


@pytest.mark.parametrize(("read", "text", "kind"), ANSWER_CASES)
def test_answer_with_an_odd_number_is_malformed(read, text, kind):
    """Guards against a task that ends by an answer instead of trying again."""

    async def handle(request, exchange):
        await exchange.answer(200, (text % NO_COUNTS[kind]).encode())

    async def main():
        async with HttpServer(handle) as server:
            with pytest.raises((PlatformUnavailableError, TargetError)):
                await read(Address(server.host, server.port))

    curio.run(main)


ENTRY = {
    "id": "e-1",
    "kind": "configuration",
    "at_ms": 1,
    "who": "ada",
    "what": "a",
    "outcome": "accepted",
    "from": None,
    "to": None,
    "offset": 1,
    "reason": "",
}
PAGE = {"kind": "page", "format": 1, "through": {"a": 1}, "entries": [ENTRY]}
CLAIM = {
    "format": 1,
    "kind": "claim",
    "group": "g",
    "host": "h",
    "incarnation": "i",
    "supersedes": 1,
}


@pytest.mark.parametrize("literal", NO_NUMBERS.values(), ids=NO_NUMBERS)
def test_odd_record_of_the_log_is_left_out(literal):
    """Guards against a trail and claims that end at a record of another writer."""
    assert read_record(with_literal(CLAIM, ["supersedes"], literal)) is None
    assert read_page(with_literal(PAGE, ["through", "a"], literal)) is None
    page = read_page(with_literal(PAGE, ["entries", 0, "at_ms"], literal))
    # Only the entry is left out if the document can be read.
    assert page is None or page.entries == []


@pytest.mark.parametrize("digits", [19, 4000, 5000])
def test_era_of_many_digits_is_unknown(digits):
    """Guards against a client of the store that fails by a header of its answer."""
    reader = EraReader(EraWatch(Metrics()))
    assert reader.read([(b"store-era", b"1" * digits)]) is None
    assert reader.read([(b"store-era", b"7")]) == 7
