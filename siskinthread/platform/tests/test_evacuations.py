"""Failure domains that the operator evacuates, and whose evacuation ends again."""

import contextlib
import time

import curio
import pytest

from siskinthread.gateway.tests.parts import entry, ids
from siskinthread.platform._evacuation_records import EvacuationRecords
from siskinthread.platform._group_control import ranks_to_query
from siskinthread.platform._store_records import KeyedRecord
from siskinthread.platform.tests.fleet import run_fleet
from siskinthread.platform.tests.load import Load
from siskinthread.platform.tests.system import (
    body_of,
    EVENTS,
    listed,
    ONCE_PATH,
    run_system,
    SAFE_PATH,
    status_of,
    STREAM_PATH,
    until,
)
from siskinthread.platform.tests.test_outages import peer_handler
from siskinthread.settings import Address
from standins._http_server import HttpServer
from standins.platform_behaviours import answer_whole, stream

# Time from the confirmation after which no request may reach an evacuated domain.
WITHDRAWN_S = 1.0
USED_AGAIN_S = 2.0
REQUESTS_PER_S = 60


class Arrivals:
    """Serves requests, and records their arrivals in each failure domain."""

    def __init__(self):
        self.times_s = {}

    def serve_in(self, domain):
        """Return the behaviour of a server in a domain."""
        times_s = self.times_s.setdefault(domain, [])

        async def serve(server, request, client):
            times_s.append(time.monotonic())
            await answer_whole(server, request, client)

        return serve

    def between(self, domain, from_s, to_s=float("inf")):
        """Return the number of requests that arrived within a time span."""
        return sum(from_s <= at_s < to_s for at_s in self.times_s[domain])


@contextlib.asynccontextmanager
async def served(fleet, domains):
    """Assign servers to domains, and load all present entries; all must be answered.

    Entries are in domain a and prefer its servers, so most tests place none there.
    """
    arrivals = Arrivals()
    for server, domain in zip(fleet.servers, domains, strict=True):
        server.set_default_behaviour(arrivals.serve_in(domain))
        document = listed(server, zone=domain, sequence=2)
        await fleet.store.put("keyed.servers", server.instance_id, document)
    for host in fleet.entries:
        await until(lambda host=host: knows_domains(host.gateway, set(domains)))
    load = Load(fleet, REQUESTS_PER_S)
    running = await curio.spawn(load.run, list(fleet.entries), 600.0)
    try:
        await until(lambda: all(arrivals.times_s.values()))
        yield arrivals
    finally:
        await running.cancel()
    assert load.unserved() == []


def knows_domains(gateway, domains):
    """Return whether a gateway's targets are in exactly these domains."""
    entries = gateway.parts.targets.entries()
    return {one.failure_domain for one in entries} == domains


def evacuated(host):
    """Return the evacuated domains that an entry knows."""
    return set(host.gateway.parts.evacuations.domains())


async def until_all(fleet, domains):
    """Wait until all entries know exactly these domains to be evacuated."""
    await until(lambda: all(evacuated(one) == domains for one in fleet.entries))


@pytest.mark.parametrize(
    ("entry_count", "isolated_count"), [(1, 0), (4, 0), (3, 1), (12, 0)]
)
def test_evacuated_domain_gets_no_request_until_its_release(
    entry_count, isolated_count
):
    """Guards against requests to an evacuated domain.

    With 12 hosts, 88 requests reached the domain later than 5 s after its evacuation.
    """

    async def test(fleet):
        async with served(fleet, "ccbb") as arrivals:
            await fleet.store.evacuate("b")
            confirmed_s = time.monotonic()
            await curio.sleep(2.5)
            await fleet.store.take_back("b")
            taken_back_s = time.monotonic()
            await curio.sleep(USED_AGAIN_S)
        late = arrivals.between("b", confirmed_s + WITHDRAWN_S, taken_back_s)
        used = arrivals.between("b", taken_back_s, taken_back_s + USED_AGAIN_S)
        return late, used > 0

    assert run_fleet(test, entry_count, isolated_count, 4) == (0, True)


@pytest.mark.parametrize(("entry_count", "isolated_count"), [(4, 0), (1, 1)])
def test_store_that_falls_silent_a_second_after_an_evacuation(
    entry_count, isolated_count
):
    """The evacuation holds while the store is silent, and ends 2 s after it is back.

    Its record is dropped while the store is silent.
    """

    async def test(fleet):
        async with served(fleet, "ccbb") as arrivals:
            await fleet.store.evacuate("b")
            confirmed_s = time.monotonic()
            await curio.sleep(1.0)
            fleet.store.mode = "silent"
            await curio.sleep(1.5)
            await fleet.store.take_back("b")
            await curio.sleep(0.5)
            fleet.store.mode = "up"
            back_s = time.monotonic()
            await curio.sleep(USED_AGAIN_S)
        late = arrivals.between("b", confirmed_s + WITHDRAWN_S, back_s)
        return late, arrivals.between("b", back_s) > 0

    assert run_fleet(test, entry_count, isolated_count, 4) == (0, True)


def test_host_with_a_silent_read_learns_of_an_evacuation_from_peers():
    """Guards against a read that waits at the store forever and hides an evacuation."""

    async def test(fleet):
        cut_off = fleet.entries[0]
        follower = cut_off.gateway._table_follower
        async with served(fleet, "ccbb") as arrivals:
            # Its reads wait for a record that will not come.
            follower._source._store = _SilentStore()
            await follower.read_again()
            await fleet.store.evacuate("b")
            confirmed_s = time.monotonic()
            await curio.sleep(2.0)
            known = evacuated(cut_off)
            late = arrivals.between("b", confirmed_s + WITHDRAWN_S)
        return known, late

    assert run_fleet(test, 3, 0, 4) == ({"b"}, 0)


def test_two_domains_all_of_them_and_the_same_one_again():
    """With all domains evacuated, requests are refused at once with a retry time."""

    async def test(fleet):
        async with served(fleet, "abc") as arrivals:
            await fleet.store.evacuate("b")
            await fleet.store.evacuate("c")
            confirmed_s = time.monotonic()
            await curio.sleep(1.5)
            late = [arrivals.between(one, confirmed_s + WITHDRAWN_S) for one in "bc"]
            await fleet.store.evacuate("b")
            await fleet.store.take_back("c")
            await until_all(fleet, {"b"})
        await fleet.store.evacuate("a")
        await fleet.store.evacuate("c")
        await fleet.store.evacuate("unknown")
        await until_all(fleet, {*"abc", "unknown"})
        began_s = time.monotonic()
        response = await fleet.entries[0].request(SAFE_PATH, b"x")
        took_s = time.monotonic() - began_s
        await fleet.store.take_back("a")
        await until_all(fleet, {*"bc", "unknown"})
        pages = fleet.entries[0].gateway.metrics_page().body
        assert b'evacuation_withheld_total{stage="choice"} 1.0' in pages
        assert b"gateway_evacuated_domains 3.0" in pages
        served_again = await fleet.entries[0].request(SAFE_PATH, b"x")
        return late, response, took_s, status_of(served_again)

    late, response, took_s, status = run_fleet(test, 3, 0, 3)
    assert late == [0, 0]
    assert status_of(response) == 503
    assert b"retry-after:" in response.lower()
    assert b"evacuated" in response
    assert took_s < 0.2
    assert status == 200


def test_store_restored_without_the_record_keeps_the_domain_evacuated():
    """Guards against requests to a domain whose record a restored store has lost."""

    async def test(fleet):
        fleet.store.keep_copy()
        async with served(fleet, "ccbb") as arrivals:
            await fleet.store.evacuate("b")
            await until_all(fleet, {"b"})
            fleet.store.restore()
            for server, domain in zip(fleet.servers, "ccbb", strict=True):
                document = listed(server, zone=domain, sequence=3)
                await fleet.store.put("keyed.servers", server.instance_id, document)
            restored_s = time.monotonic()
            await curio.sleep(1.5)
            kept = [evacuated(one) for one in fleet.entries]
            late = arrivals.between("b", restored_s + WITHDRAWN_S)
            await fleet.store.take_back("b")
            await until_all(fleet, set())
        return kept, late

    assert run_fleet(test, 3, 0, 4) == ([{"b"}] * 3, 0)


def test_host_that_starts_knows_an_evacuation_before_it_is_ready():
    """Guards against a started host whose first requests go to an evacuated domain."""

    async def test(fleet):
        async with served(fleet, "ccbb"):
            await fleet.store.evacuate("b")
            await until_all(fleet, {"b"})
            # Drop all records except the newest of each key.
            fleet.store.topics["keyed.op"].forget()
            await fleet.join()
            return evacuated(fleet.entries[-1])

    assert run_fleet(test, 2, 0, 4) == {"b"}


def test_snapshot_of_a_peer_holds_evacuations():
    """Guards against a host that knows targets, but no evacuations, from a snapshot.

    The store refuses its calls.
    """

    async def test(system):
        await system.store.evacuate("a")
        evacuations = system.gateway.parts.evacuations
        await until(lambda: evacuations.is_evacuated("a"))
        return system.snapshot_page()

    page = run_system(test)

    async def start_anew(system):
        async with HttpServer(peer_handler(system, page)) as peer:
            system.peers.informed = [Address(peer.host, peer.port)]
            await until(lambda: system.gateway.view.table is not None)
            return system.gateway.parts.evacuations.domains()

    assert run_system(start_anew, first_mode="busy") == {"a"}


def test_stream_in_flight_is_finished():
    """Guards against an evacuation that aborts streams under way."""

    async def test(system):
        system.servers[0].set_default_behaviour(stream(1, 5, gap_s=0.1))
        running = await curio.spawn(system.request, STREAM_PATH)
        await until(system.seen)
        await system.store.evacuate("a")
        evacuations = system.gateway.parts.evacuations
        await until(lambda: evacuations.is_evacuated("a"))
        return body_of(await running.join()), len(system.seen())

    assert run_system(test, server_count=1) == (EVENTS, 1)


def test_request_that_was_chosen_before_an_evacuation_is_not_written():
    """Guards against using a target that is evacuated while its connection opens."""

    async def test(system):
        parts = system.gateway.parts
        parts.pool = _LatePool(parts.pool, system.store, parts.evacuations)
        return status_of(await system.request(ONCE_PATH)), system.seen()

    assert run_system(test) == (503, [])


class _LatePool:
    """Connections that open only after an evacuation is known."""

    def __init__(self, pool, store, evacuations):
        self._pool = pool
        self._store = store
        self._evacuations = evacuations

    async def take(self, *arguments):
        """Return a connection."""
        connection = await self._pool.take(*arguments)
        await self._store.evacuate("a")
        await until(lambda: self._evacuations.is_evacuated("a"))
        return connection

    async def sweep(self, serving):
        """Close nothing."""


class _SilentStore:
    """A store that answers nothing."""

    async def read_changes(self, topic, position, wait_s=0.0):
        """Wait without end."""
        await curio.sleep(3600.0)


def test_ranks_in_evacuated_domains_are_not_queried():
    """Guards against querying ranks of groups in evacuated domains at a start."""
    ranks = [
        entry("m-1", "model", domain="a"),
        entry("m-2", "model", domain="b"),
        entry("n-1", "nearby", domain="b"),
        entry("n-2", "nearby", domain="b"),
    ]
    known = ranks_to_query(ranks, unknown=[*ranks[:2], ranks[3]], evacuated={"b"})
    assert ids(known) == ["m-1", "m-2", "n-1"]


def test_records_of_other_keys_and_malformed_values():
    """Any value evacuates, a dropped record ends it, and other keys have no effect."""
    records = EvacuationRecords()
    values = [("evacuate/b", b"{}"), ("evacuate/c", b"?"), ("config", b"{}")]
    records.replace_all([KeyedRecord(*one) for one in values])
    assert records.domains == {"b", "c"}
    values = [("evacuate/b", None), ("evacuate/", b"{}"), ("config", None)]
    records.apply_changes([KeyedRecord(*one) for one in values])
    assert (records.domains, records.taken_back) == ({"c"}, ["b"])
    records.replace_all([])
    assert (records.domains, records.taken_back) == (set(), [])
