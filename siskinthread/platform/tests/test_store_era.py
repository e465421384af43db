"""The era that the store reports in its answers."""

import json

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError, SourceRestoredError
from siskinthread.observability import Metrics
from siskinthread.platform._shares import StoreShares
from siskinthread.platform._store import StoreClient
from siskinthread.platform._store_era import EraReader
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.settings import Address
from siskinthread.source_eras import EraWatch, Position
from standins._http_server import HttpServer
from standins.platform_store import PlatformStoreStandin

TOPIC = "keyed.servers"
HANG_S = 10.0


class AnsweringStore:
    """Answers every call with a scripted status and headers."""

    def __init__(self):
        self.status = 200
        self.headers = [("store-era", "1")]
        self.asked = []

    async def handle(self, request, exchange):
        """Answer one call."""
        self.asked.append(request)
        value = {"end": 7, "items": [], "has_more": False, "generation": 9, "parts": []}
        body = json.dumps(value).encode()
        if request.path.endswith("log-read"):
            body = (7).to_bytes(8, "big") + bytes(8)
        await exchange.answer(self.status, body, more=self.headers)


def run_client(test, store=None):
    """Run an async test with a store and a `StoreClient`."""
    store = AnsweringStore() if store is None else store

    async def main():
        async with HttpServer(store.handle) as server:
            metrics = Metrics()
            calls = metrics.counter("calls", "Calls.", ("call",))
            address = Address(server.host, server.port)
            client = StoreClient(address, 0.5, calls, EraWatch(metrics))
            return await curio.timeout_after(HANG_S, test, store, client)

    return curio.run(main)


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([(b"store-era", b"12")], 12),
        ([], None),
        ([(b"store-era", b"1"), (b"store-era", b"2")], None),
        ([(b"store-era", b"")], None),
        ([(b"store-era", b"-1")], None),
        ([(b"store-era", b"1.5")], None),
        ([(b"store-era", b"\xb2")], None),
        ([(b"store-era", b"newest")], None),
    ],
)
def test_era_is_read_or_unknown(headers, expected):
    """A value that is no whole number, or that occurs twice, counts as no era."""
    assert EraReader(EraWatch(Metrics())).read(headers) == expected


@pytest.mark.parametrize(
    ("answers", "is_comparable"),
    [
        ([[], []], True),
        ([[(b"store-era", b"newest")]], False),
        ([[(b"store-era", b"newest")], []], False),
        ([[(b"store-era", b"1"), (b"store-era", b"2")]], False),
        ([[(b"store-era", b"1")], []], False),
    ],
)
def test_positions_without_an_era_are_compared_if_none_was_ever_reported(
    answers, is_comparable
):
    """Guards against hosts that rely on a peer though the store may come back older."""
    eras = EraWatch(Metrics())
    reader = EraReader(eras)
    for headers in answers:
        reader.read(headers)
    assert eras.is_comparable(None) is is_comparable


@pytest.mark.parametrize("status", [200, 409, 410, 412, 429, 503])
def test_refusals_report_the_era_too(status):
    """A store that refuses this host may have been restored meanwhile."""

    async def test(store, client):
        position = (await client.read_newest(TOPIC))[1]
        store.status, store.headers = status, [("store-era", "2")]
        with pytest.raises(SourceRestoredError):
            await client.read_changes(TOPIC, position)
        return client.eras.newest

    assert run_client(test) == 2


def test_position_of_an_earlier_era_is_not_read_from():
    """After a restore, a position may hold other records than those that were read."""

    async def test(store, client):
        await client.eras.note(3, told_by="test")
        with pytest.raises(SourceRestoredError):
            await client.read_changes(TOPIC, Position(2, 5))
        return store.asked

    assert run_client(test) == []


def test_late_answer_of_an_earlier_era_changes_nothing():
    """A kept connection may deliver state from before the restore."""

    async def test(store, client):
        await client.eras.note(3, told_by="test")
        with pytest.raises(PlatformUnavailableError):
            await client.read_newest(TOPIC)
        with pytest.raises(PlatformUnavailableError):
            await client.write(TOPIC, [KeyedRecord("a", b"1")])
        return client.eras.newest

    assert run_client(test) == 3


class ForgottenConnection(AnsweringStore):
    """Answers on its first connection with the state before the restore, always."""

    def __init__(self):
        super().__init__()
        self._first = None

    async def handle(self, request, exchange):
        """Answer one call."""
        self._first = self._first or exchange._client
        is_first = exchange._client is self._first
        self.headers = [("store-era", "1" if is_first else "2")]
        await super().handle(request, exchange)


def test_connection_with_answers_of_an_earlier_era_is_not_reused():
    """Guards against a host with stale state for as long as one connection lives.

    The store comes back older; a kept connection still reaches the former store.
    """

    async def test(store, client):
        await client.read_newest(TOPIC)
        await client.eras.note(2, told_by="peer")
        with pytest.raises(PlatformUnavailableError):
            await client.read_newest(TOPIC)
        return (await client.read_newest(TOPIC))[1].era

    assert run_client(test, ForgottenConnection()) == 2


def test_store_without_an_era_is_supported():
    """An older store has no such header in any answer."""

    async def test(store, client):
        store.headers = []
        position = (await client.read_newest(TOPIC))[1]
        records, next_position = await client.read_changes(TOPIC, position)
        return position.era, next_position.offset, client.eras.newest

    assert run_client(test) == (None, 7, None)


def test_missing_header_is_no_new_era():
    """One answer without the header does not cause a complete read."""

    async def test(store, client):
        position = (await client.read_newest(TOPIC))[1]
        store.headers = []
        _, next_position = await client.read_changes(TOPIC, position)
        store.headers = [("store-era", "1")]
        await client.read_changes(TOPIC, next_position)
        return next_position.era

    assert run_client(test) == 1


def test_waiting_read_is_cancelled_when_an_era_begins():
    """Guards against a change that comes into force only with the next one.

    A read waits after records that the store has lost; another call shows the new era.
    The store would answer the read only once there is a record at its position.
    """

    async def test(store, client):
        await store.put(TOPIC, "i-1", {"a": 1})
        _, position = await client.read_newest(TOPIC)
        waiting = await curio.spawn(client.read_changes, TOPIC, position, 30.0)
        while store.topics[TOPIC].waiting < 1:
            await curio.sleep(0.002)
        store.keep_copy()
        store.restore()
        await client.read_newest(TOPIC)
        with pytest.raises(curio.TaskError) as caught:
            await curio.timeout_after(1.0, waiting.join)
        return type(caught.value.__cause__)

    assert run_client(test, PlatformStoreStandin()) is SourceRestoredError


def test_waiting_read_whose_own_answer_reports_the_era_is_read_anew():
    """The read must not be cancelled by the era in its own answer."""

    async def test(store, client):
        _, position = await client.read_newest(TOPIC)
        store.headers = [("store-era", "2")]
        with pytest.raises(SourceRestoredError):
            await client.read_changes(TOPIC, position, 5.0)

    run_client(test)


def test_read_after_the_end_is_reported_as_a_restore():
    """The store answers 410 there; its era shows the cause."""

    async def test(store, client):
        await store.put(TOPIC, "i-1", {"a": 1})
        store.keep_copy()
        await store.put(TOPIC, "i-1", {"a": 2})
        _, position = await client.read_newest(TOPIC)
        store.restore()
        with pytest.raises(SourceRestoredError):
            await client.read_changes(TOPIC, position)

    run_client(test, PlatformStoreStandin())


def test_member_joins_anew_after_a_restore():
    """Guards against two hosts that hold the same share until it lapses.

    A member must not join with a generation that the store has not reached again.
    """

    async def test(store, client):
        shares = StoreShares(client, "host-1", "a", 8, 4.0)
        for _ in range(2):
            await shares.renew()
        store.headers = [("store-era", "2")]
        await client.read_newest(TOPIC)
        await shares.renew()
        joins = [one.json() for one in store.asked if one.path.endswith("log-join")]
        return [join["generation"] for join in joins]

    assert run_client(test) == [0, 9, 0]


def test_changes_are_read_up_to_the_end_of_the_log():
    """Guards against a truncated list that counts as just read.

    The changes don't fit into one answer.
    """
    store = PlatformStoreStandin()
    store.read_limit_bytes = 100

    async def test(store, client):
        _, position = await client.read_newest(TOPIC)
        calls_before = len(store.calls)
        for number in range(50):
            await store.put(TOPIC, f"i-{number}", {"state": "ready"})
        records, next_position = await client.read_changes(TOPIC, position)
        assert len(store.calls) - calls_before > 1
        return [one.key for one in records], next_position.offset

    keys = [f"i-{number}" for number in range(50)]
    assert run_client(test, store) == (keys, 50)
