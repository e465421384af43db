"""The store comes back from a copy that is some seconds old.

Records that it has acknowledged since are gone, and their offsets are assigned again.
Operators and servers write their records again some seconds later.
"""

import json

import curio
import pytest

from siskinthread.gateway import GatewaySettings
from siskinthread.platform.tests.fleet import (
    GATEWAY_SETTINGS,
    NOWHERE,
    POISON,
    run_fleet,
)
from siskinthread.platform.tests.system import (
    KEY,
    listed,
    ONCE_PATH,
    published,
    run_system,
    SAFE_PATH,
    status_of,
    until,
)
from siskinthread.platform.tests.test_outages import page_of, peer_handler
from siskinthread.poison_requests import PoisonSettings
from siskinthread.poison_requests._write_turns import ORDER_NAME
from siskinthread.settings import Address
from standins._http_server import HttpServer

pytestmark = pytest.mark.running_clock

REVOKED, KEPT = KEY, "k2c8fhwt5nq0zr7bmvle"
LAPSE_GRACE_S = 0.3
REQUEST_COUNT = 20
OTHER_RECORDS = 14


async def lose_records(system, records):
    """Let the store lose some records that this host has read."""
    system.store.keep_copy()
    for topic, key, value in records:
        await system.store.put(topic, key, value)
    await until(lambda: knows_all_of(system, records))
    system.store.restore()


def knows_all_of(system, records):
    """Return whether the newest of some server records has been read."""
    known = system.targets.listed
    return all(
        key in known
        and b'"sequence": %d' % value["sequence"] in known[key].record.value
        for topic, key, value in records[-1:]
    )


async def targets_asked(system, count=REQUEST_COUNT):
    """Send requests; return the ids of the servers that they reached."""
    for server in system.servers:
        server.seen.clear()
    for _ in range(count):
        await system.request(SAFE_PATH)
    return {server.instance_id for server in system.servers if server.seen}


def reports(server, count):
    """Return a series of reports of a server."""
    return [
        ("keyed.servers", server.instance_id, listed(server, sequence=number))
        for number in range(2, 2 + count)
    ]


def test_server_that_leaves_at_a_reused_offset_gets_no_request():
    """Guards against half of all requests reaching a server that leaves.

    Ten records are read and then lost; the record that a server leaves is written at an
    offset that this host has read past, and others after it.  Reading on from the old
    position would miss that record.
    """

    async def test(system):
        leaving, other = system.servers
        await lose_records(system, reports(other, 10))
        document = listed(leaving, state="draining", sequence=2)
        await system.store.put("keyed.servers", leaving.instance_id, document)
        for record in reports(other, OTHER_RECORDS):
            await system.store.put(*record)
        await curio.sleep(1.0)
        return await targets_asked(system), {other.instance_id}

    asked, expected = run_system(test)
    assert asked == expected


def test_key_revoked_at_a_reused_offset_is_denied():
    """Guards against a revoked key that passes until something else is published.

    One record is read and lost; the next one, which revokes the key, gets its offset. A
    read that waits for changes waits after that offset.
    """

    async def test(system):
        system.store.keep_copy()
        await system.store.put("keyed.op", "config", published(2, keys=[REVOKED, KEPT]))
        await until(lambda: system.gateway.view.table.version == 2)
        system.store.restore()
        await system.store.put("keyed.op", "config", published(3, keys=[KEPT]))
        await curio.sleep(1.0)
        denied = await system.request(SAFE_PATH, key=REVOKED)
        return status_of(denied), status_of(await system.request(SAFE_PATH, key=KEPT))

    assert run_system(test, table_wait_s=30.0) == (401, 200)


def test_lost_record_of_a_request_that_ends_servers_is_rewritten():
    """Guards against three more ended servers after all hosts have restarted.

    Three servers have ended under a request, of which the store has a record; the store
    loses the record; seconds later all hosts restart.  A host must write the record
    again.
    """

    async def test(fleet):
        fleet.store.keep_copy()
        for entry in fleet.entries:
            await entry.request(ONCE_PATH, POISON)
        await until(lambda: len(fleet.ended) == 3)
        await until(lambda: "keyed.suspects" in fleet.store.topics)
        await until(lambda: fleet.store.topics["keyed.suspects"].newest)
        await curio.sleep(0.5)
        fleet.store.restore()
        for server in fleet.servers:
            await fleet.store.put("keyed.servers", server.instance_id, listed(server))
        await curio.sleep(5.0)
        for entry in fleet.entries:
            await entry.stop()
        for entry in fleet.entries:
            await entry.start()
        for entry in fleet.entries:
            await entry.request(ONCE_PATH, POISON)
        await curio.sleep(0.5)
        return len(fleet.ended)

    assert run_fleet(test) == 3


def test_left_server_that_the_copy_lists_gets_no_request():
    """Guards against requests to a server long after its leaving was acknowledged.

    One server has announced that it leaves, another one was dropped from the list; the
    copy lists both as they were before.
    """

    async def test(system):
        leaving, dropped, other = system.servers
        system.store.keep_copy()
        document = listed(leaving, state="draining", sequence=2)
        await system.store.put("keyed.servers", leaving.instance_id, document)
        await system.store.put("keyed.servers", dropped.instance_id, None)
        targets = system.gateway.parts.targets
        await until(lambda: len(targets.serving("app")) == 1)
        system.store.restore()
        await curio.sleep(1.0)
        asked = await targets_asked(system)
        # The server was dropped while it could not report, and has reported again
        # since.
        document = listed(dropped, sequence=3)
        await system.store.put("keyed.servers", dropped.instance_id, document)
        await until(lambda: len(targets.serving("app")) == 2)
        return asked, {other.instance_id}

    asked, expected = run_system(test, server_count=3, lapse_grace_s=LAPSE_GRACE_S)
    assert asked == expected


def test_new_server_missing_in_the_copy_serves_on():
    """Guards against losing all servers that have started in the last seconds.

    The copy was made before they started; each of them writes its entry again within
    two seconds.  A server that does not is gone.
    """

    async def test(system):
        earlier, later = system.servers
        topic = system.store.topics["keyed.servers"]
        key = later.instance_id
        await system.store.put("keyed.servers", key, None)
        targets = system.gateway.parts.targets
        await until(lambda: len(targets.serving("app")) == 1)
        system.store.keep_copy()
        await system.store.put("keyed.servers", key, listed(later, sequence=2))
        await until(lambda: len(targets.serving("app")) == 2)
        calls_before = len(system.store.calls)
        system.store.restore()
        assert system.store.topics["keyed.servers"] is not topic
        await until(
            lambda: "/siskinthread/log-newest" in system.store.calls[calls_before:]
        )
        await curio.sleep(LAPSE_GRACE_S / 3)
        kept_count = len(targets.serving("app"))
        await until(lambda: len(targets.serving("app")) == 1)
        await system.store.put("keyed.servers", key, listed(later, sequence=3))
        await until(lambda: len(targets.serving("app")) == 2)
        return kept_count

    assert run_system(test, lapse_grace_s=LAPSE_GRACE_S) == 2


def test_configuration_does_not_go_back_with_the_store():
    """Guards against refusing requests on an added route for seconds.

    A version was in force; the copy has the one before it, until the operator has
    written the newer one again.
    """

    async def test(system):
        system.store.keep_copy()
        await system.store.put("keyed.op", "config", published(2, keys=[REVOKED, KEPT]))
        await until(lambda: system.gateway.view.table.version == 2)
        system.store.restore()
        calls_before = len(system.store.calls)
        newest = "/siskinthread/log-newest"
        await until(lambda: system.store.calls[calls_before:].count(newest) >= 2)
        await curio.sleep(0.1)
        status = status_of(await system.request(SAFE_PATH, key=KEPT))
        await system.store.put("keyed.op", "config", published(3, keys=[KEPT]))
        await until(lambda: system.gateway.view.table.version == 3)
        return status

    assert run_system(test) == 200


def test_host_that_starts_after_a_restore_serves_by_a_snapshot():
    """Guards against an added host that denies keys which all others accept.

    It starts just after the restore, and the copy has an older version than its peers.
    It must not ask the store 2.5 times a second in vain for the newer one.
    """

    async def test(system):
        newer = published(7, keys=[KEPT])
        page = page_of(system, newer, {})
        async with HttpServer(peer_handler(system, page)) as peer:
            system.peers.informed = [Address(peer.host, peer.port)]
            system.peers.version = 7
            calls_before = len(system.store.calls)
            await until(lambda: system.gateway.view.table.version == 7)
            await curio.sleep(0.5)
            reads = system.store.calls[calls_before:].count("/siskinthread/log-read")
            served = await system.request(SAFE_PATH, key=KEPT)
            # The peer's snapshot has the configuration only: the list is this host's
            # own.
            serving_count = len(system.gateway.parts.targets.serving("app"))
        return status_of(served), serving_count, reads

    status, serving_count, reads = run_system(test, target_interval_s=0.25)
    assert (status, serving_count) == (200, 2)
    # At most two reads of the list, and three of the configuration.
    assert reads <= 6


def test_snapshot_leaves_out_what_an_older_record_says_of_a_target_that_leaves():
    """Guards against a host that uses a left server while the store refuses the host.

    It fetches a snapshot from a peer, whose newest record of that server is of the
    copy.
    """

    async def test(system):
        leaving, other = system.servers
        system.store.keep_copy()
        document = listed(leaving, state="draining", sequence=2)
        await system.store.put("keyed.servers", leaving.instance_id, document)
        targets = system.gateway.parts.targets
        await until(lambda: len(targets.serving("app")) == 1)
        system.store.restore()
        await until(
            lambda: b"ready" in system.targets.listed[leaving.instance_id].record.value
        )
        return list(json.loads(system.snapshot_page().body)["servers"])

    assert run_system(test) == ["i-1"]


def test_lost_record_of_a_request_is_written_again_once():
    """Guards against 99 hosts that write the same record at one moment.

    A request is held back from targets, as the store and all hosts know; the host that
    saw the targets end is gone; the store loses the record.
    """

    async def test(fleet):
        fleet.store.keep_copy()
        first = fleet.entries[0]
        for _ in range(3):
            await first.request(ONCE_PATH, POISON)
        await until(lambda: "keyed.suspects" in fleet.store.topics)
        await until(lambda: fleet.store.topics["keyed.suspects"].newest)
        await curio.sleep(0.5)
        await first.stop()
        calls_before = len(fleet.store.calls)
        fleet.store.restore()
        for server in fleet.servers:
            await fleet.store.put("keyed.servers", server.instance_id, listed(server))
        await until(lambda: "keyed.suspects" in fleet.store.topics)
        await until(lambda: fleet.store.topics["keyed.suspects"].newest)
        await curio.sleep(2.5)
        return fleet.store.calls[calls_before:].count("/siskinthread/log-append")

    assert run_fleet(test, entry_count=6) == 1


async def lose_known_request(fleet, before_restore):
    """Let a store lose a request that all hosts know; return what is written again.

    Parameters
    ----------
    fleet : Fleet
        The first entry sees the targets end, and is gone afterwards.
    before_restore : callable
        Coroutine function that is called with the fleet.

    Returns
    -------
    tuple of int
        Number of write calls, and of written records.
    """
    fleet.store.keep_copy()
    first = fleet.entries[0]
    for _ in range(3):
        await first.request(ONCE_PATH, POISON)
    await until(lambda: "keyed.suspects" in fleet.store.topics)
    await until(lambda: fleet.store.topics["keyed.suspects"].end == 2)
    await curio.sleep(0.5)
    await first.stop()
    await before_restore(fleet)
    calls_before = len(fleet.store.calls)
    fleet.store.restore()
    for server in fleet.servers:
        await fleet.store.put("keyed.servers", server.instance_id, listed(server))
    await until(lambda: "keyed.suspects" in fleet.store.topics)
    await until(lambda: fleet.store.topics["keyed.suspects"].newest)
    settings = PoisonSettings()
    await curio.sleep(settings.write_spread_s + settings.write_step_s)
    calls = fleet.store.calls[calls_before:].count("/siskinthread/log-append")
    return calls, fleet.store.topics["keyed.suspects"].end


def first_in_order(fleet):
    """Return the first running entry in the rendezvous order."""
    left = fleet.entries[1:]
    return min(
        left,
        key=lambda one: one.gateway.control_home.peers.rendezvous_position(ORDER_NAME),
    )


def test_lost_record_is_written_once_though_the_first_host_is_gone():
    """Guards against a lost record that no host writes again, or that all write.

    The first host of the order ended just before the restore, and no host knows yet.
    """

    async def stop_first(fleet):
        await first_in_order(fleet).stop()

    async def test(fleet):
        return await lose_known_request(fleet, stop_first)

    assert run_fleet(test, entry_count=6) == (1, 1)


def test_lost_record_is_written_once_though_the_host_whose_turn_it_is_is_cut_off():
    """Guards against a lost record that no host writes again, or that all write.

    The first host of the order exchanges messages with the others, and has no path to
    the store.
    """

    async def cut_first_off(fleet):
        cut_off = first_in_order(fleet)
        await cut_off.stop()
        cut_off.suspects_address = NOWHERE
        await cut_off.start()
        poison = cut_off.gateway.parts.poison
        await until(lambda: poison.statements())

    async def test(fleet):
        return await lose_known_request(fleet, cut_first_off)

    assert run_fleet(test, entry_count=6) == (1, 1)


def test_isolated_hosts_write_a_lost_record_once():
    """Guards against isolated hosts that each write a lost record again."""

    async def nothing(fleet):
        pass

    async def test(fleet):
        return await lose_known_request(fleet, nothing)

    _, record_count = run_fleet(test, entry_count=1, isolated_count=8)
    assert record_count == 1


def has_read_in_era(follower, era):
    """Return whether a host has read the list in an era; False while it reads anew."""
    statement = follower.statement()
    return statement is not None and statement.position.era == era


def test_hosts_that_learn_of_an_equal_list_do_not_read_it_anew():
    """Guards against all hosts reading the whole list at one moment.

    The store goes back, and its list is what they know.  One host reads it; the others
    learn its digest, and continue from its position.
    """

    async def test(fleet):
        # Let all hosts read the same list first.
        await curio.sleep(0.5)
        fleet.store.keep_copy()
        calls_before = len(fleet.store.calls)
        fleet.store.restore()
        followers = [entry.gateway._target_follower for entry in fleet.entries]
        await until(lambda: all(has_read_in_era(one, 2) for one in followers))
        await curio.sleep(1.0)
        return fleet.store.calls[calls_before:].count("/siskinthread/log-newest")

    # A host whose list is older than the limit reads for itself, whatever it learns.
    # With the limit of 0.1 s of the other tests, all six did so whenever the process
    # had stood still for that long.
    settings = GATEWAY_SETTINGS.with_values(
        target_age_limit_s=GatewaySettings().target_age_limit_s
    )
    # Each of six hosts reads the configuration and the suspected requests, and one host
    # reads the list; another host may be about to read it when the digest arrives.
    assert run_fleet(test, entry_count=6, settings=settings) <= 14
