"""Plans the next small change of a group's expert map.

Demand moves on every few seconds, and copying experts slows the group's passes.  A
change that copies much comes too late; so each plan copies a few experts a rank, where
they relieve the group most, and the next plan goes on from there.
"""

from siskinthread.group_maps._layout import (
    GroupMap,
    rank_loads,
    relative_pass_time,
    replica_counts,
)

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


def plan_changes(group_map, loads_by_set, slowness, layout, settings, version):
    """Return a `Plan` for each number of copies, each going on from the one before.

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
    """
    rank_count = len(group_map.holdings[0])
    copies_left = [0] * rank_count
    searches = [
        _SetSearch([set(rank) for rank in ranks], loads, slowness, layout)
        for ranks, loads in zip(group_map.holdings, loads_by_set, strict=True)
    ]
    share = layout.model.expert_share
    time_before = relative_pass_time(group_map.holdings, loads_by_set, share, slowness)
    plans = []
    for copies in range(1, settings.copies_limit + 1):
        copies_left = [left + 1 for left in copies_left]
        if not _take_steps(searches, copies_left, settings):
            break
        holdings = [
            [tuple(sorted(rank)) for rank in search.ranks] for search in searches
        ]
        time_after = relative_pass_time(holdings, loads_by_set, share, slowness)
        new_map = GroupMap(version, holdings, layout.expert_count)
        plans.append(Plan(new_map, copies, time_before, time_after))
    return plans


def _take_steps(searches, copies_left, settings):
    """Take the best steps while any helps; return whether one was taken."""
    is_any_taken = False
    while True:
        steps = [search.best_step(copies_left) for search in searches]
        best = max(steps, key=lambda step: step.gain)
        if best.gain <= settings.least_step_gain:
            return is_any_taken
        best.search.take(best)
        if best.taker is not None:
            copies_left[best.taker] -= 1
        is_any_taken = True


class _Step:
    """One expert that is added to a rank, taken from one, or moved.

    Parameters
    ----------
    search : _SetSearch
        The set.
    gain : float
        By how much the norm of the ranks' times falls.
    expert : int
        The expert.
    taker : int or None
        Rank that copies it.
    evicted : int or None
        Expert that the taker gives up for it.
    giver : int or None
        Rank that gives it up.
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

    def __init__(self, ranks, loads, slowness, layout):
        self.ranks = ranks
        self._slowness = slowness
        total = sum(loads) or 1.0
        # Relative to the mean load of a rank, so that sets can be compared.
        self._loads = [load * len(ranks) / total for load in loads]
        self._layout = layout
        self._added = [0] * len(ranks)
        self._best = None
        self._best_for = None

    def take(self, step):
        """Put a step into the map."""
        if step.evicted is not None:
            self.ranks[step.taker].discard(step.evicted)
        if step.taker is not None:
            self.ranks[step.taker].add(step.expert)
            self._added[step.taker] += 1
        if step.giver is not None:
            self.ranks[step.giver].discard(step.expert)
        self._best = None

    def best_step(self, copies_left):
        """Return the step that relieves the set most, of gain 0 if none does."""
        allowed = [
            left > 0 and added < self._layout.spare_count
            for left, added in zip(copies_left, self._added, strict=True)
        ]
        if self._best is None or self._best_for != allowed:
            self._best = self._search(allowed)
            self._best_for = allowed
        return self._best

    def _search(self, allowed):
        by_rank = rank_loads(self.ranks, self._loads)
        replicas = replica_counts(self.ranks, len(self._loads))
        before = self._norm(by_rank)
        best = _Step(self, 0.0)
        times = [
            load * slow for load, slow in zip(by_rank, self._slowness, strict=True)
        ]
        hottest = max(range(len(times)), key=times.__getitem__)
        coolest = sorted(range(len(times)), key=times.__getitem__)
        experts = sorted(
            self.ranks[hottest],
            key=lambda expert: self._loads[expert] / replicas[expert],
            reverse=True,
        )
        for expert in experts[:EXPERT_CANDIDATES]:
            for step in self._steps(expert, hottest, coolest, allowed, replicas):
                after = self._after(by_rank, replicas, step)
                step.gain = before - self._norm(after)
                if step.gain > best.gain:
                    best = step
        return best

    def _steps(self, expert, hottest, coolest, allowed, replicas):
        """Yield the steps that may relieve the hottest rank of an expert.

        A slow rank is relieved only by taking experts from it: what it shares with
        others it still does its part of.  With a rank that took 12 times as long,
        adding replicas alone left passes at 5 times an even one after six changes.
        """
        if replicas[expert] > 1:
            yield _Step(self, 0.0, expert, giver=hottest)
        takers = [
            rank for rank in coolest if allowed[rank] and expert not in self.ranks[rank]
        ]
        for taker in takers[:RANK_CANDIDATES]:
            for evicted in self._evictions(taker, replicas):
                yield _Step(self, 0.0, expert, taker, evicted)
                yield _Step(self, 0.0, expert, taker, evicted, hottest)

    def _evictions(self, rank, replicas):
        """Return what a rank may give up for one more expert; None for nothing."""
        held = self.ranks[rank]
        if len(held) < self._layout.place_count:
            return [None]
        spare = [expert for expert in held if replicas[expert] > 1]
        spare.sort(key=lambda expert: self._loads[expert])
        return spare[:EVICTION_CANDIDATES]

    def _after(self, by_rank, replicas, step):
        """Return the load of each rank after a step."""
        after = list(by_rank)
        joining = set() if step.taker is None else {step.taker}
        leaving = set() if step.giver is None else {step.giver}
        self._share_anew(after, replicas, step.expert, joining, leaving)
        if step.evicted is not None:
            self._share_anew(after, replicas, step.evicted, set(), {step.taker})
        return after

    def _share_anew(self, loads, replicas, expert, joining, leaving):
        """Change loads by ranks that begin or cease to hold an expert."""
        load, count = self._loads[expert], replicas[expert]
        new_share = load / (count + len(joining) - len(leaving))
        for rank, experts in enumerate(self.ranks):
            if expert in experts:
                loads[rank] -= load / count
                if rank not in leaving:
                    loads[rank] += new_share
        for rank in joining:
            loads[rank] += new_share

    def _norm(self, by_rank):
        total = sum(
            (load * slow) ** NORM
            for load, slow in zip(by_rank, self._slowness, strict=True)
        )
        return total ** (1 / NORM)
