"""Which of many entries writes what the store lacks."""

import random

import pytest

from siskinthread.poison_requests import PoisonSettings, WriteTurns

SETTINGS = PoisonSettings()
# From a write until another entry has read of it.
READ_DELAY_S = 0.02
RUN_COUNT = 200
COUNTS = (6, 24, 99, 300)


class Peers:
    """Tells an entry its place in the order, or that it hears of no other."""

    def __init__(self, turn):
        self.turn = turn

    def hears_others(self):
        """Return whether this entry has a place."""
        return self.turn is not None

    def turn_of(self, name):
        """Return how many go before this one."""
        return self.turn


def turn_s(place, seed):
    """Return when an entry takes its turn."""
    turns = WriteTurns(SETTINGS, random.Random(seed))
    turns.peers = Peers(place)
    return turns.wait_s()


def writes_after(places, seed):
    """Return how many entries write, and when the first one does."""
    all_s = sorted(turn_s(place, seed * 1000 + n) for n, place in enumerate(places))
    first_s = all_s[0]
    return sum(at_s < first_s + READ_DELAY_S for at_s in all_s), first_s


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("gone_count", [0, 1, 5])
def test_one_of_the_entries_that_know_one_another_writes(count, gone_count):
    """Guards against bursts of writes; the first ones may be gone or cut off."""
    places = range(gone_count, count)
    for seed in range(RUN_COUNT):
        write_count, first_s = writes_after(places, seed)
        assert write_count == 1
        assert first_s <= gone_count * SETTINGS.write_step_s


@pytest.mark.parametrize("count", COUNTS)
def test_few_of_the_entries_that_hear_of_no_other_write(count):
    """Guards against as many writes as there are entries."""
    runs = [writes_after([None] * count, seed) for seed in range(RUN_COUNT)]
    assert sum(write_count for write_count, _ in runs) <= 1.15 * RUN_COUNT
    assert all(first_s <= SETTINGS.write_spread_s for _, first_s in runs)


def test_entries_far_behind_in_the_order_write_though_all_before_them_are_gone():
    """Guards against a record that waits for minutes, one step an entry."""
    for seed in range(RUN_COUNT):
        write_count, first_s = writes_after(range(150, 300), seed)
        assert write_count <= 3
        longest_s = SETTINGS.write_steps_limit * SETTINGS.write_step_s
        assert first_s <= longest_s + SETTINGS.write_spread_s
