"""Building a `CallerRequest` or a refusal from headers and body."""

import curio
import pytest

from siskinthread.callers._chat import read_chat_body
from siskinthread.callers._settings import CallerSettings
from siskinthread.callers.tests.fakes import (
    Bench,
    chat_body,
    complete_answer,
    NOW_MS,
    request_bytes,
)
from siskinthread.http_server import Refusal
from siskinthread.outcomes import End, Outcome, Reason

SECOND_MS = 1000
LIFETIME_MS = 300 * SECOND_MS


def exchange(data, change=None):
    """Return the response and the requests that the dispatcher received."""

    async def run():
        async with Bench(lambda request: complete_answer()).running() as bench:
            if change is not None:
                change(bench)
            received = await bench.exchange(data)
            return received, bench.dispatcher.requests

    return curio.run(run)


def alert(**headers):
    """Return a request to the plain service."""
    return request_bytes("POST", "/services/varsel/alerts", b"{}", **headers)


def is_outcome(received, status, outcome, reason):
    """Return whether a response has this status, outcome and reason."""
    return (
        received.startswith(b"HTTP/1.1 %d " % status)
        and f"siskinthread-outcome: {outcome}\r\n".encode() in received
        and f'"reason": "{reason}"'.encode() in received
    )


@pytest.mark.parametrize(
    ("data", "idempotent"),
    [
        (request_bytes("POST", "/v1/chat/completions", chat_body()), True),
        (request_bytes("GET", "/services/varsel/a"), True),
        (request_bytes("POST", "/services/varsel/a"), False),
        (alert(Siskinthread_Idempotent="yes"), True),
        (
            request_bytes("GET", "/services/varsel/", Siskinthread_Idempotent="no"),
            False,
        ),
        (alert(Idempotency_Key="k", Siskinthread_Issued_At=NOW_MS), False),
    ],
)
def test_default_of_idempotence(data, idempotent):
    """Chats are idempotent, services by method; the caller's header has precedence."""
    _, requests = exchange(data)
    assert [request.idempotent for request in requests] == [idempotent]


def test_request_id_of_a_key_is_the_same_on_every_entry():
    """The id is derived from service, account and key; the issue time is passed on."""
    data = alert(Idempotency_Key="crossing-4", Siskinthread_Issued_At=NOW_MS - 5)
    _, (request,) = exchange(data)
    assert request.request_id == "key/varsel/inspectorate/crossing-4"
    assert request.issued_at_ms == NOW_MS - 5


def test_issue_time_follows_from_an_absolute_deadline():
    """The default issue time is the deadline minus the lifetime of a key."""
    deadline_ms = NOW_MS + 10 * SECOND_MS
    data = alert(Idempotency_Key="k", Siskinthread_Deadline=deadline_ms)
    _, (request,) = exchange(data)
    assert request.issued_at_ms == deadline_ms - LIFETIME_MS


def test_keyed_request_never_waits_past_the_life_of_its_key():
    """The deadline of a keyed request is limited to the lifetime of its key.

    With the caller's deadline alone, a late retry could wait until the agent has
    forgotten the key, and then run a second time.
    """
    issued_at_ms = NOW_MS - LIFETIME_MS + 11 * SECOND_MS
    data = alert(
        Idempotency_Key="k",
        Siskinthread_Issued_At=issued_at_ms,
        Siskinthread_Timeout_S=60,
    )
    _, (request,) = exchange(data)
    assert request.deadline.left_s() == pytest.approx(10.0)


@pytest.mark.parametrize(
    ("headers", "status", "outcome", "reason"),
    [
        ({}, 400, "refused_not_run", "bad_request"),
        ({"Siskinthread_Timeout_S": 5}, 400, "refused_not_run", "bad_request"),
        (
            {"Siskinthread_Issued_At": NOW_MS + 2 * SECOND_MS},
            400,
            "refused_not_run",
            "bad_request",
        ),
        (
            {"Siskinthread_Deadline": NOW_MS + LIFETIME_MS + 2 * SECOND_MS},
            400,
            "refused_not_run",
            "bad_request",
        ),
        (
            {"Siskinthread_Issued_At": NOW_MS - LIFETIME_MS},
            504,
            "unknown",
            "answer_gone",
        ),
        (
            {"Siskinthread_Issued_At": NOW_MS - 9, "Siskinthread_Deadline": NOW_MS - 1},
            504,
            "unknown",
            "deadline_passed",
        ),
    ],
)
def test_keyed_request_whose_issue_time_does_not_do(headers, status, outcome, reason):
    """Without a valid issue time nothing runs; a late retry may have run before."""
    received, requests = exchange(alert(Idempotency_Key="k", **headers))
    assert requests == []
    assert is_outcome(received, status, outcome, reason)


def refuse_admission(bench):
    """Make admission refuse all requests."""
    bench.admission.refusal = End(
        Outcome.REFUSED_NOT_RUN, Reason.LIMITED, retry_after_s=1.5
    )


def forget_configuration(bench):
    """Remove the configuration."""
    bench.view.state = None


def close_varsel(bench):
    """Remove the service, as on an entry with an older configuration."""
    bench.view.state.services.pop("varsel")


@pytest.mark.parametrize(
    ("change", "status", "reason"),
    [
        (refuse_admission, 429, "limited"),
        (forget_configuration, 503, "not_ready"),
        (close_varsel, 404, "no_such_service"),
    ],
)
def test_refusal_before_the_home_was_asked(change, status, reason):
    """A refusal by the entry is "not run" without a key and unknown with one.

    The first try of a key may have run through another entry and its answer been lost.
    If this entry reported its refusal of the retry as "not run", the caller would issue
    the request again by other means.  Without a key there are no other tries.
    """
    received, requests = exchange(alert(), change)
    assert is_outcome(received, status, "refused_not_run", reason)
    keyed = alert(Idempotency_Key="k", Siskinthread_Issued_At=NOW_MS)
    received, keyed_requests = exchange(keyed, change)
    status = status if status == 404 else 504
    assert is_outcome(received, status, "unknown", reason)
    assert requests == keyed_requests == []


def test_passed_deadline_is_refused():
    """A request without a key whose deadline has passed did not run."""
    received, requests = exchange(alert(Siskinthread_Deadline=NOW_MS))
    assert is_outcome(received, 503, "refused_not_run", "deadline_passed")
    assert requests == []


@pytest.mark.parametrize(
    "headers",
    [
        {"Idempotency_Key": "a/b", "Siskinthread_Issued_At": NOW_MS},
        {"Idempotency_Key": "k" * 129, "Siskinthread_Issued_At": NOW_MS},
        {"Idempotency_Key": "", "Siskinthread_Issued_At": NOW_MS},
        {
            "Idempotency_Key": "k",
            "Siskinthread_Issued_At": NOW_MS,
            "Siskinthread_Idempotent": "yes",
        },
        {"Idempotency_Key": "k", "idempotency-key": "l"},
        {"Siskinthread_Idempotent": "maybe"},
        {"Siskinthread_Deadline": "soon"},
        {"Siskinthread_Timeout_S": "-1"},
        {"Siskinthread_Timeout_S": "nan"},
        {"Siskinthread_Timeout_S": 5, "Siskinthread_Deadline": NOW_MS},
        {"Siskinthread_Issued_At": "١"},
    ],
)
def test_unreadable_headers_are_refused(headers):
    """A request with an unreadable header is refused."""
    received, requests = exchange(alert(**headers))
    assert is_outcome(received, 400, "refused_not_run", "bad_request")
    assert requests == []


def test_target_does_not_see_keys_or_a_callers_claims():
    """Bearer key, hop-by-hop headers and forged system headers are not forwarded."""
    data = alert(X_Account="other", X_Priority=0, Accept_Encoding="gzip", Accept="a/b")
    _, (request,) = exchange(data)
    assert request.headers == [("accept", "a/b")]
    assert request.account.name == "inspectorate"


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b'{"messages": [1]}',
        b'{"model": "triage-1"}',
        b'{"model": "triage-1", "messages": []}',
        b'{"model": "triage-1", "model": "other", "messages": [1]}',
        b'{"model": "triage-1", "messages": [1], "stream": 1}',
        b'{"model": "triage-1", "messages": [1], "max_tokens": true}',
        b'{"model": "triage-1", "messages": [1], "max_tokens": 0}',
        b"[" * 100_000,
        b"\xff\xfe",
    ],
)
def test_unsuitable_chat_bodies_are_refused(body):
    """A malformed or ambiguous body is refused."""
    assert isinstance(read_chat_body(body, CallerSettings()), Refusal)


def test_prefix_key_is_that_of_the_head_of_the_messages():
    """Requests have the same key if and only if their messages start alike."""
    settings = CallerSettings(prefix_head_bytes=40)

    def key(text):
        body = b'{"model": "m", "messages": [{"content": "%s"}]}' % text
        return read_chat_body(body, settings).prefix_key

    assert key(b"a" * 40 + b"b") == key(b"a" * 40 + b"c")
    assert key(b"a") != key(b"b")
