"""A group that runs passes by the pass model, for replays of load.

Passes take real time, a fraction of that on real engines.  Ranks copy, prepare, arm and
hold like real ones, and a `PassClock` is notified of the end of each pass.
"""

import curio

from siskinthread.group_maps import OrderResult, RankCounts, relative_pass_time
from siskinthread.group_maps.tests.fake_group import FakeClient, FakeGroup
from siskinthread.timing import SYSTEM_CLOCK

PICKS_A_PASS = 1000


class ModelGroup(FakeGroup):
    """Ranks whose pass times follow from the map, the demand and the load.

    Parameters
    ----------
    holdings : list of list of tuple of int
        The first map.
    layout : ExpertLayout
        Pass model, and time of a copy.
    loads_by_set : list of list of float
        The demand; may be changed at any time.
    running : int
        Number of requests of each rank.
    pass_clock : PassClock
        Notified of each pass.

    Attributes
    ----------
    pass_times_s : list of float
        Time of each pass, seconds.
    """

    def __init__(self, holdings, layout, loads_by_set, running, pass_clock):
        super().__init__(len(holdings[0]), passes_per_order=0)
        self.holdings_by_version = {0: holdings}
        self.layout = layout
        self.loads_by_set = loads_by_set
        self.running = running
        self.pass_clock = pass_clock
        self.pass_times_s = []
        self.counts = [[0.0] * layout.expert_count for _ in range(layout.set_count)]
        self._copied_at_s = {}

    async def run_passes(self):
        """Run passes until cancelled."""
        while True:
            following = self.pass_number + 1
            if self.held_pass is not None and following >= self.held_pass:
                await curio.sleep(0.001)
                continue
            self.advance()
            pass_s = self._pass_s()
            await curio.sleep(pass_s)
            self.pass_times_s.append(pass_s)
            self.pass_clock.event_came(SYSTEM_CLOCK.monotonic_s())
            self._count()

    def _pass_s(self):
        version = self.ranks[0].version
        model = self.layout.model
        relative = relative_pass_time(
            self.holdings_by_version[version],
            self.loads_by_set,
            model.expert_share,
            [1.0] * len(self.ranks),
        )
        return model.even_pass_s(self.running) * relative

    def _count(self):
        for counts, loads in zip(self.counts, self.loads_by_set, strict=True):
            for expert, load in enumerate(loads):
                counts[expert] += load * PICKS_A_PASS

    def _prepare(self, number, order):
        rank = self.ranks[number]
        before = self.holdings_by_version[rank.version]
        is_new = rank.prepared != order.group_map.version
        accepted = super()._prepare(number, order)
        if accepted and is_new:
            after = order.group_map.holdings
            self.holdings_by_version[order.group_map.version] = after
            copies = sum(
                len(set(new[number]) - set(old[number]))
                for new, old in zip(after, before, strict=True)
            )
            copying_s = copies * self.layout.copy_s
            self._copied_at_s[number] = SYSTEM_CLOCK.monotonic_s() + copying_s
        return accepted

    def _arm(self, number, order):
        if SYSTEM_CLOCK.monotonic_s() < self._copied_at_s.get(number, 0.0):
            return False
        return super()._arm(number, order)

    def carry_out(self, number, order):
        """Carry out an order now; return an `OrderResult`."""
        name = f"_{type(order).__name__.lower()}"
        accepted = order.epoch == self.epoch and getattr(self, name)(number, order)
        return OrderResult.TAKEN if accepted else OrderResult.REFUSED


class ModelClient(FakeClient):
    """Client of one rank of a `ModelGroup`, as a controller uses it."""

    def __init__(self, group, number):
        super().__init__(group, number, None)

    async def counts(self, wait_s):
        """Return the counts of selected experts since the start."""
        group = self._group
        counts = [[round(one) for one in one_set] for one_set in group.counts]
        return RankCounts(group.epoch, group.pass_number, counts)

    async def held_experts(self, wait_s):
        """Return the experts of the map in force."""
        version = self._group.ranks[self._number].version
        self._holdings = self._group.holdings_by_version[version]
        return await super().held_experts(wait_s)
