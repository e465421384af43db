"""Naive search in plain Python that evaluates every single step."""

import math


def naive_best_peak(slots, expert_loads, slowness, swap_penalty):
    """Return the smallest peak over all single steps from the slowest rank."""
    rows = [list(map(int, row)) for row in slots]
    counts = [sum(row.count(e) for row in rows) for e in range(len(expert_loads))]
    shares = [load / count for load, count in zip(expert_loads, counts, strict=True)]
    times = [
        slow * sum(shares[e] for e in row)
        for row, slow in zip(rows, slowness, strict=True)
    ]
    slowest = times.index(max(times))
    best = math.inf
    for expert in rows[slowest]:
        for rank, row in enumerate(rows):
            if expert in row:
                continue
            for displaced in row:
                change = shares[expert] - shares[displaced]
                if displaced not in rows[slowest]:
                    peak = max(
                        times[slowest] - change * slowness[slowest],
                        times[rank] + change * slowness[rank],
                    )
                    best = min(best, peak + swap_penalty)
                if counts[displaced] > 1:
                    peak = _adding_peak(
                        rows, times, shares, counts, slowness, slowest, rank, expert,
                        displaced, expert_loads,
                    )  # fmt: skip
                    best = min(best, peak)
    return best


def _adding_peak(
    rows, times, shares, counts, slowness, slowest, rank, expert, displaced, loads
):
    new_share = loads[expert] / (counts[expert] + 1)
    extra = loads[displaced] / (counts[displaced] - 1) - shares[displaced]
    changes = dict.fromkeys(range(len(rows)), 0.0)
    changes[slowest] += new_share - shares[expert]
    changes[rank] += new_share - shares[displaced]
    for row, held in enumerate(rows):
        if displaced in held and row != rank:
            changes[row] += extra
    touched = [
        row
        for row, held in enumerate(rows)
        if row in (slowest, rank) or displaced in held
    ]
    return max(times[row] + changes[row] * slowness[row] for row in touched)
