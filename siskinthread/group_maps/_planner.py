"""Planner for the next small change of a group's expert map.

Demand shifts every few seconds, and copying experts slows the group's passes, so a
large change comes too late.  Each plan therefore copies a few experts per rank, where
they reduce the pass time most, and the next plan continues from there.
"""

import itertools

from siskinthread.group_maps._layout import GroupMap, relative_pass_time

# Exponent of the norm that approximates the load of the most loaded rank. The maximum
# itself has plateaus: with two equally hot ranks, relieving one of them shows no gain.
NORM_EXPONENT = 8
# Numbers of candidates that are evaluated for each step, from the hottest experts and
# the coolest ranks on.
EXPERT_CANDIDATES = 3
RANK_CANDIDATES = 4
EVICTION_CANDIDATES = 2


class Plan:
    """A new map and its predicted effect.

    Parameters
    ----------
    group_map : GroupMap
        The new map.
    copies : int
        Largest number of experts that a rank has to copy for the map.
    time_before, time_after : float
        Predicted time of a pass before and after the change, relative to evenly loaded
        ranks.
    """

    __slots__ = ("copies", "group_map", "time_after", "time_before")

    def __init__(self, group_map, copies, time_before, time_after):
        self.group_map = group_map
        self.copies = copies
        self.time_before = time_before
        self.time_after = time_after

    @property
    def gain(self):
        """Fraction of the pass time that the plan saves."""
        return 1 - self.time_after / self.time_before


def plan_changes(*arguments):
    """Return a `Plan` for each number of copies; each extends the previous one.

    Takes the parameters of `search_plans`.
    """
    search = search_plans(*arguments)
    return [plan for plan in search if plan is not None]


def search_plans(
    group_map, loads_by_set, slowness, layout, settings, version, non_expert_work=None
):
    """Yield a `Plan` for each number of copies, and None after each unit of work.

    Parameters
    ----------
    group_map : GroupMap
        The map in force.
    loads_by_set : list of list of float
        Load of each expert by set.
    slowness : list of float
        Time of each rank for the same work, relative to normal speed.  A slow rank
        delays all others, so it gets less work.
    layout : ExpertLayout
        Shape of the maps.
    settings : GroupMapSettings
        Limit of copies, and least gain of a step.
    version : int
        Version of the new map; the same for all plans.
    non_expert_work : list of float, optional
        See `relative_pass_time`.

    Notes
    -----
    The units of work let the caller yield to other tasks.  A step evaluates the ranks
    that it changes and the one set that the previous step has changed: with R ranks, P
    experts per rank and C candidates a step takes R log R + C P, and there are up to R
    steps for each number of copies.
    """
    rank_count = len(group_map.holdings[0])
    searches = [
        _SetSearch([set(rank) for rank in ranks], loads, slowness, layout)
        for ranks, loads in zip(group_map.holdings, loads_by_set, strict=True)
    ]
    share = layout.model.expert_share
    time_before = relative_pass_time(
        group_map.holdings, loads_by_set, share, slowness, non_expert_work
    )
    copies_left = [0] * rank_count
    for copies in range(1, settings.copies_limit + 1):
        copies_left = [left + 1 for left in copies_left]
        has_step = False
        for search in _apply_steps(searches, copies_left, settings):
            has_step = has_step or search is not None
            yield None
        if not has_step:
            return
        holdings = [
            [tuple(sorted(rank)) for rank in search.ranks] for search in searches
        ]
        time_after = relative_pass_time(
            holdings, loads_by_set, share, slowness, non_expert_work
        )
        new_map = GroupMap(version, holdings, layout.expert_count)
        yield Plan(new_map, copies, time_before, time_after)


def _apply_steps(searches, copies_left, settings):
    """Apply the best step, as long as there is one with a sufficient gain.

    Yields the `_SetSearch` whose step was applied, and None for each set that was
    searched.
    """
    steps = {}
    for search in searches:
        steps[search] = search.best_step(copies_left)
        yield None
    while True:
        best = max(steps.values(), key=_gain)
        if best.gain <= settings.least_step_gain:
            return
        best.search.apply(best)
        steps[best.search] = best.search.best_step(copies_left)
        yield best.search
        if best.receiver is None:
            continue
        copies_left[best.receiver] -= 1
        if copies_left[best.receiver] > 0:
            continue
        for search, step in steps.items():
            if step.receiver == best.receiver:
                steps[search] = search.best_step(copies_left)
                yield None


def _gain(step):
    return step.gain


class _Step:
    """One expert that is added to a rank, removed from a rank, or moved.

    Parameters
    ----------
    search : _SetSearch
        Search of the set that the step belongs to.
    gain : float
        Reduction of the norm of the rank times of the set.
    expert : int or None
        The expert; None in a step without effect.
    receiver : int or None
        The rank that the expert is added to.
    evicted : int or None
        The expert that this rank drops in exchange.
    donor : int or None
        The rank that the expert is removed from.
    """

    __slots__ = ("evicted", "expert", "gain", "donor", "search", "receiver")

    def __init__(
        self, search, gain, expert=None, receiver=None, evicted=None, donor=None
    ):
        self.search = search
        self.gain = gain
        self.expert = expert
        self.receiver = receiver
        self.evicted = evicted
        self.donor = donor


class _SetSearch:
    """Search for steps within one set.

    Parameters
    ----------
    ranks : list of set of int
        Experts of each rank; changed by `apply`.
    loads : list of float
        Load of each expert.
    slowness : list of float
        Time of each rank for the same work, relative to normal speed.
    layout : ExpertLayout
        Shape of the maps.
    """

    __slots__ = (
        "_added",
        "_holders",
        "_layout",
        "_loads",
        "_slowness",
        "_times",
        "ranks",
    )

    def __init__(self, ranks, loads, slowness, layout):
        self.ranks = ranks
        self._slowness = slowness
        total = sum(loads) or 1.0
        # Loads are relative to the mean load of a rank, so that sets can be compared.
        self._loads = [load * len(ranks) / total for load in loads]
        self._layout = layout
        # Number of experts added to each rank, which is limited for one change.
        self._added = [0] * len(ranks)
        self._holders = [set() for _ in loads]
        for rank, experts in enumerate(ranks):
            for expert in experts:
                self._holders[expert].add(rank)
        # Time of each rank, relative to an evenly loaded rank.
        self._times = [
            slow * sum(self._load_per_holder(expert) for expert in experts)
            for slow, experts in zip(slowness, ranks, strict=True)
        ]

    def apply(self, step):
        """Apply a step to the map."""
        for rank, change in self._changes(step).items():
            self._times[rank] += change
        if step.evicted is not None:
            self._drop(step.evicted, step.receiver)
        if step.receiver is not None:
            self.ranks[step.receiver].add(step.expert)
            self._holders[step.expert].add(step.receiver)
            self._added[step.receiver] += 1
        if step.donor is not None:
            self._drop(step.expert, step.donor)

    def best_step(self, copies_left):
        """Return the step with the largest gain, or one of gain 0 if none helps."""
        times = self._times
        hottest = max(range(len(times)), key=times.__getitem__)
        receivers = [
            rank
            for rank, left in enumerate(copies_left)
            if left > 0 and self._added[rank] < self._layout.spare_count
        ]
        receivers.sort(key=times.__getitem__)
        sum_before = sum(time**NORM_EXPONENT for time in times)
        norm_before = sum_before ** (1 / NORM_EXPONENT)
        best = _Step(self, 0.0)
        experts = sorted(self.ranks[hottest], key=self._load_per_holder, reverse=True)
        for expert in experts[:EXPERT_CANDIDATES]:
            for step in self._steps(expert, hottest, receivers):
                sum_after = sum_before
                for rank, change in self._changes(step).items():
                    sum_after += (times[rank] + change) ** NORM_EXPONENT - times[
                        rank
                    ] ** NORM_EXPONENT
                step.gain = norm_before - max(0.0, sum_after) ** (1 / NORM_EXPONENT)
                if step.gain > best.gain:
                    best = step
        return best

    def _steps(self, expert, hottest, receivers):
        """Yield the steps that may reduce the hottest rank's load from an expert.

        A slow rank is relieved only by removing experts, since it still does its share
        of replicated experts.  With a rank that took 12 times as long, adding replicas
        alone left passes at 5 times the time of an even pass after six changes.
        """
        holders = self._holders[expert]
        if len(holders) > 1:
            yield _Step(self, 0.0, expert, donor=hottest)
        coolest = itertools.islice(
            (rank for rank in receivers if rank not in holders), RANK_CANDIDATES
        )
        for receiver in coolest:
            for evicted in self._evictions(receiver):
                yield _Step(self, 0.0, expert, receiver, evicted)
                yield _Step(self, 0.0, expert, receiver, evicted, hottest)

    def _evictions(self, rank):
        """Return the experts that a rank may drop for a new one; None for no drop."""
        held = self.ranks[rank]
        if len(held) < self._layout.place_count:
            return [None]
        spare = [expert for expert in held if len(self._holders[expert]) > 1]
        spare.sort(key=self._loads.__getitem__)
        return spare[:EVICTION_CANDIDATES]

    def _changes(self, step):
        """Return the changes of rank times that a step causes, by rank."""
        changes = {}
        self._redistribute(changes, step.expert, step.receiver, step.donor)
        if step.evicted is not None:
            self._redistribute(changes, step.evicted, None, step.receiver)
        return changes

    def _redistribute(self, changes, expert, joining, leaving):
        """Add the changes of rank times when ranks start or stop holding an expert."""
        slowness = self._slowness
        holders = self._holders[expert]
        part = self._load_per_holder(expert)
        count = len(holders) + (joining is not None) - (leaving is not None)
        new_part = self._loads[expert] / count
        for rank in holders:
            change = -part if rank == leaving else new_part - part
            changes[rank] = changes.get(rank, 0.0) + change * slowness[rank]
        if joining is not None:
            change = new_part * slowness[joining]
            changes[joining] = changes.get(joining, 0.0) + change

    def _load_per_holder(self, expert):
        """Return the load that an expert puts on each of its holders."""
        return self._loads[expert] / len(self._holders[expert])

    def _drop(self, expert, rank):
        self.ranks[rank].discard(expert)
        self._holders[expert].discard(rank)
