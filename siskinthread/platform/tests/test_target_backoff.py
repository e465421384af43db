"""Servers that request back-off, or say in their answers that they leave."""

import pytest

from siskinthread.platform.tests.fleet import run_fleet
from siskinthread.platform.tests.load import Load
from siskinthread.platform.tests.system import (
    behave,
    run_system,
    SAFE_PATH,
    status_of,
)
from siskinthread.target_limits import StatedBackoff
from standins.platform_backoff import BackoffService, LeavingService
from standins.platform_behaviours import answer_whole, decline, misdirect_with

# Requests of one entry that a server may get within a back-off.
ALLOWED_COUNT = 2
# A refusal that waits for nothing takes less.
AT_ONCE_S = 0.2
ASKED_PER_S = 40
DRAIN_S = 2.0


def run_load(services, entry_count, load_s):
    """Run a load on entries before four servers; return the `Load`.

    Parameters
    ----------
    services : list
        Behaviour of the first servers; the others serve.
    entry_count : int
        Entries.
    load_s : float
        Length of the load, seconds.
    """

    async def test(fleet):
        default = [answer_whole] * (len(fleet.servers) - len(services))
        for server, service in zip(fleet.servers, services + default, strict=True):
            server.serve_by(service)
        load = Load(fleet, ASKED_PER_S)
        await load.run(fleet.entries, load_s)
        return load

    return run_fleet(test, entry_count=entry_count, server_count=4)


@pytest.mark.parametrize(
    "says_not_run", [True, False], ids=["declined", "may have run"]
)
@pytest.mark.parametrize("entry_count", [1, 4])
def test_server_gets_the_backoff_that_it_requests(entry_count, says_not_run):
    """A server requested 3 s of back-off and got 14 requests of that entry in it."""
    service = BackoffService("3", says_not_run=says_not_run)
    load = run_load([service], entry_count, load_s=4.5)
    assert service.asked_count >= 1
    assert service.most_in_a_backoff() <= ALLOWED_COUNT
    if says_not_run:
        assert load.served_share() >= 0.99


def test_backoff_lasts_though_the_server_would_serve():
    """A server that had requested back-off in its first 0.6 s got 7 requests in it."""
    service = BackoffService("3", asks_s=0.6)
    load = run_load([service], entry_count=4, load_s=4.5)
    assert service.most_in_a_backoff() <= ALLOWED_COUNT
    assert load.served_share() >= 0.99


def test_callers_are_refused_at_once_while_all_servers_are_backed_off():
    """Each of four servers got 8 requests in a back-off; callers were told nothing."""
    services = [BackoffService("2", asks_s=0.6) for _ in range(4)]
    load = run_load(services, entry_count=4, load_s=4.0)
    assert max(service.most_in_a_backoff() for service in services) <= ALLOWED_COUNT
    refused = [
        (response, took_s)
        for response, took_s in zip(load.responses, load.took_s, strict=True)
        if status_of(response) == 503
    ]
    assert all(b"retry-after: " in response.lower() for response, _ in refused)
    assert max(took_s for _, took_s in refused) <= AT_ONCE_S
    # The last back-off began within 0.6 s of the load's begin, and lasts 2 s.
    begun_at_s = min(load.sent_at_s)
    late = [
        status
        for status, sent_at_s in zip(load.statuses, load.sent_at_s, strict=True)
        if sent_at_s - begun_at_s > 0.6 + 2 + 0.5
    ]
    assert set(late) == {200}


def test_servers_that_request_backoff_again_and_again_cost_callers_nothing():
    """163 of 400 requests were refused though two of four servers were free."""
    services = [BackoffService("0.8") for _ in range(2)]
    load = run_load(services, entry_count=4, load_s=5.0)
    assert max(service.most_in_a_backoff() for service in services) <= ALLOWED_COUNT
    assert load.served_share() >= 0.97


@pytest.mark.parametrize("entry_count", [1, 4])
def test_server_that_says_it_leaves_gets_no_more_requests(entry_count):
    """A server got 58 requests that were sent 2 s after it had said that it leaves.

    Its entry in the list of targets still has it as ready.
    """
    service = LeavingService(serves_s=0.5)
    load = run_load([service], entry_count, load_s=4.0)
    assert service.late_arrivals(DRAIN_S) == []
    assert load.served_share() == 1.0


def test_leaving_that_one_entry_was_told_of_holds_for_all():
    """Each entry lost a request to a leaving server before it knew."""
    service = LeavingService(serves_s=0.5, tells_only="entry-0")
    load = run_load([service], entry_count=4, load_s=3.0)
    # News come every 0.02 s here.
    assert service.arrivals_behind_the_first_word(after_s=0.5) == []
    assert load.served_share() == 1.0


class SlowPool:
    """Connections whose opening takes until something has happened."""

    def __init__(self, pool, happen):
        self._pool = pool
        self._happen = happen

    async def take(self, entry, may_reuse, deadline):
        """Return a connection to a target."""
        connection = await self._pool.take(entry, may_reuse, deadline)
        self._happen(entry)
        return connection

    async def give_back(self, entry, connection, rest_limit_s):
        """Close a connection."""
        await connection.close()

    async def sweep(self, known_ids):
        """Keep nothing."""


@pytest.mark.parametrize("word", ["backoff", "leaving"])
def test_request_is_withheld_if_its_target_speaks_while_it_is_connected(word):
    """A request that had been chosen before the answer still went out behind it."""

    async def test(system):
        parts = system.gateway.parts
        spoken = []

        def speak(entry):
            if not spoken:
                spoken.append(entry.instance_id)
                if word == "backoff":
                    parts.backoffs.note_answer(entry, 0.0, StatedBackoff(3.0))
                else:
                    parts.targets.note_says_leaving(entry.instance_id)

        parts.pool = SlowPool(parts.pool, speak)
        response = await system.request(SAFE_PATH)
        seen = {one.instance_id for one in system.servers if one.seen}
        spent = parts.budgets._budget("app")._retry_expiries
        return status_of(response), seen.isdisjoint(spoken), len(spent)

    assert run_system(test) == (200, True, 0)


def test_repeat_is_paid_for_only_if_there_is_a_target():
    """A request that no target could take used up another one's repeat."""

    async def test(system):
        behave(system, decline)
        response = await system.request(SAFE_PATH)
        spent = system.gateway.parts.budgets._budget("app")._retry_expiries
        return status_of(response), len(spent)

    assert run_system(test, server_count=1) == (503, 0)


def test_what_another_instance_asks_for_does_not_concern_the_expected_one():
    """A server was limited to what the one at its former address takes."""

    async def test(system):
        behave(system, misdirect_with("Retry-After: 30", "Server-Limit: 1"))
        response = await system.request(SAFE_PATH)
        parts = system.gateway.parts
        return (
            status_of(response),
            parts.backoffs.backed_off_count(),
            len(parts.limits._limits),
        )

    assert run_system(test) == (200, 0, 0)
