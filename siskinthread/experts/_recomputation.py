"""Greedy placement of a whole map from nothing.

The baseline that the planner is measured against, and the way to a group's first map.
"""

import heapq

import numpy as np

from siskinthread.experts._expert_map import ExpertMap


def recompute_map(expert_loads, rank_count, slots_per_rank, version=0):
    """Return a map placed greedily: replicas to the fullest, largest first.

    Parameters
    ----------
    expert_loads : numpy.ndarray
        Tokens of each expert.
    rank_count, slots_per_rank : int
        Size of the layer.
    version : int
        Version of the new map.

    Returns
    -------
    ExpertMap
    """
    counts = _replica_counts(expert_loads, rank_count, slots_per_rank)
    shares = np.repeat(expert_loads / counts, counts)
    experts = np.repeat(np.arange(len(expert_loads)), counts)
    slots = [[] for _ in range(rank_count)]
    ranks = [(0.0, rank) for rank in range(rank_count)]
    for index in np.argsort(-shares, kind="stable"):
        _place(int(experts[index]), float(shares[index]), ranks, slots, slots_per_rank)
    return ExpertMap(slots, len(expert_loads), version)


def _replica_counts(expert_loads, rank_count, slots_per_rank):
    counts = np.ones(len(expert_loads), dtype=int)
    fullest = [(-load, expert) for expert, load in enumerate(expert_loads)]
    heapq.heapify(fullest)
    for _ in range(rank_count * slots_per_rank - len(expert_loads)):
        _, expert = heapq.heappop(fullest)
        counts[expert] += 1
        if counts[expert] < rank_count:
            share = expert_loads[expert] / counts[expert]
            heapq.heappush(fullest, (-share, expert))
    return counts


def _place(expert, share, ranks, slots, slots_per_rank):
    """Put a replica on the least loaded rank that does not hold the expert yet."""
    passed_over = []
    load, rank = heapq.heappop(ranks)
    while expert in slots[rank] and ranks:
        passed_over.append((load, rank))
        load, rank = heapq.heappop(ranks)
    slots[rank].append(expert)
    if len(slots[rank]) < slots_per_rank:
        heapq.heappush(ranks, (load + share, rank))
    for entry in passed_over:
        heapq.heappush(ranks, entry)
