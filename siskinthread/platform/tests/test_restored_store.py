"""The store comes back from a copy that is some seconds old.

What it acknowledged since is gone, and the offsets of the lost records are given out
again.  Operators and servers write theirs again, some seconds later.
"""

import curio

from siskinthread.platform.tests.fleet import POISON, run_fleet
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

REVOKED, KEPT = KEY, "k2c8fhwt5nq0zr7bmvle"
LAPSE_GRACE_S = 0.3
REQUEST_COUNT = 20
OTHER_RECORDS = 14


async def go_back(system, records):
    """Let the store lose some records that this host has read."""
    system.store.keep_copy()
    for topic, key, value in records:
        await system.store.put(topic, key, value)
    await until(lambda: knows_all_of(system, records))
    system.store.restore()


def knows_all_of(system, records):
    """Return whether the newest of some records of servers has been read."""
    newest = system.targets.newest
    return all(
        key in newest and b'"sequence": %d' % value["sequence"] in newest[key].value
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
    """Return reports of a server as it writes them again and again."""
    return [
        ("keyed.servers", server.instance_id, listed(server, sequence=number))
        for number in range(2, 2 + count)
    ]


def test_server_that_leaves_over_offsets_that_were_read_before_gets_no_request():
    """Symptom: half of all requests reach a server that leaves.

    Events: ten records are read and then lost; the word that a server leaves is
    written at an offset that this host has read past, and others behind it.  Cause:
    the host read on from its old position, behind that word.
    """

    async def test(system):
        leaving, other = system.servers
        await go_back(system, reports(other, 10))
        document = listed(leaving, state="draining", sequence=2)
        await system.store.put("keyed.servers", leaving.instance_id, document)
        for record in reports(other, OTHER_RECORDS):
            await system.store.put(*record)
        await curio.sleep(1.0)
        return await targets_asked(system), {other.instance_id}

    asked, expected = run_system(test)
    assert asked == expected


def test_key_that_is_revoked_over_an_offset_that_was_read_before_is_denied():
    """Symptom: a revoked key still passes, for as long as nothing else is published.

    Events: one record is read and lost; the next one, which takes the key away, gets
    its offset.  Cause: the read that waits for changes waits behind that offset.
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


def test_request_that_ends_servers_is_remembered_by_a_store_that_lost_it():
    """Symptom: a request ends three servers more after all hosts have started anew.

    Events: three servers have ended under it, which the store is told; the store
    loses that; seconds later all hosts start anew.  Cause: nobody wrote it again.
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


def test_server_that_had_left_and_is_listed_again_by_the_copy_gets_no_request():
    """Symptom: requests reach a server long after its leaving was acknowledged.

    Events: one server has said that it leaves, another one was dropped from the list;
    the copy lists both as they were before.
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
        # It was dropped while it could not report, and has reported again since.
        document = listed(dropped, sequence=3)
        await system.store.put("keyed.servers", dropped.instance_id, document)
        await until(lambda: len(targets.serving("app")) == 2)
        return asked, {other.instance_id}

    asked, expected = run_system(test, server_count=3, lapse_grace_s=LAPSE_GRACE_S)
    assert asked == expected


def test_server_that_came_and_is_missing_in_the_copy_serves_on():
    """Symptom: all servers that have started in the last seconds vanish at once.

    Events: the copy was made before they came; each of them writes its entry again
    within two seconds.  One that does not is gone.
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
