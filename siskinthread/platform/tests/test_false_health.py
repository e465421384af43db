"""Servers that are listed as ready and fail, or as draining and serve."""

import pytest

from siskinthread.platform.tests.fleet import GATEWAY_SETTINGS, run_fleet
from siskinthread.platform.tests.load import Load
from siskinthread.platform.tests.system import listed, until
from siskinthread.platform.tests.test_cold_targets import knows_fleet
from standins import platform_behaviours as faults

pytestmark = pytest.mark.running_clock

REQUESTS_PER_S = 80
FOR_S = 4.0
# As in production: the ejection lasts 1 s after a first failure, then 2 s, then 4 s.
SETTINGS = GATEWAY_SETTINGS.with_values(ejection_s=1.0)


def serving_ids(entry):
    """Return the ids of the servers to which an entry may send requests."""
    return {one.instance_id for one in entry.gateway.parts.targets.serving("app")}


async def list_as(fleet, server, sequence, state):
    """Write a server's entry, and wait until all entries apply it."""
    document = listed(server, sequence=sequence, state=state)
    await fleet.store.put("keyed.servers", server.instance_id, document)
    is_ready = state == "ready"
    await until(
        lambda: all(
            (server.instance_id in serving_ids(one)) == is_ready
            for one in fleet.entries
        )
    )


@pytest.mark.parametrize("behaviour", [faults.fail, faults.lose_answer])
@pytest.mark.parametrize("entry_count", [4, 12])
def test_failing_server_that_is_listed_as_ready_gets_few_requests(
    entry_count, behaviour
):
    """Guards against a failing server that attracts requests, and retries at others.

    It fails at once and therefore looks idle.
    """

    async def test(fleet):
        # An entry that has just started has no minimum number of retries.
        await until(lambda: all(knows_fleet(one) for one in fleet.entries))
        failing = fleet.servers[0]
        failing.set_default_behaviour(behaviour)
        load = Load(fleet, REQUESTS_PER_S)
        await load.run(fleet.entries, FOR_S)
        return len(failing.seen), load.unserved()

    seen_count, unserved = run_fleet(test, entry_count, 0, 4, SETTINGS)
    print(f"{seen_count} requests, {len(unserved)} not served")
    # Each entry tries the server at first, and after 1 s and 3 s; some requests are
    # under way.
    assert seen_count <= 4 * entry_count
    assert unserved == []


@pytest.mark.parametrize("entry_count", [4, 12])
def test_server_falsely_listed_as_draining_costs_no_request(entry_count):
    """The other servers take its requests.

    It gets no request until it starts under another id.
    """

    async def test(fleet):
        server = fleet.servers[0]
        load = Load(fleet, REQUESTS_PER_S)
        await list_as(fleet, server, 2, "draining")
        before = len(server.seen)
        await load.run(fleet.entries, 1.5)
        return len(server.seen) - before, load.unserved()

    assert run_fleet(test, entry_count, 0, 4, SETTINGS) == (0, [])
