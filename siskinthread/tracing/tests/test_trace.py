"""Tests of finding a request and the log lines that explain it."""

import json

from siskinthread.tracing import find_request


def request(at, request_id, **fields):
    """Return the line that ends a request."""
    values = {
        "at": at,
        "level": "info",
        "event": "gateway: request ended",
        "id": request_id,
        "route": "r-1",
        "service": "app",
        "account": "a",
        "version": 7,
        "configuration_age_s": 0.4,
        "status": 502,
        "outcome": "unknown",
        "reason": "target_silent",
        "explanation": "The answer was lost.",
        "took_s": 0.5,
        "attempts": [
            {
                "target": "i-1",
                "group": "g",
                "load": 2,
                "slots": 6,
                "result": "lost",
                "reason": "connection failed",
            }
        ],
    }
    return values | fields


def event(at, text, **fields):
    """Return another line."""
    return {"at": at, "level": "info", "event": text, **fields}


LINES = [
    json.dumps(one)
    for one in (
        event(90.0, "gateway: target passed over", target="i-1"),
        event(99.0, "gateway: target passed over", target="i-1", wait_s=1.0),
        event(99.1, "gateway: target passed over", target="i-2", wait_s=1.0),
        event(99.2, "group_maps: map change", group="g", time_before=2.5),
        event(99.3, "gateway: dependency lost", dependency="target list"),
        request(100.0, "id-1"),
        request(100.1, "id-2"),
    )
] + ["no JSON", "[1, 2]"]


def test_lines_on_its_targets_groups_and_the_process_are_found():
    """Lines on other targets, on other requests and from long before are excluded."""
    trace = find_request(LINES, "id-1")
    assert trace.request["id"] == "id-1"
    assert [one["at"] for one in trace.around] == [99.0, 99.2, 99.3]


def test_unknown_id_is_not_found():
    """An id without a line results in None."""
    assert find_request(LINES, "id-9") is None


def test_people_read_outcome_attempts_and_times():
    """The text contains the outcome, its attempts and the related lines."""
    text = find_request(LINES, "id-1").render()
    assert "request id-1: unknown, target_silent" in text
    assert "i-1 of group g with 2 requests for 6 slots: lost, connection failed" in text
    assert "-0.500 s gateway: target passed over target=i-1 wait_s=1.0" in text


def test_tools_read_json():
    """The trace is rendered as a JSON document."""
    document = json.loads(find_request(LINES, "id-2").as_json())
    assert document["request"]["id"] == "id-2"


def test_rendering_names_what_joins_the_tries_of_a_request():
    """Each try of a caller has its own id; only the fingerprint relates them."""
    values = request(100.0, "id-1", fingerprint="5f0c")
    values["attempts"][0]["target_ended"] = True
    text = find_request([json.dumps(values)], "id-1").render()
    assert "fingerprint of all its tries: 5f0c" in text
    assert "lost, connection failed; the target has ended" in text


def test_age_of_the_list_and_rest_of_the_connection_are_told():
    """They show a choice from an old list and a connection that had been idle."""
    values = request(100.0, "id-1")
    values["attempts"][0] |= {"list_age_s": 2.63, "rested_s": 3.69}
    text = find_request([json.dumps(values)], "id-1").render()
    assert "chosen by a list 2.63 s old" in text
    assert "on a connection that had rested 3.69 s" in text


def test_what_the_target_asked_for_is_told():
    """A refused attempt shows the requested back-off and that the target leaves."""
    values = request(100.0, "id-1")
    values["attempts"][0] |= {"backoff_asked_s": 3.0, "says_leaving": True}
    text = find_request([json.dumps(values)], "id-1").render()
    assert "requested back-off for 3 s; said that it leaves" in text


def test_what_earlier_tries_did_is_found_however_long_ago():
    """Lines on earlier tries of a request are found by their fingerprint.

    A refusal names targets that ended minutes before under earlier tries of the
    request, and no line close to the refusal is about them.  Targets that ended under
    another request at the same time are excluded.
    """
    lines = [
        event(20.0, "gateway: target ended under a request", fingerprint="5f0c"),
        event(99.9, "gateway: target ended under a request", fingerprint="77aa"),
        request(100.0, "id-1", fingerprint="5f0c", attempts=[]),
    ]
    trace = find_request([json.dumps(line) for line in lines], "id-1")
    assert [line["at"] for line in trace.around] == [20.0]


def test_limits_of_the_service_are_found_however_long_ago():
    """Guards against omitting old lines on the limits that refused a request."""
    lines = [
        event(
            20.0, "target_limits: target names a limit", target="i-7", limited_service=s
        )
        for s in ("app", "other")
    ]
    lines.append(request(100.0, "id-1", service="app", attempts=[]))
    trace = find_request([json.dumps(line) for line in lines], "id-1")
    assert [line["limited_service"] for line in trace.around] == ["app"]
