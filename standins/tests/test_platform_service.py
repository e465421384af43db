"""State that a steady stand-in server reports in its answers."""

import time

import curio

from standins.platform_server import PlatformServerStandin, ReceivedRequest
from standins.platform_service import SteadyService


class Client:
    """Client that records the bytes sent to it."""

    def __init__(self):
        self.sent = b""

    async def sendall(self, data):
        """Record bytes."""
        self.sent += data


def answer_of(service, path, **headers):
    """Return the bytes of the answer to a request."""
    client = Client()
    request = ReceivedRequest(f"GET {path} HTTP/1.1", headers, b"")

    async def ask():
        server = PlatformServerStandin("i-1")
        await service(server, request, client)

    curio.run(ask)
    return client.sent


def test_health_answer_of_a_cold_server_says_for_how_long():
    """Guards against a soak whose servers are cold and never report it."""
    service = SteadyService("i-1", time.monotonic() + 30)
    [line] = [
        line
        for line in answer_of(service, "/health").split(b"\r\n")
        if line.startswith(b"X-Cold-Ms: ")
    ]
    assert 20_000 < int(line.removeprefix(b"X-Cold-Ms: ")) <= 30_000
    assert service.runs == []


def test_health_answer_of_a_warm_server_says_nothing_of_it():
    """Guards against servers that report themselves cold for ever."""
    assert b"X-Cold-Ms" not in answer_of(SteadyService("i-1"), "/health")


def test_answer_that_names_a_limit_is_noted_with_its_time():
    """The soak judges by these times from when a limit binds, also after refusals."""
    service = SteadyService("i-1")
    service.limit = "3"
    before_s = time.monotonic()
    answer_of(service, "/safe/x", **{"x-expect-instance": "i-2"})
    [run] = service.runs
    assert run.is_misdirected
    assert before_s <= run.limit_named_s <= time.monotonic()
    service.limit = None
    answer_of(service, "/safe/x", **{"x-expect-instance": "i-2"})
    assert service.runs[1].limit_named_s is None
