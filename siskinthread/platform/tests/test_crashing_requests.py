"""Requests under which servers end, on entries that share servers and a store."""

import curio
import pytest

from siskinthread.platform.tests.fleet import NOWHERE, OTHER_KEY, POISON, run_fleet
from siskinthread.platform.tests.system import (
    KEY,
    listed,
    ONCE_PATH,
    run_system,
    SAFE_PATH,
    status_of,
    STREAM_PATH,
    until,
)
from siskinthread.poison_requests import PoisonSettings
from standins import platform_behaviours as faults

pytestmark = pytest.mark.running_clock


def logged(caplog, event):
    """Return the fields of all log lines of an event."""
    return [
        record.event_fields
        for record in caplog.records
        if record.getMessage().endswith(event) and hasattr(record, "event_fields")
    ]


def test_log_distinguishes_an_ended_server_from_an_aborted_answer(caplog):
    """Guards against log lines that don't show under which request a server has ended.

    A server ends while it runs a request, and others abort their streams since a rank
    of their group has ended.  Without ``target_ended`` the lines of both are equal:
    ``lost, ConnectionResetError``.
    """

    async def test(system):
        for server in system.servers:
            server.behaviours.append(faults.crash_during_request)
        ended = status_of(await system.request(SAFE_PATH, body=b"1"))
        for server in system.servers:
            await server.start_again(server.instance_id)
            server.behaviours.extend([faults.lose_answer] * 2)
        return ended, status_of(await system.request(SAFE_PATH, body=b"1"))

    with caplog.at_level("INFO", logger="siskinthread"):
        poison = PoisonSettings(pause_s=0.0)
        assert run_system(test, ejection_s=0.0, poison=poison) == (502, 502)
    first, second = logged(caplog, "request ended")
    assert first["fingerprint"] == second["fingerprint"]
    assert [one["target_ended"] for one in first["attempts"]] == [True, True]
    assert [one["target_ended"] for one in second["attempts"]] == [False, False]
    ended = logged(caplog, "target ended under a request")
    assert {one["target"] for one in ended} == {"i-0", "i-1"}
    assert {one["fingerprint"] for one in ended} == {first["fingerprint"]}


def test_request_that_ends_servers_is_held_back_by_every_entry():
    """Guards against a repeated request that ends one server after another.

    A caller sends the same request to any entry, each time with another id.  Each
    server that runs it ends 0.05 s to 0.2 s later, together with all streams of its
    group.  While entries did not exchange this, five more servers got the request after
    three had ended, and 9 ended in all; of 925 requests in 17 s, 541 were refused and
    101 broke off.
    """

    async def test(fleet):
        answers = {}
        for path in (SAFE_PATH, ONCE_PATH, STREAM_PATH):
            before = len(fleet.ended)
            statuses = []
            for number in range(9):
                entry = fleet.entries[number % len(fleet.entries)]
                response = await entry.request(path, POISON)
                statuses.append(status_of(response))
                # Let the entries exchange messages.
                await curio.sleep(0.3)
            others = [await one.request(path, b"report") for one in fleet.entries]
            answers[path] = (
                len(fleet.ended) - before,
                statuses,
                response,
                [status_of(one) for one in others],
            )
        return answers, fleet.sent_count(POISON)

    answers, sent_count = run_fleet(test)
    for path, (ended_count, statuses, last, others) in answers.items():
        assert ended_count == 3, path
        assert statuses[-5:] == [503] * 5, path
        assert b"retry-after: " in last.lower(), path
        assert others == [200, 200, 200], path
    assert sent_count == 9


async def end_three_servers(fleet, path=SAFE_PATH):
    """Send the poison to the first entry until it is refused."""
    while status_of(await fleet.entries[0].request(path, POISON)) != 503:
        await curio.sleep(0.05)
    assert len(fleet.ended) == 3


async def is_refused_without_attempt(fleet, entry, path=SAFE_PATH):
    """Return whether an entry refuses the poison without asking a server."""
    sent_count = fleet.sent_count(POISON)
    status = status_of(await entry.request(path, POISON))
    return status == 503 and fleet.sent_count(POISON) == sent_count


def knows(entry):
    """Return whether an entry holds some request back from targets."""
    register = entry.gateway.parts.poison
    return any(register.blocked_until(name) for name in register._suspects)


def test_entries_that_all_start_again_still_know_the_request():
    """Guards against three more ended servers after a loss of power of all entries.

    A request is held back from targets; all entries lose their state at one moment, and
    a new entry joins them.  The store must have a record of the request.
    """

    async def test(fleet):
        await end_three_servers(fleet)
        await until(lambda: "keyed.suspects" in fleet.store.topics)
        await until(lambda: fleet.store.topics["keyed.suspects"].newest)
        await curio.sleep(0.3)
        for entry in fleet.entries:
            await entry.stop()
        for entry in fleet.entries:
            await entry.start()
        await fleet.join()
        await until(lambda: all(knows(entry) for entry in fleet.entries))
        return [await is_refused_without_attempt(fleet, one) for one in fleet.entries]

    assert run_fleet(test) == [True] * 4


def test_entry_refused_by_the_store_learns_of_the_request_from_peers():
    """Guards against an entry without the store that ends three more servers.

    A request is held back; one entry restarts, and the store refuses its calls on such
    requests.
    """

    async def test(fleet):
        await end_three_servers(fleet)
        late = fleet.entries[2]
        await late.stop()
        late.suspects_address = NOWHERE
        await late.start()
        await until(lambda: knows(late))
        return await is_refused_without_attempt(fleet, late)

    assert run_fleet(test)


def test_isolated_entry_learns_of_the_request_from_the_store():
    """Guards against an isolated entry that ends three more servers.

    The path between one entry and the others is cut, and the path to the store is not;
    a request ends servers at the others.
    """

    async def test(fleet):
        isolated = fleet.entries[-1]
        await end_three_servers(fleet)
        await until(lambda: knows(isolated))
        return await is_refused_without_attempt(fleet, isolated)

    assert run_fleet(test, isolated_count=1)


def test_entries_on_both_sides_of_a_cut_count_together():
    """Guards against each side of a cut ending three servers on its own.

    Attempts arrive in turn at two entries that can't reach each other, but can reach
    the store.  The second end on one side is the first that the other side learns of.
    """

    async def test(fleet):
        for number in range(8):
            await fleet.entries[number % 2].request(ONCE_PATH, POISON)
            await curio.sleep(0.7)
        refused = [
            await is_refused_without_attempt(fleet, one, ONCE_PATH)
            for one in fleet.entries
        ]
        return refused, len(fleet.ended)

    refused, ended_count = run_fleet(test, entry_count=1, isolated_count=1)
    assert refused == [True, True]
    assert ended_count <= 4


@pytest.mark.parametrize(
    ("rounds", "expected_count"),
    [
        # Each request of the first round ends a server, and the next rounds are
        # refused.
        ([(0, 1, 2), (3, 4, 5), (3, 4, 5)], 3),
        # All or two requests meet at one server, so that the next round still runs.
        ([(0, 0, 0), (3, 4, 5), (3, 4, 5)], 4),
        ([(0, 0, 1), (3, 4, 5), (3, 4, 5)], 5),
    ],
)
def test_concurrent_attempts_end_few_servers_and_none_later(rounds, expected_count):
    """Attempts under way can't be recalled; later ones must be refused.

    A caller sends the same request to all entries at the same moment, again and again.
    After three ends the request is held back, so that a round that begins after two
    ends may end as many more servers as it has attempts.
    """

    async def test(fleet):
        for servers in rounds:
            async with curio.TaskGroup(wait=all) as group:
                for entry, number in zip(fleet.entries, servers, strict=True):
                    eject_all_but(entry, fleet.servers[number])
                    await group.spawn(entry.request, ONCE_PATH, POISON)
            await curio.sleep(0.3)
        ended_count = len(fleet.ended)
        for entry in fleet.entries:
            assert await is_refused_without_attempt(fleet, entry, ONCE_PATH)
        return ended_count

    assert run_fleet(test) == expected_count


def eject_all_but(entry, server):
    """Mark all servers except one as failing for an entry."""
    parts = entry.gateway.parts
    for one in parts.targets.entries():
        parts.health.succeeded(one.instance_id)
        if one.instance_id != server.instance_id:
            parts.health.failed(one.instance_id, "excluded by the test")


def test_requests_of_others_and_other_requests_are_served():
    """Guards against an account whose requests are refused because of another's.

    While a request is held back, the same path and body come from another account, and
    another body comes from the same account.  Servers end under the body of one account
    only.
    """

    async def test(fleet):
        await end_three_servers(fleet)
        statuses = []
        for entry in fleet.entries:
            for body, key in ((POISON, OTHER_KEY), (b"report", KEY), (b"", KEY)):
                response = await entry.request(SAFE_PATH, body, key)
                statuses.append(status_of(response))
        return statuses, await is_refused_without_attempt(fleet, fleet.entries[1])

    assert run_fleet(test) == ([200] * 9, True)


def test_requests_beside_the_one_that_ends_servers_are_served():
    """Guards against refusing requests that ran beside one that ends servers.

    Streams of others are under way at each server that ends; each stream continues at
    another server, and is sent again later.
    """

    async def test(fleet):
        async with curio.TaskGroup(wait=all) as group:
            others = [
                await group.spawn(
                    fleet.entries[number % 3].request, STREAM_PATH, b"%d" % number
                )
                for number in range(24)
            ]
            await end_three_servers(fleet, ONCE_PATH)
        first = [status_of(task.result) for task in others]
        again = [
            status_of(
                await fleet.entries[number % 3].request(STREAM_PATH, b"%d" % number)
            )
            for number in range(24)
        ]
        return first.count(200), again.count(200)

    assert run_fleet(test) == (24, 24)


def test_servers_that_break_off_and_go_on_count_against_no_request():
    """Guards against requests that are refused for minutes after a group has broken.

    Servers lose an answer, truncate it, or stay silent until the request's deadline;
    all of them go on running.
    """

    async def test(fleet):
        for server in fleet.servers:
            server.behaviours.extend([faults.lose_answer, faults.cut_answer])
        for _ in range(8):
            await fleet.entries[0].request(SAFE_PATH, b"report")
        for server in fleet.servers:
            server.behaviours.extend([faults.hang] * 2)
        await fleet.entries[0].request("/brief/2f", b"report")
        return len(fleet.entries[0].gateway.parts.poison._suspects)

    assert run_fleet(test) == 0


def test_server_that_leaves_and_ends_counts_against_no_request(caplog):
    """Guards against refusing a long request after three planned stops of servers.

    A server announces that it leaves, and ends while it still runs a request.
    """

    async def test(fleet):
        for server in fleet.servers:
            server.behaviours.append(end_late)
        entry = fleet.entries[0]
        task = await curio.spawn(entry.request, ONCE_PATH, b"report")
        await until(lambda: fleet.sent_count(b"report") == 1)
        [busy] = [server for server in fleet.servers if server.seen]
        leaving = listed(busy, state="draining")
        await fleet.store.put("keyed.servers", busy.instance_id, leaving)
        await task.join()
        return status_of(task.result), len(entry.gateway.parts.poison._suspects)

    with caplog.at_level("INFO", logger="siskinthread"):
        assert run_fleet(test) == (502, 0)
    [ended] = logged(caplog, "target ended under a request")
    assert ended["was_leaving"]


async def end_late(server, request, client):
    """Run a request for a while, and end before the answer."""
    await curio.sleep(0.4)
    await faults.crash_during_request(server, request, client)
