"""Requests under which servers end, on entries that share servers and a store."""

from siskinthread.platform.tests.system import (
    run_system,
    SAFE_PATH,
    status_of,
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
