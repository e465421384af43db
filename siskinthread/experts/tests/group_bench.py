"""A group of ranks with gates and controllers, over loopback in a single kernel."""

import contextlib

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.experts import (
    Controller,
    Objective,
    PlannerSettings,
    RankService,
    RankSettings,
    RemoteRanks,
)
from siskinthread.settings import Address, Key
from siskinthread.timing import SYSTEM_CLOCK
from siskinthread.wire import Channel, Frame, Identity, PeerSettings, shake_hands
from standins._http_server import HttpServer
from standins.rank_group import Group, parse_options

GROUP = "drafts"
MINUTES_PER_DAY = 1440
NOON_MS = 12 * 60 * 60 * 1000


class NoonClock(type(SYSTEM_CLOCK)):
    """The system's clock, except that the wall clock always shows noon."""

    __slots__ = ()

    def unix_ms(self):
        """Return noon of 1 January 1970, milliseconds since the Unix epoch."""
        return NOON_MS


class OpenRanks(RemoteRanks):
    """`RemoteRanks` without slots, so that a test can replace its methods."""


class GroupBench:
    """Fixture that starts the ranks and gates of a group and makes controllers."""

    def __init__(self, *options, **rank_settings):
        self.group = Group(parse_options(options))
        self.peers = PeerSettings(keys=[Key("k", "s")])
        self.records = []
        self.services = []
        self._rank_settings = rank_settings
        self._tasks = []
        self._addresses = {}

    async def start(self):
        """Serve every rank and its gate."""
        for index, rank in enumerate(self.group.ranks):
            server = HttpServer(rank.handle)
            await self._spawn(server.run)
            settings = RankSettings(
                group=GROUP,
                address=Address(server.host, server.port),
                lapse_interval_s=0.02,
                **self._rank_settings,
            )
            service = RankService(settings, SYSTEM_CLOCK)
            self.services.append(service)
            await self._spawn(service.run)
            await self._listen(f"host-{index:03d}", service)

    async def controller(self, fencing, quiet=False):
        """Return a controller under a claim; with `quiet` it plans no moves."""
        windows = [(0, MINUTES_PER_DAY)] if quiet else []
        identity = Identity("host-000", "steinkjer", "agent")
        ranks = OpenRanks(GROUP, identity, self.peers, answer_wait_s=1.0)
        await ranks.reconcile(self._addresses)

        async def claim():
            return fencing

        return Controller(
            GROUP,
            ranks,
            PlannerSettings(),
            1.0,
            claim,
            lambda: Objective(1.0, 1.0, windows),
            lambda *record: self.records.append(record),
            NoonClock(),
        )

    async def step(self, count=1):
        """Run steps of the group."""
        for _ in range(count):
            self.group._step()

    async def stop(self):
        """Stop all tasks."""
        for task in self._tasks:
            await task.cancel()

    async def _listen(self, host, service):
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        self._addresses[host] = Address(*listener.getsockname())
        identity = Identity(host, "steinkjer", "agent")

        async def serve(socket, address):
            channel = Channel(socket, Frame, self.peers.frame_limit_bytes)
            _, frames = await shake_hands(channel, identity, self.peers, dialled=False)
            with contextlib.suppress(ConnectionLostError):
                await service.serve(channel, frames)

        await self._spawn(curio.network.run_server, listener, serve)

    async def _spawn(self, *call):
        self._tasks.append(await curio.spawn(*call, daemon=True))


def run_bench(scenario, *options, **rank_settings):
    """Run ``await scenario(bench)`` against a new bench."""

    async def main():
        bench = GroupBench(*options, **rank_settings)
        await bench.start()
        try:
            async with curio.timeout_after(20):
                await scenario(bench)
        finally:
            await bench.stop()

    curio.run(main)
