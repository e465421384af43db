"""Planned stops of an entry: requests under way finish, and nothing is aborted."""

import curio

from siskinthread.gateway import GatewaySettings
from siskinthread.platform.tests.system import (
    behave,
    body_of,
    EVENTS,
    read_response,
    run_system,
    SAFE_PATH,
    status_of,
    STREAM_PATH,
    until,
)
from standins import platform_behaviours as faults


def test_planned_stop_finishes_streams_and_refuses_nothing_that_came():
    """Guards against streams that a rolling restart aborts.

    A stop begins while a stream runs.  Readiness fails, the stream continues to its
    end, and a request that arrives before the balancer has noticed is answered.
    """

    async def test(system):
        behave(system, faults.stream(1, 5, gap_s=0.1))
        client = await system.connect()
        await client.sendall(system.request_bytes(STREAM_PATH))
        await until(lambda: len(system.seen()) == 1)
        drain = await curio.spawn(system.gateway.drain, 5.0)
        await curio.sleep(0.02)
        ready = await system.ready_status()
        late = await system.request(SAFE_PATH)
        streamed = await read_response(client)
        await client.close()
        return ready, late, streamed, await drain.join()

    ready, late, streamed, finished = run_system(test, balancer_notice_s=0.2)
    assert ready == 503
    assert status_of(late) == 200
    assert b"connection: close" in late.lower()
    assert body_of(streamed) == EVENTS
    assert finished


def test_idle_connections_are_closed_soon_after_the_balancer_has_noticed():
    """Guards against a stream that begins late in a drain and is aborted at its end.

    A caller sends its next request on a kept connection just before that is closed; the
    process is killed 5 s later, with the stream still running.  With idle connections
    kept for up to 3.1 s after the stop began, a stream that began after 3.03 s was
    aborted.
    """

    async def test(system):
        client = await system.connect()
        await client.sendall(system.request_bytes(SAFE_PATH))
        await read_response(client)
        drain = await curio.spawn(system.gateway.drain, 5.0)
        closed = await curio.timeout_after(0.4, client.recv, 1)
        await client.close()
        await drain.join()
        return closed

    assert run_system(test, balancer_notice_s=0.1, idle_grace_s=0.1) == b""
    defaults = GatewaySettings()
    last_s = defaults.balancer_notice_s + defaults.idle_grace_s
    # The platform's grace period covers streams that begin within the first 3 s.
    assert last_s + 2 * defaults.watch_interval_s < 2.9
