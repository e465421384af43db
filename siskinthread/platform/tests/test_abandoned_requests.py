"""Requests that an entry has given up on while the path to their target was cut."""

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
# More than the kernel takes at once is written by a task of its own.
BODIES = (b"x", b"x" * 50_000)
# How long after a cut what was held arrives; longer than a relay looks for its end.
ARRIVAL_S = 0.2


class CutSystem:
    """A system whose servers are reached by relays that can be cut."""

    def __init__(self, system, relays):
        self._system = system
        self._relays = relays

    def cut(self):
        """Hold what is sent, either way."""
        for relay in self._relays:
            relay.cut = {TO, FROM}

    async def heal(self):
        """Let what was held arrive, unless its sender has reset its connection."""
        for relay in self._relays:
            relay.cut = set()
        await curio.sleep(ARRIVAL_S)

    def arrived_count(self):
        """Return the number of requests that have reached servers."""
        return len(self._system.seen())


@asynccontextmanager
async def cut_system(system):
    """List every server at a relay's address."""
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
    """A server got a request 5 s after its caller had the answer from another one.

    It had said 8.7 s before that it leaves.  The entry's failure domain had been cut
    off 0.6 s after that, so its list still had the server; it wrote the request to a
    kept connection, which failed 3 s after the cut, and went on at a server of its own
    domain.  It closed the failed connection in the ordinary way, after which the
    kernel goes on sending: what was held arrived 3 s after the cut had ended.  The
    entry's log has two attempts, and no line of the request after its answer::

        7.6088 "gateway: request ended" "attempts":[
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
    """A server works for a caller that left seconds before.

    The caller closes its connection while the request is held up on its way; the entry
    gives up, and what it had sent arrives when the path is back.
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
