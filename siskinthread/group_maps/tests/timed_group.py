"""A fake group whose passes and responses take time, for replays of lost orders."""

import math

import curio

from siskinthread.errors import TargetError
from siskinthread.group_maps import OrderResult
from siskinthread.group_maps._ranks import order_size_bytes
from siskinthread.group_maps.tests.fake_group import FakeClient, FakeGroup

# Range of round-trip times to ranks, shortest processing time of a rank, and mean of
# the additional time.
ROUND_TRIPS_S = (0.001, 0.012)
LEAST_WORK_S = 0.001
WORK_S = 0.002
# Range of the delay of an order without a response.
LATE_S = (2.0, 12.0)
HELD_LOOK_S = 0.001


class TimedGroup(FakeGroup):
    """Ranks that leave some orders unanswered and execute them late.

    Parameters
    ----------
    rank_count : int
        Number of ranks.
    pass_s : float
        Time of a pass, seconds.
    unanswered_share : float
        Fraction of the orders without a response.
    rng : random.Random
        Source of all random choices and times.
    clock : siskinthread.timing.Clock
        Clock for all times.

    Attributes
    ----------
    slowness : dict of int to float
        Factor on the processing time, by rank.
    dead : set of int
        Ranks that neither execute orders nor respond.
    order_count : int
        Number of attempts to send orders.
    longest_stall_s : float
        Longest time for which a held pass was due, seconds.
    unanswered_report_share : float
        Fraction of the reports without a response.
    report_count : int
        Number of attempts to read reports.
    link_rate_bytes_s : float
        Rate of the link that all orders share, bytes per second.
    is_running : bool
        Whether passes are running.
    switched_s : float or None
        When the first new map came into force, monotonic seconds.
    """

    def __init__(self, rank_count, pass_s, unanswered_share, rng, clock):
        super().__init__(rank_count, passes_per_order=0)
        self.pass_s = pass_s
        self.unanswered_share = unanswered_share
        self.rng = rng
        self.clock = clock
        self.slowness = {}
        self.dead = set()
        self.order_count = 0
        self.unanswered_report_share = 0.0
        self.report_count = 0
        self.longest_stall_s = 0.0
        self.switched_s = None
        self.link_rate_bytes_s = math.inf
        self._link_free_s = 0.0
        self.is_running = False

    async def run_passes(self):
        """Run passes until cancelled."""
        while True:
            due_s = self.clock.monotonic_s()
            before = self.pass_number
            self.advance()
            while self.pass_number == before:
                await curio.sleep(HELD_LOOK_S)
                self.advance()
                stall_s = self.clock.monotonic_s() - due_s
                self.longest_stall_s = max(self.longest_stall_s, stall_s)
            if self.switched_s is None and self.ranks[0].version:
                self.switched_s = self.clock.monotonic_s()
            await curio.sleep(self.pass_s)

    def sending_s(self, order):
        """Return the time until an order has been sent over the link, seconds."""
        now_s = self.clock.monotonic_s()
        order_s = order_size_bytes(order) / self.link_rate_bytes_s
        self._link_free_s = max(now_s, self._link_free_s) + order_s
        return self._link_free_s - now_s

    async def execute_late(self, number, order):
        """Execute an order after its sender has stopped waiting for the response."""
        await curio.sleep(self.rng.uniform(*LATE_S))
        self.carry_out(number, order)


class TimedClient(FakeClient):
    """Client of one rank of a `TimedGroup`, as a controller uses it.

    Attributes
    ----------
    round_trip_s : float
        Round-trip time to the rank, seconds.
    max_attempts : int
        Number of attempts of the order that was sent most often.
    """

    def __init__(self, group, number):
        super().__init__(group, number, None)
        self.round_trip_s = group.rng.uniform(*ROUND_TRIPS_S)
        self._is_connected = False
        self._last_order = None
        self._attempts = 0
        self.max_attempts = 0

    def _response_s(self):
        group = self._group
        round_trips = 1 if self._is_connected else 2
        work_s = LEAST_WORK_S + group.rng.expovariate(1.0 / WORK_S)
        slowness = group.slowness.get(self._number, 1.0)
        return self.round_trip_s * round_trips + work_s * slowness

    async def report(self, wait_s):
        """Return the report of the rank."""
        group = self._group
        group.report_count += 1
        response_s = self._response_s()
        is_unanswered = group.rng.random() < group.unanswered_report_share
        if self._number in group.dead or is_unanswered or response_s > wait_s:
            self._is_connected = False
            await curio.sleep(wait_s)
            raise TargetError("no answer in time")
        await curio.sleep(response_s)
        self._is_connected = True
        return await super().report(wait_s)

    async def order(self, order, wait_s):
        """Send an order once, and return its result if it arrives in time."""
        group = self._group
        group.order_count += 1
        self._attempts = self._attempts + 1 if order is self._last_order else 1
        self._last_order = order
        self.max_attempts = max(self.max_attempts, self._attempts)
        response_s = group.sending_s(order) + self._response_s()
        is_unanswered = group.rng.random() < group.unanswered_share
        self._is_connected = False
        if self._number in group.dead:
            await curio.sleep(wait_s)
            return OrderResult.UNKNOWN
        if is_unanswered:
            await curio.spawn(group.execute_late, self._number, order, daemon=True)
            await curio.sleep(wait_s)
            return OrderResult.UNKNOWN
        if response_s > wait_s:
            await curio.spawn(self._execute_after, response_s / 2, order, daemon=True)
            await curio.sleep(wait_s)
            return OrderResult.UNKNOWN
        await curio.sleep(response_s / 2)
        result = group.carry_out(self._number, order)
        await curio.sleep(response_s / 2)
        self._is_connected = True
        return result

    async def _execute_after(self, wait_s, order):
        await curio.sleep(wait_s)
        self._group.carry_out(self._number, order)
