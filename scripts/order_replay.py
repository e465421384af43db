"""Replay map changes of groups whose ranks leave a part of the orders unanswered.

Time is virtual, so that a change takes a few milliseconds of processor time and the
result depends only on the seed.  For each size of a group and time of a pass it prints
the results, the longest stall of the group in a change, the time of a change and the
number of orders sent.
"""

import argparse
import random
import statistics

import curio

from siskinthread.group_maps import (
    ChangeResult,
    ExpertLayout,
    GroupMap,
    GroupMapSettings,
    GroupRanks,
    MapChange,
    PassEstimate,
    PassModel,
    planned_version,
)
from siskinthread.group_maps.tests.timed_group import TimedClient, TimedGroup
from siskinthread.group_maps.tests.virtual_time import run_in_virtual_time

PERMITTED_PAUSE_S = 0.12
SIZES = (15, 24, 32, 96)
PASSES_S = (0.03, 0.05, 0.1)
COPY_S = 0.2
REPORT_LAG_S = 0.2
# Time after which late orders have been executed; none of them may mix a pass.
LATEST_S = 13.0
EXPERTS_A_RANK = 2
# Most attempts to finish or undo a change until the group is no longer held.
SETTLING_LIMIT = 30


class Replay:
    """Group and a controller that changes its map.

    Parameters
    ----------
    clock : siskinthread.timing.ManualClock
        Virtual clock.
    size : int
        Number of ranks.
    pass_s : float
        Time of a pass, seconds.
    share : float
        Share of the orders that is not answered.
    seed : int
        Seed of all random times and faults.
    settings : GroupMapSettings
        Settings with the waits.
    set_count : int
        Number of expert sets; more sets make the orders to prepare larger.

    Attributes
    ----------
    group : TimedGroup
        The group.
    clients : list of TimedClient
        The controller's clients of the ranks.
    ranks : GroupRanks
        All ranks of the group, through these clients.
    """

    __slots__ = (
        "_clock",
        "_change",
        "_known_version",
        "_passes",
        "_running",
        "_set_count",
        "_settings",
        "clients",
        "group",
        "ranks",
    )

    def __init__(self, clock, size, pass_s, share, seed, settings, set_count=1):
        self._set_count = set_count
        group = TimedGroup(size, pass_s, share, random.Random(seed), clock)
        self._build(clock, group, settings, 0)

    def other_controller(self):
        """Return a second controller of the same group."""
        other = Replay.__new__(Replay)
        other._set_count = self._set_count
        other._build(self._clock, self.group, self._settings, 1_000)
        return other

    def _build(self, clock, group, settings, known_version):
        self._clock = clock
        self._settings = settings
        self._known_version = known_version
        self._running = None
        self.group = group
        size = len(group.ranks)
        self.clients = [TimedClient(group, number) for number in range(size)]
        try:
            self.ranks = GroupRanks(self.clients, settings, clock)
        except TypeError:
            # A revision whose `GroupRanks` has no measured time-outs takes no clock.
            self.ranks = GroupRanks(self.clients, settings)
        model = PassModel(0.85, 0.03, 0.005)
        layout = ExpertLayout(
            self._set_count, size * EXPERTS_A_RANK, 4, 1, model, COPY_S, REPORT_LAG_S
        )
        self._change = MapChange(self.ranks, layout, settings, clock)
        self._passes = PassEstimate(clock)

    async def change(self, disturb=None):
        """Change the map once, after some passes; return the `ChangeResult`.

        Parameters
        ----------
        disturb : callable, optional
            ``async disturb(replay)``, which runs concurrently with the change.
        """
        await self.begin()
        return await self.change_now(disturb)

    async def change_now(self, disturb=None):
        """Change the map once; see `change` for the parameter."""
        disturbing = None
        if disturb is not None:
            disturbing = await curio.spawn(disturb, self, daemon=True)
        old_map, new_map = self._maps()
        result = await self._change.run(1, old_map, new_map, self._passes)
        if disturbing is not None:
            await disturbing.join()
        return result

    async def begin(self):
        """Start the group's passes, and estimate its present pass."""
        if self._running is None and not self.group.is_running:
            self.group.is_running = True
            self._running = await curio.spawn(self.group.run_passes, daemon=True)
            first_s = self.group.rng.uniform(1.0, 1.0 + self.group.pass_s)
            await curio.sleep(first_s)
        reports = await self.ranks.reports()
        self._passes.note(reports[0].pass_number, 0.0)
        await curio.sleep(0.3)
        self._passes.note(self.group.pass_number, 0.0)

    async def settle(self):
        """Finish or undo an unfinished change, and wait for late orders."""
        old_map, _ = self._maps()
        for wait_s in (0.0, LATEST_S, 0.0):
            await curio.sleep(wait_s)
            for _ in range(SETTLING_LIMIT):
                if await self._change.finish_or_undo(old_map):
                    break

    def _maps(self):
        """Return the map in force and the next map, which adds an expert to rank 0."""
        size = len(self.group.ranks)
        count = size * EXPERTS_A_RANK
        first = [
            tuple(range(rank * EXPERTS_A_RANK, (rank + 1) * EXPERTS_A_RANK))
            for rank in range(size)
        ]
        second = [(*first[0], count - 1), *first[1:]]
        self._known_version = planned_version(self._known_version, 1)
        sets = self._set_count
        old_map = GroupMap(self.group.ranks[0].version, [first] * sets, count)
        holdings = [second, *[first] * (sets - 1)]
        return old_map, GroupMap(self._known_version, holdings, count)


async def play(clock, size, pass_s, share, seed, settings):
    """Change the map of a group once.

    Returns
    -------
    tuple
        Result; longest stall, time of the change and time until its map is in force,
        seconds; number of orders sent.
    """
    replay = Replay(clock, size, pass_s, share, seed, settings)
    group = replay.group
    await replay.begin()
    began_s = clock.monotonic_s()
    result = await replay.change_now()
    took_s = clock.monotonic_s() - began_s
    orders = group.order_count
    await replay.settle()
    if group.mixed_passes:
        raise AssertionError(f"passes are mixed: {group.mixed_passes}")
    force_s = LATEST_S if group.switched_s is None else group.switched_s - began_s
    return result, group.longest_stall_s, took_s, force_s, orders


def main():
    """Print a line for each case."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--share", type=float, default=0.5, help="unanswered orders")
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--passes", type=float, nargs="+", default=PASSES_S)
    parser.add_argument("--set", nargs="*", default=[], help="settings, name=value")
    options = parser.parse_args()
    changes = dict(one.split("=") for one in options.set)
    settings = GroupMapSettings(**{name: float(one) for name, one in changes.items()})
    for size in options.sizes:
        for pass_s in options.passes:
            runs = [
                run_in_virtual_time(play, size, pass_s, options.share, seed, settings)
                for seed in range(options.seeds)
            ]
            print_case(size, pass_s, runs)


def print_case(size, pass_s, runs):
    """Print the figures of one case."""
    results, stalls_s, times_s, forces_s, orders = zip(*runs, strict=True)
    in_force = results.count(ChangeResult.IN_FORCE)
    within = sum(stall_s <= PERMITTED_PAUSE_S for stall_s in stalls_s)
    print(
        f"{size:3} ranks, passes {pass_s:.2f} s: in force {in_force}/{len(runs)},"
        f" stall within {PERMITTED_PAUSE_S:g} s {within}/{len(runs)},"
        f" stall mean {statistics.mean(stalls_s):.3f} s most {max(stalls_s):.3f} s,"
        f" change mean {statistics.mean(times_s):.3f} s most {max(times_s):.3f} s,"
        f" map in force after median {statistics.median(forces_s):.3f} s,"
        f" orders {statistics.mean(orders):.0f}",
        flush=True,
    )


if __name__ == "__main__":
    main()
