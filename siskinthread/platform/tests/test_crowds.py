"""Crowds of callers that send much, stop short of an end, or never end."""

import http.client
import resource
import socket
import time

import pytest

from scripts._processes import Processes
from siskinthread.platform.tests.crowd import Crowd, Observer, Script
from siskinthread.platform.tests.gateway_process import GatewayProcess, IP
from siskinthread.platform.tests.system import HOST, KEY, request_bytes, SAFE_PATH

BYTES_PER_MEGABYTE = 1_000_000
MEMORY_MB = 80
# A host with few descriptors, and more callers than that.
FEW_DESCRIPTORS = 600
DESCRIPTORS = 4100
MANY_CALLERS = 900
BODY_LIMIT_BYTES = 4_194_304
BLOCK_BYTES = 65_536
BLOCK = b"x" * BLOCK_BYTES
BLOCKS_PER_BODY = BODY_LIMIT_BYTES // BLOCK_BYTES
HEAD_LIMIT_BYTES = 16_384
SMALL_BODY = b"x"
MIDDLING_BODY = b"y" * 500_000
# How long a crowd acts before other callers are looked at; few callers act for longer.
CROWD_S = 5.0
FEW_CALLERS = 8
FEW_CALLERS_S = 12.0
# Guards against a hang; no other time is checked.
HANG_S = 60.0
ATTEMPT_WAIT_S = 8.0
READY_PATH = "/siskinthread/ready"
LINES = (
    f"Host: {HOST}",
    f"Authorization: Token {KEY}",
    "X-Request-Id: crowd",
    "Connection: keep-alive",
)


def head_bytes(*lines, method="POST", path=SAFE_PATH):
    """Return a head with the given header lines added."""
    lines = (f"{method} {path} HTTP/1.1", *LINES, *lines, "", "")
    return "\r\n".join(lines).encode()


def chunk(data):
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def chunks(size_bytes):
    """Return about one block of chunks of the given size."""
    one = chunk(b"x" * size_bytes)
    return one * (BLOCK_BYTES // len(one))


ANNOUNCED = head_bytes(f"Content-Length: {BODY_LIMIT_BYTES}")
CHUNKED = head_bytes("Transfer-Encoding: chunked")
WHOLE_BODY = Script(ANNOUNCED, BLOCK, BLOCKS_PER_BODY)
ALL_BUT_ONE = (ANNOUNCED + BLOCK[:-1], BLOCK, BLOCKS_PER_BODY - 1)
SHORT = request_bytes(0, SAFE_PATH, "POST", SMALL_BODY, (), KEY)
BEHIND = head_bytes(f"Content-Length: {BLOCK_BYTES}") + BLOCK
FILLER = b"X-Filler: " + b"z" * (HEAD_LIMIT_BYTES - 1024)
# Then a body that does not come.
MANY_LINES = head_bytes(*["a:"] * 3500, "Content-Length: 1")
# Number of callers and what they send.
CROWDS = {
    "bodies without their last byte": (400, Script(*ALL_BUT_ONE)),
    "the same anew after a refusal": (400, Script(*ALL_BUT_ONE, returns=True)),
    "whole bodies": (400, WHOLE_BODY),
    "chunks of 4096 bytes without end": (400, Script(CHUNKED, chunks(4096), None)),
    "chunks of 64 bytes without end": (400, Script(CHUNKED, chunks(64), None)),
    "chunks of 2 bytes by few callers": (FEW_CALLERS, Script(CHUNKED, chunks(2), None)),
    "chunks of 2 bytes by many callers": (100, Script(CHUNKED, chunks(2), None)),
    "requests behind unread answers": (400, Script(SHORT, BEHIND, None, reads=False)),
    "bodies that are reset": (400, Script(*ALL_BUT_ONE, reset_after_s=0.5)),
    "heads without their end": (1500, Script(head_bytes()[:-2] + FILLER)),
    "many short header lines": (400, Script(MANY_LINES)),
    "trailers without their end": (1500, Script(CHUNKED + b"0\r\n" + FILLER)),
}
# Crowds at the ports for readiness and for peers.
STATUS_CROWDS = {
    "whole bodies": (400, Script(ANNOUNCED, BLOCK, BLOCKS_PER_BODY)),
    "chunks of 4096 bytes without end": (400, Script(CHUNKED, chunks(4096), None)),
    "chunks of 2 bytes by few callers": (FEW_CALLERS, Script(CHUNKED, chunks(2), None)),
    "heads without their end": (1500, Script(head_bytes()[:-2] + FILLER)),
}
WHOLE_IN_CHUNKS = chunk(BLOCK) * BLOCKS_PER_BODY + b"0\r\n\r\n"
SINGLES = {
    "a body of full size": ANNOUNCED + BLOCK * BLOCKS_PER_BODY,
    "chunks of full size": CHUNKED + WHOLE_IN_CHUNKS,
    "chunks of 2 bytes": CHUNKED + chunks(2) * 8 + b"0\r\n\r\n",
    "a long head": head_bytes(FILLER.decode(), "Content-Length: 1") + SMALL_BODY,
    "a long trailer": CHUNKED + b"0\r\n" + FILLER + b"\r\n\r\n",
}


@pytest.fixture(autouse=True, scope="module")
def descriptors():
    """Allow this process as many descriptors as a crowd needs."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limits[1], limits[1]))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@pytest.fixture
def system(tmp_path, request):
    """Run a gateway on a small host, with two servers."""
    max_fds = getattr(request, "param", DESCRIPTORS)
    with Processes(tmp_path) as processes:
        system = GatewayProcess(
            processes,
            tmp_path,
            host_limits={"memory_mb": MEMORY_MB, "max_fds": max_fds},
            caller_limits={"max_body_bytes": BODY_LIMIT_BYTES},
        )
        for name in ("i-1", "i-2"):
            system.start_server(name)
        system.wait_until_ready()
        yield system


def attempt(address, method, path, body):
    """Return status and Retry-After of one attempt; None without a whole answer."""
    connection = http.client.HTTPConnection(*address, timeout=ATTEMPT_WAIT_S)
    headers = {"Host": HOST, "X-Request-Id": "ordinary"}
    headers["Authorization"] = f"Token {KEY}"
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        response.read()
        return response.status, float(response.getheader("Retry-After") or 0.0)
    except (OSError, http.client.HTTPException):
        return None, 0.0
    finally:
        connection.close()


def answered(address, method="POST", path=SAFE_PATH, body=SMALL_BODY):
    """Return whether an ordinary caller, which retries, gets its answer."""
    hang_s = time.monotonic() + HANG_S
    while time.monotonic() < hang_s:
        status, wait_s = attempt(address, method, path, body)
        if status == 200:
            return True
        time.sleep(max(wait_s, 0.1))
    return False


def observe(system, address, count, script):
    """Let a crowd act; return the `Observer` and whether others are answered."""
    ready = (IP, system.ports[1])
    with Observer(system.process.pid, system.ports) as observer:
        with Crowd(address, script, count):
            time.sleep(FEW_CALLERS_S if count <= FEW_CALLERS else CROWD_S)
            beside = answered(system.address)
        after = answered(system.address, body=MIDDLING_BODY)
        is_ready = answered(ready, "GET", READY_PATH, None)
    return observer, (beside, after, is_ready)


def check(system, observer, answers):
    """Check that the process holds its limits and that others are answered."""
    assert system.process.running()
    assert observer.most_bytes <= MEMORY_MB * BYTES_PER_MEGABYTE
    assert observer.most_descriptors <= DESCRIPTORS
    assert answers == (True, True, True)


@pytest.mark.parametrize("name", CROWDS)
def test_crowd_leaves_the_process_within_its_memory(system, name):
    """Guards against callers whose bytes take more memory than the host has."""
    count, script = CROWDS[name]
    check(system, *observe(system, system.address, count, script))


@pytest.mark.parametrize("port", ["readiness", "peers"])
@pytest.mark.parametrize("name", STATUS_CROWDS)
def test_crowd_at_status_pages_leaves_the_process_within_its_memory(system, name, port):
    """Guards against bodies to status pages that use up memory of other callers."""
    count, script = STATUS_CROWDS[name]
    address = (IP, system.ports[1 if port == "readiness" else 2])
    check(system, *observe(system, address, count, script))


def test_standing_bodies_leave_room_for_a_middling_one(system):
    """Guards against callers that hold the memory for bodies without sending."""
    blocks = 6
    head = head_bytes(f"Content-Length: {blocks * BLOCK_BYTES}")
    script = Script(head + BLOCK[:-1], BLOCK, blocks - 1)
    with Crowd(system.address, script, 100):
        time.sleep(CROWD_S)
        status, _ = attempt(system.address, "POST", SAFE_PATH, MIDDLING_BODY)
    assert status == 200


@pytest.mark.parametrize("system", [FEW_DESCRIPTORS], indirect=True)
@pytest.mark.parametrize("port", ["callers", "readiness", "peers"])
def test_idle_connections_leave_descriptors_for_others(system, port):
    """Guards against idle connections that use up the descriptors of the host."""
    address = (IP, system.ports[["callers", "readiness", "peers"].index(port)])
    observer = Observer(system.process.pid, system.ports)
    with observer, Crowd(address, Script(b""), MANY_CALLERS):
        time.sleep(CROWD_S)
        beside = answered(system.address)
        is_ready = answered((IP, system.ports[1]), "GET", READY_PATH, None)
    assert system.process.running()
    assert observer.most_descriptors <= FEW_DESCRIPTORS
    assert (beside, is_ready) == (True, True)


@pytest.mark.parametrize("name", SINGLES)
def test_single_request_within_the_limits_is_served(system, name):
    """Guards against limits that a request within the published ones meets."""
    with socket.create_connection(system.address, HANG_S) as connection:
        connection.sendall(SINGLES[name])
        received = connection.recv(BLOCK_BYTES)
    assert received.startswith(b"HTTP/1.1 200 ")
