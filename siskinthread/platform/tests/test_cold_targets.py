"""Servers that are cold after a start, and accept few requests until they are warm."""

import time

import curio
import pytest

from siskinthread.platform.tests.fleet import GATEWAY_SETTINGS, run_fleet
from siskinthread.platform.tests.load import Load
from siskinthread.platform.tests.system import listed, SAFE_PATH, status_of, until
from siskinthread.target_limits import ColdTargetSettings
from standins.platform_behaviours import misdirect
from standins.platform_limits import LimitedService

pytestmark = pytest.mark.running_clock

COLD_S = 4.0
COLD_PER_S = 5
# 1.5 times the rate plus 5 requests allow 12.5 in any second.
MOST_IN_A_SECOND = 12
REQUESTS_PER_S = 80
REPORT_INTERVAL_S = 0.5
RULE = GATEWAY_SETTINGS.with_values(
    cold=ColdTargetSettings(excess_ratio=1.5, excess_count=5.0)
)
SERVICES = [{"name": "app", "cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}]


class ColdService(LimitedService):
    """Behaviour of a server that has just started, and declines requests for others."""

    def __init__(self):
        super().__init__()
        self.warm_at_s = time.monotonic() + COLD_S

    async def __call__(self, server, request, client):
        """Answer one request."""
        if request.headers["x-expect-instance"] != server.instance_id:
            await misdirect(server, request, client)
        else:
            await super().__call__(server, request, client)

    def drop_warm(self):
        """Drop arrivals after the server has become warm."""
        self.arrivals_s = [at_s for at_s in self.arrivals_s if at_s < self.warm_at_s]


async def report(fleet, server, warm_at_s):
    """Write a server's entry repeatedly while it becomes warm."""
    for sequence in range(2, 200):
        left_s = max(0.0, warm_at_s - time.monotonic())
        entry = listed(
            server, sequence=sequence, cold_remaining_ms=round(left_s * 1000)
        )
        await fleet.store.put("keyed.servers", server.instance_id, entry)
        await curio.sleep(REPORT_INTERVAL_S)


async def start_anew(fleet, servers):
    """Restart servers during traffic; return their new behaviours."""
    services = []
    for server in servers:
        await fleet.store.put("keyed.servers", server.instance_id, None)
        server.instance_id += "-anew"
        service = ColdService()
        server.set_default_behaviour(service)
        services.append(service)
        reporting = report(fleet, server, service.warm_at_s)
        await curio.spawn(reporting, daemon=True)
    started = {server.instance_id for server in servers}
    await until(lambda: all(started <= known_ids(entry) for entry in fleet.entries))
    return services


def run_cold_servers(entry_count, cold_count):
    """Restart some of four servers during traffic; return behaviours and load."""

    async def test(fleet):
        await until(lambda: all(knows_fleet(entry) for entry in fleet.entries))
        load = Load(fleet, REQUESTS_PER_S)
        services = await start_anew(fleet, fleet.servers[-cold_count:])
        await load.run(fleet.entries, COLD_S + 1.5)
        for service in services:
            service.drop_warm()
        return services, load

    return run_fleet(
        test,
        entry_count=entry_count,
        server_count=4,
        settings=RULE,
        services=SERVICES,
    )


def known_ids(entry):
    """Return the ids of the servers that an entry knows."""
    return {one.instance_id for one in entry.gateway.parts.targets.entries()}


def knows_fleet(entry):
    """Return whether an entry knows all the others."""
    return entry.gateway.parts.cold.peers.is_roster_known()


@pytest.mark.parametrize("entry_count", [1, 4])
def test_cold_servers_get_no_more_than_they_take_from_all_entries(entry_count):
    """Guards against overloading cold servers.

    Servers that accept 5 requests a second while cold got 20 in a second, and crashed.
    """
    services, load = run_cold_servers(entry_count, cold_count=2)
    counts = [service.most_within(1.0, 0.0) for service in services]
    print("most in a second", counts, "of", [len(one.arrivals_s) for one in services])
    assert max(counts) <= MOST_IN_A_SECOND
    # Sending nothing would keep the bound, and waste the capacity of the cold servers.
    allowed = (1.5 * COLD_PER_S + 5) * COLD_S
    for service in services:
        assert len(service.arrivals_s) >= 0.6 * allowed
    # The warm servers serve the rest.
    assert set(load.statuses) == {200}


def test_servers_that_are_cold_again_are_limited_by_all_entries():
    """Guards against cold servers that only the reader of the list knows of.

    The other entries sent 20 requests in a second.
    """

    async def test(fleet):
        await until(lambda: all(knows_fleet(entry) for entry in fleet.entries))
        load = Load(fleet, REQUESTS_PER_S)
        loading = await curio.spawn(load.run, fleet.entries, COLD_S)
        await curio.sleep(1.0)
        server = fleet.servers[0]
        server.set_default_behaviour(service := ColdService())
        reporting = report(fleet, server, service.warm_at_s)
        await curio.spawn(reporting, daemon=True)
        await loading.join()
        return service

    service = run_fleet(
        test, entry_count=4, server_count=4, settings=RULE, services=SERVICES
    )
    # By then its report has been read, and sent to all entries.
    told_at_s = service.warm_at_s - COLD_S + 0.5
    assert 0 < service.most_within(1.0, told_at_s) <= MOST_IN_A_SECOND


def test_callers_of_cold_servers_are_refused_with_a_retry_time():
    """Requests above the quota are refused at once, unrun, with a retry time."""
    services, load = run_cold_servers(entry_count=4, cold_count=4)
    counts = [service.most_within(1.0, 0.0) for service in services]
    print("most in a second", counts, "served", load.statuses.count(200))
    assert max(counts) <= MOST_IN_A_SECOND
    assert set(load.statuses) == {200, 503}
    refused = [one for one in load.responses if status_of(one) == 503]
    assert all(b"retry-after: " in one.lower() for one in refused)


def test_quota_of_requests_that_were_not_written_is_returned():
    """Guards against quota that an attempt at an unreachable server uses up for good.

    The server counts as cold after the attempt.  A body that is written in the
    background counts against the quota like one that is written at once.
    """

    async def test(fleet):
        [entry] = fleet.entries
        cold = entry.gateway.parts.cold
        gone = listed(fleet.servers[0], address="127.0.0.1:1", slots=60)
        await fleet.store.put("keyed.servers", "i-gone", gone)
        await until(lambda: "i-gone" in known_ids(entry))
        statuses = [
            status_of(await entry.request(SAFE_PATH, b"x" * size_bytes))
            for size_bytes in (5, 40_000, 5, 40_000)
        ]
        return statuses, list(cold._targets.values())

    statuses, targets = run_fleet(
        test, entry_count=1, server_count=1, settings=RULE, services=SERVICES
    )
    assert set(statuses) == {200}
    assert [target.held_count for target in targets] == [0, 0]
    assert {one.instance_id: one.has_failed for one in targets} == {
        "i-0-1": False,
        "i-gone": True,
    }
    assert [len(target._sent_s) for target in targets] == [4, 0]
