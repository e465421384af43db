"""Tests of orders to all ranks of a group."""

import curio

from siskinthread.group_maps import (
    GroupMap,
    GroupMapSettings,
    GroupRanks,
    MapMeasures,
    Prepare,
)
from siskinthread.group_maps._orders import OrderResult
from siskinthread.group_maps.tests.virtual_time import run_in_virtual_time
from siskinthread.observability import Metrics

RANK_COUNT = 96
SETTINGS = GroupMapSettings(order_wait_s=0.1, send_rate_bytes_s=5_000_000.0)


class WaitingClient:
    """A rank that records the timeouts of its orders."""

    def __init__(self):
        self.waits_s = []

    async def order(self, order, wait_s):
        """Accept an order."""
        self.waits_s.append(wait_s)
        return OrderResult.TAKEN


def test_large_map_is_waited_for_as_long_as_the_link_takes():
    """Guards against timeouts shorter than the time to send a large map.

    A map of 20 KB takes 0.4 s to reach 96 ranks over a link of 40 Mbit/s.  With a
    timeout of 0.1 s for an order of any size, each order is sent again, which floods
    the link, and the change is never prepared.
    """
    ranks = [tuple(range(rank * 2, rank * 2 + 2)) for rank in range(RANK_COUNT)]
    group_map = GroupMap(2, [ranks] * 24, 2 * RANK_COUNT)
    clients = [WaitingClient() for _ in range(RANK_COUNT)]
    orders = dict.fromkeys(range(RANK_COUNT), Prepare(1, group_map))
    results = curio.run(GroupRanks(clients, SETTINGS).send_all, orders)
    assert set(results.values()) == {OrderResult.TAKEN}
    assert all(0.4 < wait_s < 1.0 for client in clients for wait_s in client.waits_s)


class LosingClient:
    """A rank that leaves its first orders unanswered.

    Parameters
    ----------
    lost : int
        Number of orders without a response.
    delay_s : float
        Overrun of the timeout of such an order, seconds.
    """

    def __init__(self, lost, delay_s=0.0):
        self.waits_s = []
        self._lost = lost
        self._delay_s = delay_s

    async def order(self, order, wait_s):
        """Accept an order, or let it time out."""
        self.waits_s.append(wait_s)
        if len(self.waits_s) > self._lost:
            return OrderResult.TAKEN
        await curio.sleep(wait_s + self._delay_s)
        return OrderResult.UNKNOWN


def test_repeated_large_order_waits_only_for_those_that_are_left():
    """Guards against changes that take seconds because one of 96 orders was lost."""
    group_map = GroupMap(2, [[(rank,) for rank in range(RANK_COUNT)]] * 24, RANK_COUNT)
    clients = [LosingClient(int(rank == 0)) for rank in range(RANK_COUNT)]
    metrics = Metrics()
    ranks = GroupRanks(clients, SETTINGS, measures=MapMeasures(metrics))
    orders = dict.fromkeys(range(RANK_COUNT), Prepare(1, group_map))
    curio.run(ranks.send_all, orders)
    first_s, second_s = clients[0].waits_s
    assert second_s < first_s < 1.0
    assert second_s < 2 * SETTINGS.least_order_wait_s
    assert (ranks.attempts.sent, ranks.attempts.retries) == (RANK_COUNT + 1, 1)
    page = metrics.render().decode()
    assert 'siskinthread_group_order_repeats_total{order="prepare"} 1.0' in page
    assert "siskinthread_group_order_response_seconds_count 96.0" in page


def test_delay_of_this_process_is_no_lost_order():
    """Guards against a busy host that retries orders too fast to be answered.

    The process is scheduled so late that a timeout expires before the order is sent,
    and the next attempt had the same short timeout.
    """

    async def main(clock, delay_s):
        client = LosingClient(2, delay_s)
        ranks = GroupRanks([client], SETTINGS, clock)
        ranks._timeouts.note_order(0, 0.005, 0.0)
        await ranks.send(0, object())
        return client.waits_s, ranks.attempts.unanswered

    least_s, longest_s = SETTINGS.least_order_wait_s, SETTINGS.order_wait_s
    delayed = run_in_virtual_time(main, 0.05)
    assert delayed == ([least_s, longest_s, longest_s], 0)
    assert run_in_virtual_time(main, 0.0) == ([least_s] * 3, 2)
