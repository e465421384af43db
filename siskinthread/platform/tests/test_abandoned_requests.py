"""Requests that an entry has abandoned while the path to their target was cut."""

from contextlib import asynccontextmanager

import curio
import pytest

from scripts._fault_proxy import FROM, Relay, TO
from siskinthread.platform.tests.system import (
    listed,
    run_system,
    SAFE_PATH,
    status_of,
    until,
)

BRIEF_PATH = "/brief/2f"
# The large body exceeds the kernel's buffer, so that a task of its own writes it.
BODIES = (b"x", b"x" * 50_000)
# Time for held bytes to arrive after a cut; longer than the relay's check interval for
# its end.
ARRIVAL_S = 0.2


class CutSystem:
    """A system whose servers are reached through relays that can be cut."""

    def __init__(self, system, relays):
        self._system = system
        self._relays = relays

    def cut(self):
        """Hold all bytes in both directions."""
        for relay in self._relays:
            relay.cut = {TO, FROM}

    async def heal(self):
        """Deliver held bytes, unless their sender has reset its connection."""
        for relay in self._relays:
            relay.cut = set()
        await curio.sleep(ARRIVAL_S)

    def arrived_count(self):
        """Return the number of requests that have reached servers."""
        return len(self._system.seen())


@asynccontextmanager
async def cut_system(system):
    """List every server at the address of a relay."""
    tasks = []
    relays = []
    for server in system.servers:
        relay = Relay(server.host, server.port)
        host, port = relay.address
        entry = listed(server, address=f"{host}:{port}", sequence=2)
        await system.store.put("keyed.servers", server.instance_id, entry)
        relays.append(relay)
        tasks.append(await curio.spawn(relay.run))
    ports = {relay.address[1] for relay in relays}
    targets = system.gateway.parts.targets
    await until(lambda: {one.port for one in targets.entries()} == ports)
    try:
        yield CutSystem(system, relays)
    finally:
        for task in tasks:
            await task.cancel()


@pytest.mark.parametrize("body", BODIES, ids=len)
def test_request_that_timed_out_in_a_cut_reaches_no_server_after_it(body):
    """Guards against delivering an abandoned request after a cut.

    An entry writes a request to a kept connection whose path is cut, gives up after 3
    s, and sends it to another server.  If it closes the failed connection in the
    ordinary way, the kernel goes on sending: a server got the held request 3 s after
    the end of the cut, 5 s after the caller had its answer, and 8.7 s after the server
    had announced that it leaves. The entry's log has two attempts, and no line of the
    request after its answer::

        "gateway: request ended" "attempts":[
          {"target":"i-ef03e12ccd","result":"lost",
           "reason":"connection failed: TimeoutError(110, 'Connection timed out')"},
          {"target":"i-f16471e8b5","result":"answered"}]
    """

    async def test(system):
        async with cut_system(system) as network:
            assert status_of(await system.request(SAFE_PATH, body=body)) == 200
            network.cut()
            assert status_of(await system.request(BRIEF_PATH, body=body)) == 504
            await network.heal()
            return network.arrived_count()

    assert run_system(test, server_count=1) == 1


@pytest.mark.parametrize("body", BODIES, ids=len)
def test_request_whose_caller_left_in_a_cut_reaches_no_server_after_it(body):
    """Guards against a server that works for a caller that left seconds before.

    The caller closes its connection while the request is held on its way; the entry
    gives up, and what it had sent must not arrive when the path is back.
    """

    async def test(system):
        async with cut_system(system) as network:
            assert status_of(await system.request(SAFE_PATH)) == 200
            network.cut()
            caller = await system.connect()
            await caller.sendall(system.request_bytes(SAFE_PATH, body=body))
            loads = system.gateway.parts.loads
            await until(lambda: loads.own("i-0") == 1)
            await curio.sleep(0.05)
            await caller.close()
            await until(lambda: loads.own("i-0") == 0)
            await network.heal()
            return network.arrived_count()

    assert run_system(test, server_count=1) == 1
