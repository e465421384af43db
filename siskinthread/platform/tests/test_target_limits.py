"""Servers in need that name the rate of requests that they take from all entries."""

import pytest

from siskinthread.platform.tests.fleet import run_fleet
from siskinthread.platform.tests.load import Load
from siskinthread.platform.tests.system import status_of
from standins.platform_limits import LimitedService

# What the users' platform allows beside a limit, in any window, once the limit has
# been named for so long.
WINDOW_S = 4.0
SETTLED_S = 3.0
LOAD_S = 9.0
ASKED_PER_S = 48


def allowed_count(limit_per_s):
    """Return the most arrivals that a window may have."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def limit_servers(fleet, limits):
    """Let each server name its limit; return its behaviour."""
    services = [LimitedService(limit) for limit in limits]
    for server, service in zip(fleet.servers, services, strict=True):
        server.serve_by(service)
    return services


def most_after_settling(service):
    """Return the most arrivals of a window once the limit must be obeyed."""
    return service.most_within(WINDOW_S, service.named_at_s + SETTLED_S)


@pytest.mark.parametrize("entry_count", [4, 1], ids=["even", "one entry"])
@pytest.mark.parametrize(
    "limits", [("4", None, None, None), ("6", "6", "6", "6")], ids=["one", "all"]
)
def test_servers_get_no_more_than_they_take_from_all_entries(limits, entry_count):
    """A server in need got 53 requests in 4 s where its limit allowed 29.

    It named 4 requests a second in each answer, and nothing read it; of four servers
    that named 6 each got 51 to 57 where 41 were allowed.  Callers come to four entries
    evenly, or all to one, whose share must not be a quarter then.
    """

    async def test(fleet):
        services = limit_servers(fleet, limits)
        load = Load(fleet, ASKED_PER_S)
        await load.run(fleet.entries[:entry_count], LOAD_S)
        return services, load

    services, load = run_fleet(test, entry_count=4, server_count=4)
    for service in services:
        if service.limit is not None:
            most = most_after_settling(service)
            assert most <= allowed_count(float(service.limit))
    served_count = load.statuses.count(200)
    if None in limits:
        # The others take what the one does not.
        assert served_count == len(load.statuses)
    else:
        # A limit that is obeyed by sending nothing serves nobody.
        allowed_per_s = sum(float(limit) for limit in limits)
        assert served_count >= 0.8 * allowed_per_s * LOAD_S
        refused = [one for one in load.responses if status_of(one) == 503]
        assert len(refused) == len(load.statuses) - served_count
        assert all(b"retry-after: " in one.lower() for one in refused)


def test_servers_whose_limits_are_over_are_used_again():
    """Callers were refused for limits that had ended 7 s before.

    All servers name a limit, the lowest one nothing at all, and then none any more;
    the one that takes nothing is found to be back by a test.
    """

    async def test(fleet):
        services = limit_servers(fleet, ("0", "3", "3", "3"))
        load = Load(fleet, ASKED_PER_S)
        await load.run(fleet.entries, for_s=3.0)
        for service in services:
            service.limit = None
        # Until the last one is tested, and until all get as much as any other.
        await load.run(fleet.entries, for_s=6.0)
        for service in services:
            service.arrivals_s.clear()
        load.statuses.clear()
        await load.run(fleet.entries, for_s=2.0)
        return load.statuses, [len(service.arrivals_s) for service in services]

    statuses, arrived_counts = run_fleet(test, entry_count=4, server_count=4)
    assert set(statuses) == {200}
    assert min(arrived_counts) >= len(statuses) / 8
