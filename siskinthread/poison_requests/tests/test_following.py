"""Synchronisation with the store of suspected requests."""

import random

import curio

from siskinthread.errors import PositionExpiredError, RecordsUnreadError
from siskinthread.poison_requests import (
    PoisonFollower,
    PoisonRegister,
    PoisonSettings,
    WriteTurns,
)
from siskinthread.source_eras import Position
from siskinthread.timing import SYSTEM_CLOCK

SETTINGS = PoisonSettings(store_pause_s=0.01, store_retry_s=0.01)


class ExpiringSource:
    """A store whose history is dropped while a record is written."""

    def __init__(self):
        self.write_count = 0
        self._dropped = curio.Event()
        self._is_expired = False

    async def read_all(self):
        """Return no records, after a delay."""
        await curio.sleep(0.1 if self._is_expired else 0.0)
        return [], Position(1, 0)

    async def read_changes(self, position, wait_s):
        """Wait until the history is dropped during the first write."""
        assert position is not None
        if not self._is_expired:
            await self._dropped.wait()
            self._is_expired = True
            raise PositionExpiredError("history dropped")
        await curio.sleep(0.01)
        return [], position

    def write_at(self, position):
        """Accept the position of later writes."""

    async def write(self, changes):
        """Refuse the first write once the history was dropped."""
        self.write_count += 1
        if self.write_count == 1:
            await self._dropped.set()
            await curio.sleep(0.05)
            raise RecordsUnreadError("records behind the position")


def test_history_dropped_during_a_write_does_not_end_the_follower():
    """A read used a position that another task had already discarded."""

    async def main():
        source = ExpiringSource()
        register = PoisonRegister(SETTINGS, SYSTEM_CLOCK)
        turns = WriteTurns(SETTINGS, random.Random(1))
        follower = PoisonFollower(source, register, SETTINGS, SYSTEM_CLOCK, turns)
        reading = await curio.spawn(follower.read)
        writing = await curio.spawn(follower.write)
        await register.target_crashed("fingerprint", "i-1")
        await register.target_crashed("fingerprint", "i-2")
        async with curio.timeout_after(5.0):
            while source.write_count < 2:
                assert not writing.terminated
                await curio.sleep(0.01)
        await reading.cancel()
        await writing.cancel()

    curio.run(main)
