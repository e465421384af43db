"""Crowds of callers at an entry that serves through agents."""

import http.client
import resource
import time

import curio
import pytest

from scripts._cluster import Cluster
from scripts._cluster_configuration import ACCOUNTS, PLAIN_SERVICE
from scripts._cluster_options import ClusterOptions
from scripts._processes import Processes
from siskinthread.platform.tests.crowd import Crowd, Observer, Script

# The limit of `siskinthread measure control` for a node.
MEMORY_LIMIT_BYTES = 128_000_000
LIMITS = {"bodies_limit_bytes": 10_000_000, "connections_limit_bytes": 13_000_000}
BODY_LIMIT_BYTES = 2_097_152
BLOCK = b"x" * 65_536
CROWD_S = 5.0
HANG_S = 60.0
ATTEMPT_WAIT_S = 8.0
PATH = f"/services/{PLAIN_SERVICE}/alerts"
AUTHORIZATION = f"Bearer {ACCOUNTS[3].key}"
HEAD = f"POST {PATH} HTTP/1.1\r\nHost: a\r\nAuthorization: {AUTHORIZATION}\r\n".encode()
ANNOUNCED = HEAD + f"Content-Length: {BODY_LIMIT_BYTES}\r\n\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ALL_BUT_ONE = (ANNOUNCED + BLOCK[:-1], BLOCK, BODY_LIMIT_BYTES // len(BLOCK) - 1)
TINY_CHUNKS = b"2\r\nab\r\n" * 9000
CROWDS = {
    "bodies without their last byte": (400, Script(*ALL_BUT_ONE)),
    "the same anew after a refusal": (400, Script(*ALL_BUT_ONE, returns=True)),
    "chunks of 2 bytes": (100, Script(CHUNKED, TINY_CHUNKS, None)),
    "heads without their end": (2500, Script(HEAD + b"X: " + b"y" * 15_000)),
}


@pytest.fixture(autouse=True, scope="module")
def descriptors():
    """Allow this process as many descriptors as a crowd needs."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limits[1], limits[1]))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


def answered(address):
    """Return whether an ordinary caller, which retries, gets its answer."""
    hang_s = time.monotonic() + HANG_S
    while time.monotonic() < hang_s:
        connection = http.client.HTTPConnection(*address, timeout=ATTEMPT_WAIT_S)
        try:
            headers = {"Authorization": AUTHORIZATION}
            connection.request("POST", PATH, b"alert", headers)
            if connection.getresponse().status == 200:
                return True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        time.sleep(0.1)
    return False


@pytest.mark.parametrize("name", CROWDS)
def test_crowd_leaves_the_entry_within_its_memory(tmp_path, name):
    """Guards against callers whose bytes take more memory than the host has."""
    count, script = CROWDS[name]
    settings = {"callers": LIMITS}
    options = ClusterOptions(
        entries=1, engines=0, plain_services=1, entry_settings=settings
    )
    with Processes(tmp_path) as processes:
        cluster = Cluster(options, processes, tmp_path)
        curio.run(cluster.start)
        (entry,) = cluster.entries
        with Observer(entry.process.pid, [entry.address[1]]) as observer:
            with Crowd(entry.address, script, count):
                time.sleep(CROWD_S)
                beside = answered(entry.address)
            after = answered(entry.address)
        assert entry.process.running()
    assert observer.most_bytes <= MEMORY_LIMIT_BYTES
    assert (beside, after) == (True, True)
