"""Which of many hosts writes what the store lacks."""

import random

import pytest

from siskinthread.poison_requests import PoisonSettings, WriteTurns

SETTINGS = PoisonSettings()
# Time from a write until another host has read it.
READ_DELAY_S = 0.02
RUN_COUNT = 200
COUNTS = (6, 24, 99, 300)


class Peers:
    """Provides a host's position in the order; None if it knows no other host."""

    def __init__(self, turn):
        self.turn = turn

    def has_peers(self):
        """Return whether this host has a position."""
        return self.turn is not None

    def rendezvous_position(self, name):
        """Return the number of hosts before this one."""
        return self.turn


def turn_s(position, seed):
    """Return when a host takes its turn."""
    turns = WriteTurns(SETTINGS, random.Random(seed))
    turns.peers = Peers(position)
    return turns.wait_s()


def simulate_writes(positions, seed):
    """Return how many hosts write, and when the first one does."""
    all_s = sorted(
        turn_s(position, seed * 1000 + n) for n, position in enumerate(positions)
    )
    first_s = all_s[0]
    return sum(at_s < first_s + READ_DELAY_S for at_s in all_s), first_s


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("gone_count", [0, 1, 5])
def test_one_of_the_hosts_that_know_each_other_writes(count, gone_count):
    """Several hosts wrote a record at once; the first ones may be gone or cut off."""
    positions = range(gone_count, count)
    for seed in range(RUN_COUNT):
        write_count, first_s = simulate_writes(positions, seed)
        assert write_count == 1
        assert first_s <= gone_count * SETTINGS.write_step_s


@pytest.mark.parametrize("count", COUNTS)
def test_few_of_the_isolated_hosts_write(count):
    """There were as many writes as hosts."""
    runs = [simulate_writes([None] * count, seed) for seed in range(RUN_COUNT)]
    assert sum(write_count for write_count, _ in runs) <= 1.15 * RUN_COUNT
    assert all(first_s <= SETTINGS.write_spread_s for _, first_s in runs)


def test_last_hosts_of_the_order_write_soon_when_all_before_them_are_gone():
    """A record waited for minutes, one step for each missing host."""
    for seed in range(RUN_COUNT):
        write_count, first_s = simulate_writes(range(150, 300), seed)
        assert write_count <= 3
        longest_s = SETTINGS.write_steps_limit * SETTINGS.write_step_s
        assert first_s <= longest_s + SETTINGS.write_spread_s
