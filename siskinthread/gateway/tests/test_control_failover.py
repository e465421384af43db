"""How long a group is without a controller when its controller ends or is silent."""

import random

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway._control_home import ControlHome
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway.tests.parts import SETTINGS
from siskinthread.group_maps import (
    GroupDirectory,
    GroupManager,
    GroupMapSettings,
    MapMeasures,
    Shares,
)
from siskinthread.group_maps.tests.fake_group import FakeGroup
from siskinthread.group_maps.tests.test_duty import (
    CountingClient,
    Entry,
    HOLDINGS,
    LAYOUT,
    RANKS,
)
from siskinthread.observability import Metrics
from siskinthread.peer_news import HostState, PeerGossip, PeerGossipSettings
from siskinthread.peer_news.tests.test_peers import free_addresses
from siskinthread.timing import Deadline, SYSTEM_CLOCK

HOSTS = 3
SHARE_COUNT = 8
MAP_SETTINGS = GroupMapSettings()
HANG_S = 10.0


class FakeStore:
    """Divides shares among members, until they leave or their leases expire."""

    def __init__(self):
        self._members = {}

    def join(self, name):
        """Renew the lease of a member, and return its shares."""
        lapse_s = MAP_SETTINGS.share_lapse_s
        self._members[name] = Deadline.after(SYSTEM_CLOCK, lapse_s)
        names = sorted(one for one, end in self._members.items() if not end.passed())
        number = names.index(name)
        return Shares(set(range(number, SHARE_COUNT, len(names))), SHARE_COUNT)

    def leave(self, name):
        """Remove a member."""
        self._members.pop(name, None)


class StoreMember:
    """A host's client of the store."""

    def __init__(self, store, name):
        self._store = store
        self._name = name
        self.is_cut_off = False

    async def renew(self):
        """Renew the lease, and return the shares."""
        if self.is_cut_off:
            raise PlatformUnavailableError("cut off")
        return self._store.join(self._name)

    async def leave(self):
        """Release the shares."""
        self._store.leave(self._name)


class Context:
    """Whether the entry drains."""

    def __init__(self):
        self.draining = False


class Host:
    """One entry host of the failure domain of a group."""

    def __init__(self, name, address, first, store, group):
        metrics, chance = Metrics(), random.Random(1)
        parts = GatewayParts(SETTINGS, "a", None, SYSTEM_CLOCK, metrics, chance)
        self.context = Context()
        self.home = ControlHome(
            SETTINGS,
            "a",
            parts.progress,
            self.context,
            parts.slow_targets,
            parts.outages,
        )
        self.peers = PeerGossip(
            PeerGossipSettings(), address, "a", [first], SYSTEM_CLOCK, chance
        )
        self.peers.describe = self._describe
        self.home.peers = self.peers
        self.member = StoreMember(store, name)
        self.directory = GroupDirectory(
            lambda entry: CountingClient(group, int(entry.instance_id[2:]), HOLDINGS),
            MAP_SETTINGS,
            SYSTEM_CLOCK,
        )
        self.duty = GroupManager(
            self.directory,
            self.member,
            lambda instance_id: LAYOUT,
            self.home,
            MAP_SETTINGS,
            SYSTEM_CLOCK,
            MapMeasures(metrics),
            chance,
        )
        self.tasks = []

    def _describe(self):
        return HostState(1, True, {}, controlled_groups=self.home.controlled)

    @property
    def controls(self):
        """Whether this host controls the group."""
        return bool(self.duty.controlled_groups())

    async def start(self):
        """Start all tasks."""
        await self.directory.refresh([Entry(f"i-{one}") for one in range(RANKS)])
        self.tasks = [
            await curio.spawn(run, daemon=True)
            for run in (self.peers.run, self.duty.run)
        ]

    async def stop(self):
        """Cancel all tasks, as if the host was killed."""
        for task in self.tasks:
            await task.cancel()


async def kill(host):
    """Kill or stop a host; other hosts can't distinguish the two."""
    await host.stop()


async def cut_off(host):
    """Partition a host from its peers and the store while it continues to control."""
    host.member.is_cut_off = True
    await host.tasks[0].cancel()


async def drain(host):
    """Begin a drain."""
    host.context.draining = True


async def takeover_s(end, phase_s):
    """Measure the time until another host controls the group.

    Returns
    -------
    tuple of float, int, object
        Time, seconds, number of other hosts that control the group at the end, and
        passes of the group with mixed maps.
    """
    group, store = FakeGroup(RANKS), FakeStore()
    addresses = free_addresses(HOSTS)
    hosts = [
        Host(f"host {number}", one, addresses[0], store, group)
        for number, one in enumerate(addresses)
    ]
    for host in hosts:
        await host.start()
    await curio.sleep(2 * MAP_SETTINGS.renew_interval_s + phase_s)
    (first,) = [host for host in hosts if host.controls]
    ended_at_s = SYSTEM_CLOCK.monotonic_s()
    await end(first)
    others = [host for host in hosts if host is not first]
    async with curio.timeout_after(HANG_S):
        while not any(host.controls for host in others):
            await curio.sleep(0.01)
    took_s = SYSTEM_CLOCK.monotonic_s() - ended_at_s
    # By then, the store has redistributed the shares.
    await curio.sleep(MAP_SETTINGS.share_lapse_s + MAP_SETTINGS.renew_interval_s)
    count = sum(host.controls for host in others)
    for host in hosts:
        await host.stop()
    return took_s, count, group.mixed_passes


@pytest.mark.parametrize("end", [kill, cut_off, drain])
def test_group_has_another_controller_within_two_seconds(end):
    """Guards against an expert map that does not follow shifts of demand for 4 s.

    The controlling host ends, is stopped or partitioned, or drains; its shares were
    reassigned only after its lease had expired.
    """

    async def main():
        tasks = [await curio.spawn(takeover_s, end, one) for one in (0.1, 0.6)]
        return [await task.join() for task in tasks]

    for took_s, count, mixed_passes in curio.run(main):
        assert took_s < 2.0
        assert count == 1
        assert not mixed_passes
