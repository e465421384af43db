"""Local search for steps that reduce the load of the slowest rank.

Each step starts from the slowest rank and evaluates, vectorized over all slots, two
kinds of step: another rank replaces a spare replica of some expert by an additional
replica of an expert of the slowest rank (one move), or the two ranks swap an expert
(two moves).
"""

import numpy as np

SWAP_MOVES = 2
ADD_MOVES = 1
MAX_PEAK_RATIO = 0.995


class Step:
    """A step of the search and the resulting map.

    Parameters
    ----------
    slots : numpy.ndarray
        Shape (slots,); expert of each slot of all ranks after the step.
    moves : int
        Expert loads on ranks since the start of the search.
    peak : float
        Time of the slowest rank after the step.
    peak_bound : float
        Upper bound of the times of the ranks that the step changes, including the
        penalty of a swap.
    """

    __slots__ = ("moves", "peak", "peak_bound", "slots")

    def __init__(self, slots, moves, peak, peak_bound):
        self.peak_bound = peak_bound
        self.slots = slots
        self.moves = moves
        self.peak = peak


class _StepContext:
    """Values by which steps from the slowest rank are evaluated.

    The arrays have the shape (slots,) over the slots of all ranks.

    Parameters
    ----------
    slowest : int
        Index of the slowest rank.
    slowest_time : float
        Time of the slowest rank.
    shares : numpy.ndarray
        Load of the replica in each slot.
    slot_times : numpy.ndarray
        Time of the rank of each slot.
    other_holder_times : numpy.ndarray
        If the replica in the slot is removed: longest time among the other ranks that
        hold its expert, except the slowest rank; infinite without another replica.
    held_by_slowest : numpy.ndarray
        Whether the slowest rank holds the expert of the slot.
    slowest_extra_time : numpy.ndarray
        If the replica in the slot is removed: additional time of the slowest rank.
    """

    __slots__ = (
        "slowest_extra_time",
        "held_by_slowest",
        "other_holder_times",
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
        other_holder_times,
        held_by_slowest,
        slowest_extra_time,
    ):
        self.slowest = slowest
        self.slowest_time = slowest_time
        self.shares = shares
        self.slot_times = slot_times
        self.other_holder_times = other_holder_times
        self.held_by_slowest = held_by_slowest
        self.slowest_extra_time = slowest_extra_time


class Search:
    """Improve a map step by step.

    Parameters
    ----------
    expert_map : ExpertMap
        Map from which the search starts.
    expert_loads : numpy.ndarray
        Shape (experts,); tokens of each expert.
    slowness : numpy.ndarray
        Shape (ranks,); relative time of each rank per token.
    swap_penalty : float
        Time that a swap must save in addition to that saved by an added replica, since
        a swap loads two experts instead of one.

    Attributes
    ----------
    moves : int
        Expert loads on ranks since the start of the search.
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
        """Return the time of each rank under the present map."""
        shares = (self._expert_loads / self._counts)[self._slots]
        loads = shares.reshape(-1, self._slots_per_rank).sum(axis=1)
        return loads * self._slowness

    def step(self):
        """Apply the best step that reduces the time of the slowest rank.

        Returns
        -------
        Step or None
            None if no step reduces the time enough.
        """
        times = self.rank_times()
        slowest = int(times.argmax())
        context = self._step_context(times, slowest)
        best_peak, best_slot, best_own_slot, best_swaps = np.inf, -1, -1, False
        for own_slot in self._slots_of(slowest):
            is_holder_rank = self._ranks_holding(self._slots[own_slot])
            for swaps, peaks in (
                (False, self._peaks_of_adding(context, own_slot)),
                (True, self._peaks_of_swapping(context, own_slot)),
            ):
                peaks[is_holder_rank] = np.inf
                slot = int(peaks.argmin())
                if peaks[slot] < best_peak:
                    best_peak, best_slot = peaks[slot], slot
                    best_own_slot, best_swaps = own_slot, swaps
        if best_peak >= times[slowest] * MAX_PEAK_RATIO:
            return None
        self._apply(best_own_slot, best_slot, best_swaps)
        peak = float(self.rank_times().max())
        return Step(self._slots.copy(), self.moves, peak, float(best_peak))

    def _step_context(self, times, slowest):
        """Return the values that both kinds of step from the slowest rank need."""
        shares = (self._expert_loads / self._counts)[self._slots]
        counts = self._counts[self._slots]
        slot_times = times[self._rank_of_slot]
        extra = shares / np.maximum(counts - 1, 1)
        raised_times = slot_times + extra * self._slowness_of_slot
        raised_times[self._rank_of_slot == slowest] = -np.inf
        other_holder_times = self._largest_other(raised_times)
        # The last replica of an expert must not be removed: `ExpertMap` rejects a map
        # without the expert, since tokens routed to it could not be processed.
        other_holder_times[counts == 1] = np.inf
        is_held = np.zeros(len(self._counts), dtype=bool)
        is_held[self._slots[list(self._slots_of(slowest))]] = True
        held_by_slowest = is_held[self._slots]
        slowest_extra_time = np.zeros(len(self._slots))
        slowest_extra_time[held_by_slowest] = (
            extra[held_by_slowest] * self._slowness[slowest]
        )
        return _StepContext(
            slowest,
            times[slowest],
            shares,
            slot_times,
            other_holder_times,
            held_by_slowest,
            slowest_extra_time,
        )

    def _largest_other(self, values):
        """Return, for each slot, the largest value among its expert's other slots."""
        slots = self._slots
        first = np.full(len(self._counts), -np.inf)
        np.maximum.at(first, slots, values)
        largest_indices = np.flatnonzero(values == first[slots])
        largest_slot = np.full(len(self._counts), -1)
        largest_slot[slots[largest_indices]] = largest_indices
        remaining = values.copy()
        remaining[largest_slot[largest_slot >= 0]] = -np.inf
        second = np.full(len(self._counts), -np.inf)
        np.maximum.at(second, slots, remaining)
        is_own = largest_slot[slots] == np.arange(len(slots))
        return np.where(is_own, second[slots], first[slots])

    def _slots_of(self, rank):
        first = rank * self._slots_per_rank
        return range(first, first + self._slots_per_rank)

    def _ranks_holding(self, expert):
        """Return, for each slot, whether the slot's rank holds the expert."""
        is_holder = (
            (self._slots == expert).reshape(-1, self._slots_per_rank).any(axis=1)
        )
        return is_holder[self._rank_of_slot]

    def _peaks_of_adding(self, context, own_slot):
        """Return, for each slot, the longest time of the ranks changed by adding.

        A replica of the expert in `own_slot` replaces the expert of the slot, whose
        other replicas then carry more load.  The peaks are upper bounds, because the
        smaller load of the other replicas of the added expert is ignored.
        """
        expert = self._slots[own_slot]
        new_share = self._expert_loads[expert] / (self._counts[expert] + 1)
        slowness = self._slowness_of_slot
        receiving = context.slot_times + (new_share - context.shares) * slowness
        peaks = np.maximum(receiving, context.other_holder_times)
        saved = context.shares[own_slot] - new_share
        slowest_after = context.slowest_time - saved * self._slowness[context.slowest]
        np.maximum(peaks, slowest_after + context.slowest_extra_time, out=peaks)
        return peaks

    def _peaks_of_swapping(self, context, own_slot):
        """Return, for each slot, the longer time of the two ranks after a swap."""
        change = context.shares[own_slot] - context.shares
        slowest_after = context.slowest_time - change * self._slowness[context.slowest]
        other = context.slot_times + change * self._slowness_of_slot
        peaks = np.maximum(slowest_after, other)
        peaks += self._swap_penalty
        peaks[context.held_by_slowest] = np.inf
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
