"""Requests that wait at the entry while the group of their service is broken."""

import curio
import pytest

from siskinthread.platform.tests.system import (
    body_of,
    EVENTS,
    ONCE_PATH,
    read_response,
    run_system,
    status_of,
    STREAM_PATH,
    until,
)
from standins import platform_behaviours as faults

pytestmark = pytest.mark.running_clock

BROKEN_S = 0.5


def break_group(system):
    """Let all ranks decline, as those of a broken group do."""
    system.gateway.parts.choice.group_of = lambda instance_id: "g"
    for server in system.servers:
        server.set_default_behaviour(faults.decline_for_group)


async def begin(system, path, count):
    """Send requests at once; return their connections."""
    clients = []
    for _ in range(count):
        client = await system.connect()
        await client.sendall(system.request_bytes(path))
        clients.append(client)
        await curio.sleep(0.01)
    return clients


@pytest.mark.parametrize(
    ("path", "behaviour", "body"),
    [(STREAM_PATH, faults.stream(1, 5), EVENTS), (ONCE_PATH, None, b"done\n")],
    ids=["stream", "once"],
)
def test_requests_wait_while_a_group_is_broken_briefly(path, behaviour, body):
    """Guards against refusing all requests that arrive while a group forms again.

    Guards as well against sending a request twice that may run once only.
    """

    async def test(system):
        break_group(system)
        clients = await begin(system, path, 8)
        await curio.sleep(BROKEN_S)
        for server in system.servers:
            server.set_default_behaviour(behaviour or faults.answer_whole)
        responses = [await read_response(client) for client in clients]
        for client in clients:
            await client.close()
        return responses, [one.request_id for one in system.seen()]

    responses, seen_ids = run_system(test, ejection_s=0.3, group_ejection_s=0.7)
    served = [one for one in responses if status_of(one) == 200]
    # The first request was declined by a rank; one that may run once only is not sent
    # to another.
    assert len(served) >= 7
    assert all(body_of(one) == body for one in served)
    for request_id in set(seen_ids):
        assert seen_ids.count(request_id) <= 2
    assert len(seen_ids) <= 10


def test_entry_drains_while_requests_wait():
    """Guards against a stop that aborts waiting requests, or that waits for them."""

    async def test(system):
        break_group(system)
        clients = await begin(system, STREAM_PATH, 4)
        room = system.gateway.parts.waiting_room
        await until(lambda: room.waiting_count("app") == 4)
        drain = await curio.spawn(system.gateway.drain, 5.0)
        async with curio.timeout_after(0.5):
            responses = [await read_response(client) for client in clients]
        for client in clients:
            await client.close()
        return responses, await drain.join(), room.waiting_count("app")

    responses, is_finished, waiting_count = run_system(test)
    assert is_finished and waiting_count == 0
    for response in responses:
        assert status_of(response) == 503
        assert b"refused_not_run" in response
        assert b"retry-after: " in response.lower()


def test_caller_leaves_while_its_request_waits():
    """Guards against running a request whose caller has left, or an unknown outcome."""

    async def test(system):
        break_group(system)
        clients = await begin(system, STREAM_PATH, 3)
        room = system.gateway.parts.waiting_room
        await until(lambda: room.waiting_count("app") == 3)
        sent_count = len(system.seen())
        for client in clients:
            await client.close()
        await until(lambda: room.waiting_count("app") == 0)
        await curio.sleep(0.2)
        page = system.gateway.metrics_page().body.decode()
        return len(system.seen()) - sent_count, page

    sent_count, page = run_system(test)
    assert sent_count == 0
    assert 'outcome="refused_not_run"' in page
    assert 'outcome="unknown"' not in page
