"""Greedy computation of a complete map from the expert loads alone.

It gives a group its first map, and serves as the baseline for the planner.
"""

import heapq

import numpy as np

from siskinthread.experts._expert_map import ExpertMap


def recompute_map(expert_loads, rank_count, slots_per_rank, version=0):
    """Return a map that is computed greedily from the expert loads.

    Each spare slot goes to the expert with the highest load per replica.  The replicas
    are then placed in order of decreasing load, each on the least loaded rank.

    Parameters
    ----------
    expert_loads : numpy.ndarray
        Shape (experts,); tokens of each expert.
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
        _place_replica(
            int(experts[index]), float(shares[index]), ranks, slots, slots_per_rank
        )
    return ExpertMap(slots, len(expert_loads), version)


def _replica_counts(expert_loads, rank_count, slots_per_rank):
    counts = np.ones(len(expert_loads), dtype=int)
    by_load_per_replica = [(-load, expert) for expert, load in enumerate(expert_loads)]
    heapq.heapify(by_load_per_replica)
    for _ in range(rank_count * slots_per_rank - len(expert_loads)):
        _, expert = heapq.heappop(by_load_per_replica)
        counts[expert] += 1
        if counts[expert] < rank_count:
            share = expert_loads[expert] / counts[expert]
            heapq.heappush(by_load_per_replica, (-share, expert))
    return counts


def _place_replica(expert, share, ranks, slots, slots_per_rank):
    """Place a replica on the least loaded rank that does not hold the expert yet."""
    skipped = []
    load, rank = heapq.heappop(ranks)
    while expert in slots[rank] and ranks:
        skipped.append((load, rank))
        load, rank = heapq.heappop(ranks)
    slots[rank].append(expert)
    if len(slots[rank]) < slots_per_rank:
        heapq.heappush(ranks, (load + share, rank))
    for entry in skipped:
        heapq.heappush(ranks, entry)
