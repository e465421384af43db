"""Servers that state the rate of requests that they accept from all entries."""

import pytest

from siskinthread.platform.tests.fleet import run_fleet
from siskinthread.platform.tests.load import Load
from siskinthread.platform.tests.system import status_of
from standins.platform_limits import LimitedService

# Window of the platform's rule on limits, and the time after which a stated limit must
# be obeyed.
WINDOW_S = 4.0
SETTLED_S = 3.0
LOAD_S = 9.0
REQUESTS_PER_S = 48


def allowed_count(limit_per_s):
    """Return the largest allowed number of arrivals in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def limit_servers(fleet, limits):
    """Let each server state its limit; return the behaviours."""
    services = [LimitedService(limit) for limit in limits]
    for server, service in zip(fleet.servers, services, strict=True):
        server.set_default_behaviour(service)
    return services


def most_after_settling(service):
    """Return the most arrivals of a window after the limit must be obeyed."""
    return service.most_within(WINDOW_S, service.named_at_s + SETTLED_S)


@pytest.mark.parametrize("entry_count", [4, 1], ids=["even", "one entry"])
@pytest.mark.parametrize(
    "limits", [("4", None, None, None), ("6", "6", "6", "6")], ids=["one", "all"]
)
def test_servers_get_no_more_than_they_take_from_all_entries(limits, entry_count):
    """Guards against exceeding the limits that servers state in their answers.

    With its limit ignored, a server that stated 4 requests a second got 53 requests in
    4 s where 29 were allowed; four servers that stated 6 each got 51 to 57 where 41
    were allowed. Callers come to four entries evenly, or all to one, whose share must
    not be a quarter then.
    """

    async def test(fleet):
        services = limit_servers(fleet, limits)
        load = Load(fleet, REQUESTS_PER_S)
        await load.run(fleet.entries[:entry_count], LOAD_S)
        return services, load

    services, load = run_fleet(test, entry_count=4, server_count=4)
    for service in services:
        if service.limit is not None:
            most = most_after_settling(service)
            assert most <= allowed_count(float(service.limit))
    served_count = load.statuses.count(200)
    if None in limits:
        # The other servers serve what the limited one does not.
        assert served_count == len(load.statuses)
    else:
        # Sending nothing would keep the limit, and serve nobody.
        allowed_per_s = sum(float(limit) for limit in limits)
        assert served_count >= 0.8 * allowed_per_s * LOAD_S
        refused = [one for one in load.responses if status_of(one) == 503]
        assert len(refused) == len(load.statuses) - served_count
        assert all(b"retry-after: " in one.lower() for one in refused)


def test_servers_whose_limits_are_over_are_used_again():
    """Guards against refusals because of limits that ended 7 s before.

    All servers state a limit, the lowest of which is zero, and then none any more; a
    test request finds that the server with the limit of zero is back.
    """

    async def test(fleet):
        services = limit_servers(fleet, ("0", "3", "3", "3"))
        load = Load(fleet, REQUESTS_PER_S)
        await load.run(fleet.entries, for_s=3.0)
        for service in services:
            service.limit = None
        # Wait until the last server is tested, and all servers get equal load.
        await load.run(fleet.entries, for_s=6.0)
        for service in services:
            service.arrivals_s.clear()
        load.statuses.clear()
        await load.run(fleet.entries, for_s=2.0)
        return load.statuses, [len(service.arrivals_s) for service in services]

    statuses, arrived_counts = run_fleet(test, entry_count=4, server_count=4)
    assert set(statuses) == {200}
    assert min(arrived_counts) >= len(statuses) / 8
