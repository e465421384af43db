"""Streams that a server declines, breaks off or continues."""

import curio

from siskinthread.platform.tests.system import (
    behave,
    body_of,
    EVENTS,
    published,
    route,
    run_system,
    status_of,
    STREAM_PATH,
    until,
)
from standins import platform_behaviours as faults


def test_declined_stream_goes_to_another_server():
    """A second attempt follows a decline if the route allows it."""

    async def test(system):
        behave(system, faults.decline, faults.stream(1, 5))
        response = await system.request(STREAM_PATH)
        return status_of(response), body_of(response)

    assert run_system(test) == (200, EVENTS)


def test_broken_stream_is_continued_behind_its_last_whole_event():
    """Guards against missing, torn or repeated events in a stream.

    A server fails in the middle of the third event.  The next server receives the
    second as the last event id, and the caller sees one stream with one head.
    """

    async def test(system):
        behave(system, faults.stream(1, 5, cut_within=3), faults.stream(3, 5))
        response = await system.request(STREAM_PATH)
        return response, [seen.headers.get("last-event-id") for seen in system.seen()]

    response, last_ids = run_system(test)
    assert body_of(response) == EVENTS
    assert response.count(b"HTTP/1.1") == 1
    assert sorted(last_ids, key=str) == ["2", None]


def test_stream_continued_with_a_gap_stays_incomplete():
    """Guards against a stream that looks complete and lacks an event.

    After a failure after event 2, the next server begins with event 4.
    """

    async def test(system):
        behave(system, faults.stream(1, 5, cut_within=3), faults.stream(4, 5))
        return await system.request(STREAM_PATH)

    response = run_system(test)
    assert not response.endswith(b"0\r\n\r\n")
    assert faults.event(4) not in response


def test_stream_that_may_not_be_resumed_is_left_visibly_broken():
    """A second run must not be joined to the first."""
    document = published(routes=[route("/stream/", "streaming")])

    async def test(system):
        behave(system, faults.stream(1, 5, cut_within=3))
        return await system.request(STREAM_PATH), len(system.seen())

    response, count = run_system(test, document=document)
    assert count == 1
    assert not response.endswith(b"0\r\n\r\n")


def test_stream_is_not_continued_by_another_kind_of_answer():
    """Guards against a second head within a stream.

    The server that should continue a stream answers with a failure.
    """

    async def test(system):
        behave(system, faults.stream(1, 5, cut_within=3), faults.fail)
        return await system.request(STREAM_PATH)

    response = run_system(test)
    assert response.count(b"HTTP/1.1") == 1
    assert not response.endswith(b"0\r\n\r\n")


def find_slow(system):
    """Mark the server that has received a request as slow, and return it."""
    [slow] = [server for server in system.servers if server.seen]
    system.gateway.parts.slow_targets.note("g", [slow.instance_id])
    return slow


def run_slow(*behaviours, **options):
    """Return the response of a server that turns slow, and the last event ids."""

    async def test(system):
        behave(system, *behaviours)
        asking = await curio.spawn(system.request, STREAM_PATH)
        await until(system.seen)
        find_slow(system)
        response = await asking.join()
        return response, [seen.headers.get("last-event-id") for seen in system.seen()]

    return run_system(test, **options)


def test_stream_at_a_slow_server_continues_at_another_one():
    """Guards against a group that waits for its slow rank until its last stream ends.

    A server becomes slow during a stream.  The rest of the stream comes from another
    server, after the last event that the caller has received.
    """
    response, last_ids = run_slow(
        faults.stream(1, 5, gap_s=0.1), faults.stream(2, 5, gap_s=0.0)
    )
    assert body_of(response) == EVENTS
    assert response.count(b"HTTP/1.1") == 1
    assert sorted(last_ids, key=str) == ["1", None]


def test_stream_that_may_not_be_resumed_stays_at_a_slow_server():
    """A second run must not be joined to the first."""
    document = published(routes=[route("/stream/", "streaming")])
    response, last_ids = run_slow(faults.stream(1, 5, gap_s=0.05), document=document)
    assert (body_of(response), last_ids) == (EVENTS, [None])


def test_stream_stays_at_a_slow_server_if_it_may_have_no_other():
    """The route allows one target, or there is no other target."""
    document = published(
        routes=[route("/stream/", "streaming", resumable=True, attempts=1)]
    )
    for options in ({"document": document}, {"server_count": 1}):
        response, last_ids = run_slow(faults.stream(1, 5, gap_s=0.05), **options)
        assert (body_of(response), last_ids) == (EVENTS, [None])
