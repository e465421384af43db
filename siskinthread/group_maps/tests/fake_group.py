"""An in-memory group of ranks, with faults injected at chosen orders."""

import enum

from siskinthread.errors import TargetError
from siskinthread.group_maps import (
    Arm,
    ArmedMap,
    Disarm,
    HeldExperts,
    Hold,
    OrderResult,
    Prepare,
    RankReport,
    Release,
)


class Fault(enum.Enum):
    """Faults of an order."""

    # The order is lost.
    LOST = "lost"
    # The order is carried out, and the response is lost.
    UNANSWERED = "unanswered"
    # There is no response, and the order is carried out `LATE_ORDERS` orders later.
    LATE = "late"
    # The controller stops before the order is sent.
    CRASH = "crash"
    # The controller pauses before the order is sent, while another one recovers the
    # group; then it continues.
    PAUSE = "pause"


LATE_ORDERS = 5


class ControllerCrashError(Exception):
    """Stops a controller at a chosen order."""


class FakeRank:
    """State of one rank."""

    def __init__(self):
        self.version = 0
        self.prepared = None
        # Number of the order, counted over all ranks, from which the map is copied.
        self.copied_at_order = 0
        self.highest = 0
        self.armed = None


class FakeGroup:
    """Ranks that carry out orders like model servers.

    Parameters
    ----------
    rank_count : int
        Number of ranks.
    faults : dict of int to Fault
        Faults by number of the order, counted over all ranks.
    passes_per_order : int
        Passes that the group starts, unless held, before each order.
    copying_orders : int
        Number of orders, to any rank, until a rank has copied a prepared map.
    first_holdings : list of list of tuple of int
        The first map, which needs no copies.
    """

    def __init__(
        self,
        rank_count,
        faults=None,
        passes_per_order=1,
        copying_orders=0,
        first_holdings=None,
    ):
        self.copying_orders = copying_orders
        self.first_holdings = first_holdings
        self.ranks = [FakeRank() for _ in range(rank_count)]
        self.faults = faults or {}
        self.passes_per_order = passes_per_order
        self.epoch = 1
        self.running = 0
        self.pass_number = 10
        self.held_pass = None
        self.event_count = 0
        self.late = []
        self.mixed_passes = []
        self.on_pause = None
        self.orders = []

    def advance(self):
        """Start the next pass unless it is held."""
        following = self.pass_number + 1
        if self.held_pass is not None and following >= self.held_pass:
            return
        self.pass_number = following
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == following:
                rank.version = rank.armed[0]
                rank.armed = None
        if len({rank.version for rank in self.ranks}) > 1:
            self.mixed_passes.append(following)

    async def deliver(self, number, order):
        """Receive an order with its fault, if any; return an `OrderResult`."""
        event = self.event_count
        self.event_count += 1
        fault = self.faults.get(event)
        if fault is Fault.CRASH:
            raise ControllerCrashError
        if fault is Fault.PAUSE and self.on_pause is not None:
            await self.on_pause()
        for _ in range(self.passes_per_order):
            self.advance()
        self._carry_out_late()
        if fault is Fault.LOST:
            return OrderResult.UNKNOWN
        if fault is Fault.LATE:
            self.late.append((event + LATE_ORDERS, number, order))
            return OrderResult.UNKNOWN
        result = self.carry_out(number, order)
        return OrderResult.UNKNOWN if fault is Fault.UNANSWERED else result

    def carry_out(self, number, order):
        """Carry out an order now; return an `OrderResult`."""
        self.orders.append((number, order))
        if order.epoch != self.epoch:
            return OrderResult.REFUSED
        accepted = _CARRY_OUT[type(order)](self, number, order)
        return OrderResult.TAKEN if accepted else OrderResult.REFUSED

    def prepared_version(self, rank):
        """Return the version that a rank has copied, or None."""
        is_copied = self.event_count >= rank.copied_at_order
        return rank.prepared if is_copied else None

    def _carry_out_late(self):
        due = [one for one in self.late if one[0] <= self.event_count]
        self.late = [one for one in self.late if one[0] > self.event_count]
        for _, number, order in due:
            self.carry_out(number, order)

    def _prepare(self, number, order):
        rank = self.ranks[number]
        version = order.group_map.version
        if rank.prepared == version:
            return True
        if version <= rank.highest or rank.armed is not None:
            return False
        rank.highest = rank.prepared = version
        rank.copied_at_order = self.event_count
        if order.group_map.holdings != self.first_holdings:
            rank.copied_at_order += self.copying_orders
        return True

    def _arm(self, number, order):
        rank = self.ranks[number]
        if rank.armed == (order.version, order.pass_number):
            return True
        if rank.armed is not None or rank.prepared != order.version:
            return False
        if self.event_count < rank.copied_at_order:
            return False
        if order.pass_number <= self.pass_number:
            return False
        rank.armed = (order.version, order.pass_number)
        return True

    def _disarm(self, number, order):
        rank = self.ranks[number]
        if rank.version == order.version:
            return False
        if rank.armed is not None and rank.armed[0] == order.version:
            rank.armed = None
        return True

    def _hold(self, number, order):
        if self.held_pass == order.pass_number:
            return True
        if self.held_pass is not None or order.pass_number <= self.pass_number:
            return False
        self.held_pass = order.pass_number
        return True

    def _release(self, number, order):
        if self.held_pass == order.pass_number:
            self.held_pass = None
        return True


_CARRY_OUT = {
    Prepare: FakeGroup._prepare,
    Arm: FakeGroup._arm,
    Disarm: FakeGroup._disarm,
    Hold: FakeGroup._hold,
    Release: FakeGroup._release,
}


class FakeClient:
    """Client of one rank, as a controller uses it."""

    def __init__(self, group, number, holdings):
        self._group = group
        self._number = number
        self._holdings = holdings

    async def report(self, wait_s):
        """Return the report of the rank, without the lag of a real one."""
        group, rank = self._group, self._group.ranks[self._number]
        if group.faults.get("silent") == self._number:
            raise TargetError("silent")
        return RankReport(
            "g",
            group.epoch,
            self._number,
            len(group.ranks),
            True,
            group.pass_number,
            rank.version,
            group.prepared_version(rank),
            None if rank.armed is None else ArmedMap(*rank.armed),
            group.held_pass if self._number == 0 else None,
            running=group.running,
        )

    async def held_experts(self, wait_s):
        """Return the experts of the first map."""
        version = self._group.ranks[self._number].version
        mine = [ranks[self._number] for ranks in self._holdings]
        return HeldExperts(self._group.epoch, version, mine)

    async def order(self, order, wait_s):
        """Send an order."""
        return await self._group.deliver(self._number, order)
