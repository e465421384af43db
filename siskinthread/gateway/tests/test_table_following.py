"""Reading the configuration during rapid changes."""

import random

import curio

from siskinthread.gateway import GatewaySettings
from siskinthread.gateway._table import RouteTable, TableView
from siskinthread.gateway._table_following import TableFollower
from siskinthread.timing import SYSTEM_CLOCK

HANG_S = 10.0
CHANGE_COUNT = 25


class StormSource:
    """A source whose version changes often, which counts its reads."""

    def __init__(self):
        self.version = 1
        self.reads = 0

    async def read_newest(self):
        """Return the newest version."""
        return self._table(), self.version

    async def read_changes(self, position, wait_s):
        """Return the newest version as soon as it differs from a position."""
        self.reads += 1
        while self.version == position:
            await curio.sleep(0.001)
        return [self._table()], self.version

    def _table(self):
        return RouteTable(self.version, [], [], None, None)


def test_series_of_changes_is_read_a_few_times():
    """Guards against a call of each entry for each version of a series.

    25 versions are published within 0.5 s; each was read as soon as it was available.
    """

    async def main():
        source = StormSource()
        view = TableView()
        settings = GatewaySettings(table_pause_s=0.1)
        follower = TableFollower(source, view, settings, SYSTEM_CLOCK, random.Random(1))
        task = await curio.spawn(follower.run)
        for _ in range(CHANGE_COUNT):
            source.version += 1
            await curio.sleep(0.02)
        async with curio.timeout_after(HANG_S):
            while view.table is None or view.table.version < source.version:
                await curio.sleep(0.002)
        await task.cancel()
        return source.reads

    assert curio.run(main) <= CHANGE_COUNT // 2
