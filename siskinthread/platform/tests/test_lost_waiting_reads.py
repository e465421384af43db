"""Reads that wait for changes and are never answered."""

import curio
import pytest

from siskinthread.observability import Metrics
from siskinthread.platform._store import StoreClient
from siskinthread.platform.tests.domains_fleet import running_fleet
from siskinthread.platform.tests.system import until
from siskinthread.settings import Address
from siskinthread.source_eras import EraWatch, PositionConfirmation
from siskinthread.timing import SYSTEM_CLOCK
from standins._http_server import HttpServer
from standins.platform_store import PlatformStoreStandin

HANG_S = 40.0
# A change must be in force so long after its confirmation.
APPLY_S = 2.0
# Time after which the store is stable again.
STABLE_S = 3.0
# The next waiting reads begin 0.5 s after the change before.
SILENT_AFTER_S = 0.4
TOPIC = "keyed.op"
CHECK_S = 0.1
CONFIGURATION, EVACUATION = "configuration", "evacuation"


async def make_change(fleet, kind):
    """Make a change of the configuration's topic; return the time of its confirmation.

    Returns
    -------
    tuple
        The time, monotonic seconds, and a function that returns when the change came
        into force at an entry; it raises `KeyError` before that.
    """
    if kind == CONFIGURATION:
        at_s = await fleet.publish()
        return at_s, lambda one: one.in_force[fleet.version]
    await fleet.store.evacuate("z")
    return SYSTEM_CLOCK.monotonic_s(), lambda one: one.evacuated_at_s["z"]


async def delays_s(fleet, kind):
    """Make a change; return the seconds until it was in force at each entry."""
    at_s, in_force_at_s = await make_change(fleet, kind)

    def is_in_force(entry):
        try:
            return in_force_at_s(entry) > 0
        except KeyError:
            return False

    await until(lambda: all(map(is_in_force, fleet.entries)), limit_s=30.0)
    return [in_force_at_s(one) - at_s for one in fleet.entries]


async def until_targets_are_read(fleet):
    """Wait for the next read of the target list, one a second.

    A read of the list in the silence would reveal it.
    """
    before = fleet.counted()["read keyed.servers"]
    await until(lambda: fleet.counted()["read keyed.servers"] > before)


def run_fleet(test, domains):
    """Run an async test with a fleet whose reads wait for changes."""

    async def main():
        async with running_fleet(domains) as fleet, curio.timeout_after(HANG_S):
            # Peers need to know each other and their roles.
            await curio.sleep(1.5)
            return await test(fleet)

    return curio.run(main)


@pytest.mark.parametrize("kind", [CONFIGURATION, EVACUATION])
@pytest.mark.parametrize("silent_s", [0.2, 0.5])
@pytest.mark.parametrize("domains", ["a", "ab", "aaab"])
def test_change_is_in_force_in_time_after_a_short_silence(domains, silent_s, kind):
    """Guards against waiting reads that a silence of the store has swallowed."""

    async def test(fleet):
        await until_targets_are_read(fleet)
        await fleet.publish()
        await curio.sleep(SILENT_AFTER_S)
        fleet.store.mode = "silent"
        await curio.sleep(silent_s)
        fleet.store.mode = "up"
        await curio.sleep(STABLE_S)
        return await delays_s(fleet, kind)

    assert max(run_fleet(test, domains)) < APPLY_S


class SelectiveStore(PlatformStoreStandin):
    """A store that never answers reads that wait."""

    __slots__ = ()

    async def handle(self, request, exchange):
        """Answer a request unless it waits."""
        if "wait_ms" in request.query:
            await curio.sleep(HANG_S)
        await super().handle(request, exchange)


async def read_without_wait_answers(store, change):
    """Return the records of a waiting read that is never answered, and the events.

    `change` is called with the store after the first check.
    """
    async with HttpServer(store.handle) as server, curio.timeout_after(5.0):
        eras = EraWatch(Metrics())
        count = Metrics().counter("calls", "Calls.", ("call",))
        client = StoreClient(Address(server.host, server.port), 0.5, count, eras)
        await store.put(TOPIC, "config", {"version": 1})
        _, position = await client.read_newest(TOPIC)
        confirmation = PositionConfirmation(SYSTEM_CLOCK, lambda: CHECK_S)
        checked = curio.Event()
        confirmation.on_check = checked.set
        confirmation.note_own()
        reading = await curio.spawn(
            client.read_changes, TOPIC, position, 30.0, confirmation
        )
        await checked.wait()
        await change(store)
        return await reading.join()


def test_single_lost_read_is_found_by_a_check():
    """Guards against a path that swallows only the connection of a waiting read."""

    async def change(store):
        await store.put(TOPIC, "config", {"version": 2})

    records, position = curio.run(read_without_wait_answers, SelectiveStore(), change)
    assert [one.key for one in records] == ["config"]
    assert position.offset == 2


def test_check_notices_that_the_store_was_restored():
    """Guards against a lost read at a position of an earlier era."""

    async def change(store):
        store.keep_copy()
        store.restore()

    with pytest.raises(curio.TaskError) as raised:
        curio.run(read_without_wait_answers, SelectiveStore(), change)
    assert "era" in str(raised.value.__cause__)


def test_peer_that_has_read_further_hastens_the_check():
    """Guards against a host that knows from a peer that its own read is lost."""

    async def main():
        confirmation = PositionConfirmation(SYSTEM_CLOCK, lambda: 30.0)
        confirmation.note_own()
        await confirmation.hasten()
        # An older announcement of another peer does not undo that.
        confirmation.note(0.0)
        async with curio.timeout_after(5.0):
            await confirmation.wait_until_due()
        confirmation.note_own()
        return confirmation.left_s()

    assert curio.run(main) > 1.0


def test_stored_suspects_are_checked_while_a_read_waits():
    """Guards against suspected requests that a swallowed read withholds for 25 s."""

    async def test(fleet):
        def checks():
            return fleet.counted()["check keyed.suspects"]

        before = checks()
        await curio.sleep(6.0)
        return checks() - before

    # Readers of all failure domains share the checks.
    assert 2 <= run_fleet(test, "aabbb") <= 8
