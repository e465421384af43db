"""Served, declined and counted requests of a stand-in with slots and a queue."""

import curio

from standins.platform_server import PlatformServerStandin, ReceivedRequest
from standins.platform_slots import SlotService

SERVICE_S = 0.05


class Client:
    """Client that records the bytes sent to it."""

    def __init__(self):
        self.sent = b""

    async def sendall(self, data):
        """Record bytes."""
        self.sent += data


def test_slots_run_the_queue_waits_and_the_rest_is_declined():
    """Guards against a server that runs more requests at once than it has slots.

    A test of a burst would then get more capacity than it assumes.
    """
    service = SlotService(slot_count=2, queue_limit=1, service_s=SERVICE_S)
    clients = [Client() for _ in range(4)]

    async def ask_all():
        server = PlatformServerStandin("i-1")
        request = ReceivedRequest("POST /app HTTP/1.1", {"x-request-id": "id"}, b"")
        async with curio.TaskGroup(wait=all) as group:
            for client in clients:
                await group.spawn(service, server, request, client)

    curio.run(ask_all)
    statuses = [int(client.sent.split()[1]) for client in clients]
    assert sorted(statuses) == [200, 200, 200, 503]
    noted = service.as_json()
    assert (noted["served_count"], noted["declined_count"]) == (3, 1)
    assert noted["held_s"] >= 3 * SERVICE_S
