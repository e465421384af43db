"""Search for single steps that relieve the slowest rank.

Each step takes the slowest rank and looks, over all slots at once, for the best of two
kinds of step: another rank gives up a spare replica of some expert for one more replica
of an expert of the slowest rank (one move), or the two swap an expert (two moves).
"""

import numpy as np

SWAP_MOVES = 2
ADD_MOVES = 1
LEAST_RELIEF = 0.995


class Step:
    """One step and the map it leads to.

    Parameters
    ----------
    slots : numpy.ndarray
        Expert of each slot after the step, flat.
    moves : int
        Experts loaded on ranks since the start of the search.
    peak : float
        Time of the slowest rank after the step.
    promised_peak : float
        Upper bound of the time of the ranks that the step touches.
    """

    __slots__ = ("moves", "peak", "promised_peak", "slots")

    def __init__(self, slots, moves, peak, promised_peak):
        self.promised_peak = promised_peak
        self.slots = slots
        self.moves = moves
        self.peak = peak


class _View:
    """What a step from the slowest rank looks at; arrays are by slot.

    Parameters
    ----------
    slowest : int
        The slowest rank.
    slowest_time : float
        Its time.
    shares : numpy.ndarray
        Load of the replica in each slot.
    slot_times : numpy.ndarray
        Time of the slot's rank.
    others : numpy.ndarray
        Worst time, once the slot's replica is given up, among the other holders of its
        expert but the slowest rank; infinite if there is no other holder.
    held_by_slowest : numpy.ndarray
        Whether the slowest rank holds the slot's expert.
    extra_of_slowest : numpy.ndarray
        What the slowest rank then carries more.
    """

    __slots__ = (
        "extra_of_slowest",
        "held_by_slowest",
        "others",
        "shares",
        "slot_times",
        "slowest",
        "slowest_time",
    )

    def __init__(
        self,
        slowest,
        slowest_time,
        shares,
        slot_times,
        others,
        held_by_slowest,
        extra_of_slowest,
    ):
        self.slowest = slowest
        self.slowest_time = slowest_time
        self.shares = shares
        self.slot_times = slot_times
        self.others = others
        self.held_by_slowest = held_by_slowest
        self.extra_of_slowest = extra_of_slowest


class Search:
    """Goes on from a map, step by step.

    Parameters
    ----------
    expert_map : ExpertMap
        Where to start.
    expert_loads : numpy.ndarray
        Tokens of each expert.
    slowness : numpy.ndarray
        Relative time of each rank for a token.
    swap_penalty : float
        Time that a swap must save over an added replica, since it moves two experts.
    """

    __slots__ = (
        "_counts",
        "_expert_loads",
        "_rank_of_slot",
        "_slots",
        "_slots_per_rank",
        "_slowness",
        "_slowness_of_slot",
        "_swap_penalty",
        "moves",
    )

    def __init__(self, expert_map, expert_loads, slowness, swap_penalty):
        rank_count, self._slots_per_rank = expert_map.slots.shape
        self._slots = expert_map.slots.ravel().astype(np.int64)
        self._rank_of_slot = np.repeat(np.arange(rank_count), self._slots_per_rank)
        self._counts = expert_map.replica_counts.astype(float)
        self._expert_loads = expert_loads
        self._slowness = slowness
        self._slowness_of_slot = slowness[self._rank_of_slot]
        self._swap_penalty = swap_penalty
        self.moves = 0

    def rank_times(self):
        """Return the time of each rank now."""
        shares = (self._expert_loads / self._counts)[self._slots]
        loads = shares.reshape(-1, self._slots_per_rank).sum(axis=1)
        return loads * self._slowness

    def step(self):
        """Take the best step that relieves the slowest rank.

        Returns
        -------
        Step or None
            None when no step helps.
        """
        times = self.rank_times()
        slowest = int(times.argmax())
        view = self._view(times, slowest)
        best_peak, best_slot, best_own_slot, best_swaps = np.inf, -1, -1, False
        for own_slot in self._slots_of(slowest):
            barred = self._ranks_holding(self._slots[own_slot])
            for swaps, peaks in (
                (False, self._peaks_of_adding(view, own_slot)),
                (True, self._peaks_of_swapping(view, own_slot)),
            ):
                peaks[barred] = np.inf
                slot = int(peaks.argmin())
                if peaks[slot] < best_peak:
                    best_peak, best_slot = peaks[slot], slot
                    best_own_slot, best_swaps = own_slot, swaps
        if best_peak >= times[slowest] * LEAST_RELIEF:
            return None
        self._apply(best_own_slot, best_slot, best_swaps)
        peak = float(self.rank_times().max())
        return Step(self._slots.copy(), self.moves, peak, float(best_peak))

    def _view(self, times, slowest):
        """Gather by slot what every kind of step from one rank needs."""
        shares = (self._expert_loads / self._counts)[self._slots]
        counts = self._counts[self._slots]
        slot_times = times[self._rank_of_slot]
        extra = shares / np.maximum(counts - 1, 1)
        carried = slot_times + extra * self._slowness_of_slot
        carried[self._rank_of_slot == slowest] = -np.inf
        others = self._worst_other(carried)
        # Giving up the last replica of an expert would lose the expert: tokens routed
        # to it would have nowhere to go, and the map would be refused when built.
        others[counts == 1] = np.inf
        held = np.zeros(len(self._counts), dtype=bool)
        held[self._slots[list(self._slots_of(slowest))]] = True
        held_by_slowest = held[self._slots]
        extra_of_slowest = np.zeros(len(self._slots))
        extra_of_slowest[held_by_slowest] = (
            extra[held_by_slowest] * self._slowness[slowest]
        )
        return _View(
            slowest,
            times[slowest],
            shares,
            slot_times,
            others,
            held_by_slowest,
            extra_of_slowest,
        )

    def _worst_other(self, values):
        """Return, for each slot, the greatest value of its expert's other slots."""
        slots = self._slots
        first = np.full(len(self._counts), -np.inf)
        np.maximum.at(first, slots, values)
        greatest = np.flatnonzero(values == first[slots])
        place = np.full(len(self._counts), -1)
        place[slots[greatest]] = greatest
        rest = values.copy()
        rest[place[place >= 0]] = -np.inf
        second = np.full(len(self._counts), -np.inf)
        np.maximum.at(second, slots, rest)
        own = place[slots] == np.arange(len(slots))
        return np.where(own, second[slots], first[slots])

    def _slots_of(self, rank):
        first = rank * self._slots_per_rank
        return range(first, first + self._slots_per_rank)

    def _ranks_holding(self, expert):
        """Return, for each slot, whether its rank holds an expert."""
        held = (self._slots == expert).reshape(-1, self._slots_per_rank).any(axis=1)
        return held[self._rank_of_slot]

    def _peaks_of_adding(self, view, own_slot):
        """Return the worst time among the ranks touched, for each slot given up.

        A replica of the expert in `own_slot` takes the place of what the slot holds.
        The other replicas of what it held then carry more.  That the other holders of
        the added expert carry less is left out, so the peaks are upper bounds.
        """
        expert = self._slots[own_slot]
        new_share = self._expert_loads[expert] / (self._counts[expert] + 1)
        slowness = self._slowness_of_slot
        receiving = view.slot_times + (new_share - view.shares) * slowness
        peaks = np.maximum(receiving, view.others)
        saved = view.shares[own_slot] - new_share
        relieved = view.slowest_time - saved * self._slowness[view.slowest]
        np.maximum(peaks, relieved + view.extra_of_slowest, out=peaks)
        return peaks

    def _peaks_of_swapping(self, view, own_slot):
        """Return the worse time of the two ranks, for each slot swapped with."""
        change = view.shares[own_slot] - view.shares
        relieved = view.slowest_time - change * self._slowness[view.slowest]
        other = view.slot_times + change * self._slowness_of_slot
        peaks = np.maximum(relieved, other)
        peaks += self._swap_penalty
        peaks[view.held_by_slowest] = np.inf
        return peaks

    def _apply(self, own_slot, slot, swaps):
        expert, displaced = self._slots[own_slot], self._slots[slot]
        self._slots[slot] = expert
        if swaps:
            self._slots[own_slot] = displaced
            self.moves += SWAP_MOVES
            return
        self._counts[displaced] -= 1
        self._counts[expert] += 1
        self.moves += ADD_MOVES
