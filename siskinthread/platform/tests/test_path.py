"""Requests through the gateway, with the platform's headers."""

import curio
import pytest

from siskinthread.platform.tests.system import (
    body_of,
    HOST,
    KEY,
    ONCE_PATH,
    published,
    read_response,
    run_system,
    SAFE_PATH,
    status_of,
    STREAM_PATH,
    until,
)
from standins import platform_behaviours as faults


def test_request_and_answer_pass_unchanged():
    """Method, path, query, body and foreign headers arrive; the key does not."""

    async def test(system):
        headers = [
            "X-Model: m",
            "X-Odd: \xe5",
            "X-Tenant: forged",
            "X-Deadline-Ms: 900",
        ]
        response = await system.request(
            "/once/2f?a=%2F&b", body=b"report", headers=headers
        )
        return response, system.seen()

    response, (seen,) = run_system(test)
    assert status_of(response) == 200
    assert b"x-response-seal: " + faults.SEAL.encode() in response.lower()
    assert body_of(response) == b"done\n"
    assert seen.line == "POST /once/2f?a=%2F&b HTTP/1.1"
    assert seen.body == b"report"
    assert seen.headers["host"] == HOST
    assert seen.headers["x-model"] == "m"
    assert seen.headers["x-odd"] == "Ã¥"
    assert seen.headers["x-tenant"] == "hule930"
    assert seen.headers["x-expect-instance"] in ("i-0", "i-1")
    assert 800 < int(seen.headers["x-deadline-ms"]) <= 900
    assert "authorization" not in seen.headers
    assert KEY not in str(seen.headers)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/", KEY, 404),
        (SAFE_PATH, None, 401),
        (SAFE_PATH, "wrong", 401),
        ("/public/x", None, 200),
    ],
)
def test_routes_and_keys(path, key, status):
    """Unknown paths and keys are refused; public routes need no key."""

    async def test(system):
        return await system.request(path, key=key)

    assert status_of(run_system(test)) == status


def test_server_gets_no_account_on_a_public_route():
    """A caller can't state an account where no key is required."""

    async def test(system):
        await system.request("/public/x", headers=["X-Tenant: forged"], key=None)
        return system.seen()

    (seen,) = run_system(test)
    assert "x-tenant" not in seen.headers


def test_nothing_is_denied_before_a_configuration_is_known():
    """Guards against a 404 for an allowed path.

    A process starts while the store does not answer; without a configuration every path
    looks unknown.
    """

    async def test(system):
        return await system.request(SAFE_PATH), await system.ready_status()

    response, ready = run_system(test, server_count=0)
    assert status_of(response) == 503
    assert b"retry-after" in response.lower()
    assert ready == 503


def test_nothing_is_denied_while_the_configuration_may_be_stale():
    """Guards against a 401 for a new key.

    The store refuses this host's calls, and a key is added meanwhile.  The host must
    not take its old configuration for the newest one.
    """

    async def test(system):
        system.store.mode = "reset"
        await system.store.put("keyed.op", "config", published(version=1))
        follower = system.gateway._table_follower
        await until(lambda: follower.dependency.is_lost)
        return await system.request(SAFE_PATH, key="new"), await system.request(
            "/new/path"
        )

    for response in run_system(test):
        assert status_of(response) == 503


def test_change_comes_into_force_and_is_never_reverted():
    """A newer version is applied at once; an older one that arrives late is not."""

    async def test(system):
        await system.store.put("keyed.op", "config", published(5, keys=["new"]))
        await until(lambda: system.gateway.view.table.version == 5)
        with_new = status_of(await system.request(SAFE_PATH, key="new"))
        with_old = status_of(await system.request(SAFE_PATH))
        await system.store.put("keyed.op", "config", published(4))
        await curio.sleep(0.1)
        return with_new, with_old, system.gateway.view.table.version

    assert run_system(test) == (200, 401, 5)


def accounts_with(keys):
    """Return the accounts of a configuration, of which one has certain keys."""
    return [{"name": "hule930", "api_keys": keys, "priority": 1}]


@pytest.mark.parametrize("is_running", [True, False], ids=["running", "started"])
@pytest.mark.parametrize(
    "tenants",
    [
        [],
        {},
        None,
        "",
        0,
        False,
        accounts_with([]),
        accounts_with("abc"),
        accounts_with([""]),
        accounts_with([None]),
        accounts_with(None),
        [{"name": "hule930"}],
        [{"name": None, "api_keys": [KEY]}],
        [{"api_keys": [KEY]}],
        [KEY],
        KEY,
    ],
    ids=repr,
)
def test_accounts_without_a_readable_key_accept_no_request(tenants, is_running):
    """Guards against requests without a valid key once the last key is taken away.

    An empty or malformed field counted as a missing one, with which no key is needed.
    """

    async def test(system):
        if is_running:
            await system.store.put("keyed.op", "config", published(2, tenants=tenants))
            await until(lambda: system.gateway.view.table.version == 2)
        statuses = [
            status_of(await system.request(SAFE_PATH, key=key))
            for key in (KEY, "foreign", None, "", "a")
        ]
        public = status_of(await system.request("/public/x", key=None))
        return statuses, public

    document = None if is_running else published(1, tenants=tenants)
    assert run_system(test, document=document) == ([401] * 5, 200)


def test_unreadable_configuration_is_ignored():
    """The configuration in force stays, and the process goes on."""

    async def test(system):
        await system.store.put("keyed.op", "config", {"version": 9, "routes": "none"})
        await curio.sleep(0.1)
        await system.store.put("keyed.op", "config", published(10))
        await until(lambda: system.gateway.view.table.version == 10)
        return status_of(await system.request(SAFE_PATH))

    assert run_system(test) == 200


def test_silent_read_does_not_delay_the_next_change():
    """Guards against a change that comes into force 8 s late.

    A read that waits for changes reaches the store while it answers nothing; the store
    comes back and never answers that read.  The host must end the read itself.
    """

    async def test(system):
        system.store.mode = "silent"
        await system.store.put("keyed.op", "config", published(2))
        follower = system.gateway._target_follower
        await until(lambda: follower.dependency.is_lost)
        system.store.mode = "up"
        await system.store.put("keyed.op", "config", published(3))
        await until(lambda: system.gateway.view.table.version == 3, limit_s=1.5)

    run_system(test, table_wait_s=30.0)


def test_dropped_history_is_read_anew():
    """A store that drops old records loses neither routes nor servers."""

    async def test(system):
        await system.store.put("keyed.op", "config", published(2))
        await until(lambda: system.gateway.view.table.version == 2)
        system.store.topics["keyed.servers"].forget()
        system.store.topics["keyed.op"].forget()
        await system.store.put("keyed.op", "config", published(3))
        await until(lambda: system.gateway.view.table.version == 3)
        return status_of(await system.request(SAFE_PATH))

    assert run_system(test) == 200


def test_stream_is_forwarded_event_by_event():
    """The first event reaches the caller before the second is generated."""

    async def test(system):
        for server in system.servers:
            server.behaviours.append(faults.stream(1, 3, gap_s=0.2))
        client = await system.connect()
        await client.sendall(system.request_bytes(STREAM_PATH))
        first = b""
        while faults.event(1) not in first:
            first += await client.recv(65536)
        whole = first
        while not whole.endswith(b"0\r\n\r\n"):
            whole += await client.recv(65536)
        await client.close()
        return first, whole

    first, whole = run_system(test)
    assert faults.event(2) not in first
    assert faults.event(3) in whole


def test_caller_keeps_its_connection():
    """Several requests follow one another on one connection."""

    async def test(system):
        client = await system.connect()
        statuses = []
        for path in (SAFE_PATH, ONCE_PATH, "/nowhere/", SAFE_PATH):
            await client.sendall(system.request_bytes(path))
            statuses.append(status_of(await read_response(client)))
        return statuses

    assert run_system(test) == [200, 200, 404, 200]


def test_body_over_the_published_limit_is_refused():
    """The caller receives 413, and nothing reaches a server."""

    async def test(system):
        response = await system.request(ONCE_PATH, body=b"x" * 70_000)
        return status_of(response), system.seen()

    assert run_system(test) == (413, [])


def test_chunked_body_arrives_whole():
    """A body without a length is forwarded with a length."""

    async def test(system):
        head = system.request_bytes(ONCE_PATH, body=b"").rstrip(b"\r\n")
        data = (
            head
            + b"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        response = await system.exchange(data)
        return status_of(response), system.seen()[0]

    status, seen = run_system(test)
    assert status == 200
    assert seen.body == b"abcde"
    assert seen.headers["content-length"] == "5"
    assert "transfer-encoding" not in seen.headers


def test_request_sent_without_waiting_after_a_refusal_ends_the_connection():
    """Guards against callers that keep targets busy by not waiting between retries."""

    async def test(system):
        one = system.request_bytes(SAFE_PATH)
        client = await system.connect()
        await client.sendall(one + system.request_bytes(SAFE_PATH))
        received = b""
        while more := await client.recv(65_536):
            received += more
        return received.count(b"HTTP/1.1 503 "), b"retry-after" in received.lower()

    assert run_system(test, server_count=0) == (1, True)
