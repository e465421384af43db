"""Plans the next small change of a group's expert map.

Demand moves on every few seconds, and copying experts slows the group's passes.  A
change that copies much comes too late; so each plan copies a few experts a rank, where
they relieve the group most, and the next plan goes on from there.
"""

import itertools

from siskinthread.group_maps._layout import GroupMap, relative_pass_time

# Exponent of the norm that stands for the most loaded rank.  The plain maximum has
# plateaus: with two ranks equally hot, relieving one of them shows no gain.
NORM = 8
# Candidates that are looked at for each step; hotter experts and cooler ranks first.
EXPERT_CANDIDATES = 3
RANK_CANDIDATES = 4
EVICTION_CANDIDATES = 2


class Plan:
    """A map to go to, and what it promises.

    Parameters
    ----------
    group_map : GroupMap
        The new map.
    copies : int
        Most experts that a rank has to copy for it.
    time_before, time_after : float
        Time of a pass relative to evenly loaded ranks.
    """

    __slots__ = ("copies", "group_map", "time_after", "time_before")

    def __init__(self, group_map, copies, time_before, time_after):
        self.group_map = group_map
        self.copies = copies
        self.time_before = time_before
        self.time_after = time_after

    @property
    def gain(self):
        """Part of the time of a pass that is saved."""
        return 1 - self.time_after / self.time_before


def plan_changes(*arguments):
    """Return a `Plan` for each number of copies, each going on from the one before.

    Takes the parameters of `search_plans`.
    """
    search = search_plans(*arguments)
    return [plan for plan in search if plan is not None]


def search_plans(
    group_map, loads_by_set, slowness, layout, settings, version, own_work=None
):
    """Yield a `Plan` for each number of copies, and None after each piece of work.

    Parameters
    ----------
    group_map : GroupMap
        The map in force.
    loads_by_set : list of list of float
        Load of each expert by set.
    slowness : list of float
        Time of each rank for the same work, relative to the usual.  A slow rank holds
        all others back; it gets less to do.
    layout : ExpertLayout
        Shape of the maps.
    settings : GroupMapSettings
        How much one change may copy.
    version : int
        Version of the new map, whichever is chosen.
    own_work : list of float, optional
        See `relative_pass_time`.

    Notes
    -----
    Pieces of work let the caller attend to requests in between.  A step looks at the
    ranks that it changes and at the one set that the step before has changed: with
    ranks R, experts of a rank P and C candidates a step takes R log R + C P, and there
    are up to R steps for each number of copies.
    """
    rank_count = len(group_map.holdings[0])
    searches = [
        _SetSearch([set(rank) for rank in ranks], loads, slowness, layout)
        for ranks, loads in zip(group_map.holdings, loads_by_set, strict=True)
    ]
    share = layout.model.expert_share
    time_before = relative_pass_time(
        group_map.holdings, loads_by_set, share, slowness, own_work
    )
    copies_left = [0] * rank_count
    for copies in range(1, settings.copies_limit + 1):
        copies_left = [left + 1 for left in copies_left]
        is_any_taken = False
        for search in _take_steps(searches, copies_left, settings):
            is_any_taken = is_any_taken or search is not None
            yield None
        if not is_any_taken:
            return
        holdings = [
            [tuple(sorted(rank)) for rank in search.ranks] for search in searches
        ]
        time_after = relative_pass_time(
            holdings, loads_by_set, share, slowness, own_work
        )
        new_map = GroupMap(version, holdings, layout.expert_count)
        yield Plan(new_map, copies, time_before, time_after)


def _take_steps(searches, copies_left, settings):
    """Take the best steps while any helps.

    Yields the `_SetSearch` that took a step, and None for each one that was searched.
    """
    steps = {}
    for search in searches:
        steps[search] = search.best_step(copies_left)
        yield None
    while True:
        best = max(steps.values(), key=_gain)
        if best.gain <= settings.least_step_gain:
            return
        best.search.take(best)
        steps[best.search] = best.search.best_step(copies_left)
        yield best.search
        if best.taker is None:
            continue
        copies_left[best.taker] -= 1
        if copies_left[best.taker] > 0:
            continue
        for search, step in steps.items():
            if step.taker == best.taker:
                steps[search] = search.best_step(copies_left)
                yield None


def _gain(step):
    return step.gain


class _Step:
    """One expert that is added to a rank, taken from one, or moved.

    Parameters
    ----------
    search : _SetSearch
        Its set.
    gain : float
        By how much it relieves the set.
    expert : int or None
        The expert.
    taker : int or None
        The rank that begins to hold it.
    evicted : int or None
        The expert that the taker gives up for it.
    giver : int or None
        The rank that gives it up.
    """

    __slots__ = ("evicted", "expert", "gain", "giver", "search", "taker")

    def __init__(self, search, gain, expert=None, taker=None, evicted=None, giver=None):
        self.search = search
        self.gain = gain
        self.expert = expert
        self.taker = taker
        self.evicted = evicted
        self.giver = giver


class _SetSearch:
    """Search within one set.

    Parameters
    ----------
    ranks : list of set of int
        Experts of each rank; changed by `take`.
    loads : list of float
        Load of each expert.
    slowness : list of float
        Time of each rank for the same work, relative to the usual.
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
        # Relative to the mean load of a rank, so that sets can be compared.
        self._loads = [load * len(ranks) / total for load in loads]
        self._layout = layout
        # Experts that each rank has taken; a change may bring it a few only.
        self._added = [0] * len(ranks)
        self._holders = [set() for _ in loads]
        for rank, experts in enumerate(ranks):
            for expert in experts:
                self._holders[expert].add(rank)
        # Time that each rank takes, relative to an even one.
        self._times = [
            slow * sum(self._part(expert) for expert in experts)
            for slow, experts in zip(slowness, ranks, strict=True)
        ]

    def take(self, step):
        """Put a step into the map."""
        for rank, change in self._changes(step).items():
            self._times[rank] += change
        if step.evicted is not None:
            self._drop(step.evicted, step.taker)
        if step.taker is not None:
            self.ranks[step.taker].add(step.expert)
            self._holders[step.expert].add(step.taker)
            self._added[step.taker] += 1
        if step.giver is not None:
            self._drop(step.expert, step.giver)

    def best_step(self, copies_left):
        """Return the step that relieves the set most, of gain 0 if none does."""
        times = self._times
        hottest = max(range(len(times)), key=times.__getitem__)
        takers = [
            rank
            for rank, left in enumerate(copies_left)
            if left > 0 and self._added[rank] < self._layout.spare_count
        ]
        takers.sort(key=times.__getitem__)
        sum_before = sum(time**NORM for time in times)
        norm_before = sum_before ** (1 / NORM)
        best = _Step(self, 0.0)
        experts = sorted(self.ranks[hottest], key=self._part, reverse=True)
        for expert in experts[:EXPERT_CANDIDATES]:
            for step in self._steps(expert, hottest, takers):
                sum_after = sum_before
                for rank, change in self._changes(step).items():
                    sum_after += (times[rank] + change) ** NORM - times[rank] ** NORM
                step.gain = norm_before - max(0.0, sum_after) ** (1 / NORM)
                if step.gain > best.gain:
                    best = step
        return best

    def _steps(self, expert, hottest, takers):
        """Yield the steps that may relieve the hottest rank of an expert.

        A slow rank is relieved only by taking experts from it: what it shares with
        others it still does its part of.  With a rank that took 12 times as long,
        adding replicas alone left passes at 5 times an even one after six changes.
        """
        holders = self._holders[expert]
        if len(holders) > 1:
            yield _Step(self, 0.0, expert, giver=hottest)
        coolest = itertools.islice(
            (rank for rank in takers if rank not in holders), RANK_CANDIDATES
        )
        for taker in coolest:
            for evicted in self._evictions(taker):
                yield _Step(self, 0.0, expert, taker, evicted)
                yield _Step(self, 0.0, expert, taker, evicted, hottest)

    def _evictions(self, rank):
        """Return what a rank may give up for one more expert; None for nothing."""
        held = self.ranks[rank]
        if len(held) < self._layout.place_count:
            return [None]
        spare = [expert for expert in held if len(self._holders[expert]) > 1]
        spare.sort(key=self._loads.__getitem__)
        return spare[:EVICTION_CANDIDATES]

    def _changes(self, step):
        """Return by how much a step changes the time of each rank that it concerns."""
        changes = {}
        self._share_anew(changes, step.expert, step.taker, step.giver)
        if step.evicted is not None:
            self._share_anew(changes, step.evicted, None, step.taker)
        return changes

    def _share_anew(self, changes, expert, joining, leaving):
        """Add the changes of a rank that begins or ceases to hold an expert."""
        slowness = self._slowness
        holders = self._holders[expert]
        part = self._part(expert)
        count = len(holders) + (joining is not None) - (leaving is not None)
        new_part = self._loads[expert] / count
        for rank in holders:
            change = -part if rank == leaving else new_part - part
            changes[rank] = changes.get(rank, 0.0) + change * slowness[rank]
        if joining is not None:
            change = new_part * slowness[joining]
            changes[joining] = changes.get(joining, 0.0) + change

    def _part(self, expert):
        """Return the load that each holder of an expert has of it."""
        return self._loads[expert] / len(self._holders[expert])

    def _drop(self, expert, rank):
        self.ranks[rank].discard(expert)
        self._holders[expert].discard(rank)
