"""Requests under which servers end, on entries that share servers and a store."""

import curio

from siskinthread.platform.tests.fleet import POISON, run_fleet
from siskinthread.platform.tests.system import (
    ONCE_PATH,
    run_system,
    SAFE_PATH,
    status_of,
    STREAM_PATH,
)
from standins import platform_behaviours as faults


def logged(caplog, event):
    """Return the fields of the log lines of an event."""
    return [
        record.event_fields
        for record in caplog.records
        if record.getMessage().endswith(event) and hasattr(record, "event_fields")
    ]


def test_log_tells_a_server_that_has_ended_from_one_that_broke_off(caplog):
    """Symptom: 32 servers had ended, and no line told under which request.

    Events: a server ends while it runs a request, and others cut their streams off
    since a rank of their group has ended.  The lines of both said ``lost,
    ConnectionResetError``.
    """

    async def test(system):
        for server in system.servers:
            server.behaviours.append(faults.end_under_request)
        ended = status_of(await system.request(SAFE_PATH, body=b"1"))
        for server in system.servers:
            await server.start_again(server.instance_id)
            server.behaviours.extend([faults.lose_answer] * 2)
        return ended, status_of(await system.request(SAFE_PATH, body=b"1"))

    with caplog.at_level("INFO", logger="siskinthread"):
        assert run_system(test, ejection_s=0.0) == (502, 502)
    first, second = logged(caplog, "request ended")
    assert first["fingerprint"] == second["fingerprint"]
    assert [one["target_ended"] for one in first["attempts"]] == [True, True]
    assert [one["target_ended"] for one in second["attempts"]] == [False, False]
    ended = logged(caplog, "target ended under a request")
    assert {one["target"] for one in ended} == {"i-0", "i-1"}
    assert {one["fingerprint"] for one in ended} == {first["fingerprint"]}


def test_request_that_ends_servers_is_kept_from_them_by_every_entry():
    """Servers ended one after the other, and most streams of others broke off.

    One caller sent the same request again and again, to any entry.  Each server that
    began to run it ended 0.05 s to 0.2 s later, and all streams of its group with it:
    "target_ended: true", 502 after 0.4 s by two attempts.  Each try had another id and
    came to another entry, which knew nothing of those before: after three servers had
    ended, five more got it, and 9 ended in all; of 925 requests in 17 s, 541
    were refused and 101 broke off.
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
                # Until the entries have told one another.
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
