"""What becomes of a stream that a server declines, breaks off or goes on with."""

from siskinthread.platform.tests.system import (
    behave,
    body_of,
    EVENTS,
    published,
    route,
    run_system,
    status_of,
    STREAM_PATH,
)
from standins import platform_behaviours as faults


def test_declined_stream_goes_to_another_server():
    """A second attempt follows a decline where the route allows one."""

    async def test(system):
        behave(system, faults.decline, faults.stream(1, 5))
        response = await system.request(STREAM_PATH)
        return status_of(response), body_of(response)

    assert run_system(test) == (200, EVENTS)


def test_broken_stream_is_continued_behind_its_last_whole_event():
    """Symptom: an event is missing, torn or doubled in a stream.

    Events: a server fails in the middle of the third event.  The next one is told the
    second as the last, and the caller sees one stream with one head.
    """

    async def test(system):
        behave(system, faults.stream(1, 5, cut_within=3), faults.stream(3, 5))
        response = await system.request(STREAM_PATH)
        return response, [seen.headers.get("last-event-id") for seen in system.seen()]

    response, last_ids = run_system(test)
    assert body_of(response) == EVENTS
    assert response.count(b"HTTP/1.1") == 1
    assert sorted(last_ids, key=str) == ["2", None]


def test_stream_that_goes_on_elsewhere_with_a_gap_is_not_whole():
    """Symptom: a stream looks whole and lacks an event.

    Events: after a failure behind event 2, the next server begins with event 4.
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
    """Symptom: a second head within a stream.

    Events: the server that should continue a stream answers it with a failure.
    """

    async def test(system):
        behave(system, faults.stream(1, 5, cut_within=3), faults.fail)
        return await system.request(STREAM_PATH)

    response = run_system(test)
    assert response.count(b"HTTP/1.1") == 1
    assert not response.endswith(b"0\r\n\r\n")
