"""Figures of the measurement of control, and linear fits to them."""

import numpy as np

from siskinthread.routing import RoutingSettings

TARGET_SIZE = 1010
CHANGES_PER_S = 870 / 86_400
BYTES_PER_MB = 1e6
MILLISECONDS_PER_SECOND = 1000
SUBSET_SIZE = RoutingSettings().subset_size
TARGET_LINKS = {"entry": SUBSET_SIZE, "agent": round(410 * SUBSET_SIZE / 600, 1)}
"""Links of each node at the design size of 410 entries and 600 agents."""
MIN_SIZE_COUNT = 3
"""Minimum number of sizes to separate the costs of links and of the host list."""

LIMITS = {
    "in_force_max_s": 12.0,
    "bytes_per_s": 3000.0,
    "core_share": 0.012,
    "memory_mb": 128.0,
}


def figures_of(sizes):
    """Return a dict for JSON with the figures of all sizes and the estimate.

    Parameters
    ----------
    sizes : list of SizeFigures
        Figures by ascending number of nodes.
    """
    measured = [_size_dict(figures) for figures in sizes]
    result = {"sizes": measured, "limits": LIMITS}
    if len(measured) >= MIN_SIZE_COUNT:
        result["estimate"] = _estimate(measured)
    return result


def _size_dict(figures):
    delays_s = np.array(figures.delays_s)
    return {
        "size": figures.size,
        "changes": len(delays_s),
        "in_force_p50_s": _round(np.percentile(delays_s, 50)),
        "in_force_p99_s": _round(np.percentile(delays_s, 99)),
        "in_force_max_s": _round(delays_s.max()),
        "roles": {
            role: _role_dict(
                [item for item in figures.workers if item[0].role == role],
                len(delays_s),
            )
            for role in ("entry", "agent")
        },
    }


def _role_dict(workers, changes):
    nodes = sum(len(worker.hosts) for worker, *_ in workers)
    rest_s = _mean([_seconds(before, rested) for _, _, before, rested, _ in workers])
    change_s = _mean([_seconds(rested, done) for _, _, _, rested, done in workers])
    core_share = _cpu_s(workers, 2, 3) / rest_s / nodes
    rates = _byte_rates(workers, 2, 3, rest_s, nodes)
    extra_cpu_s = _cpu_s(workers, 3, 4) / nodes - core_share * change_s
    extra_bytes = sum(_byte_rates(workers, 3, 4, 1.0, nodes).values())
    extra_bytes -= sum(rates.values()) * change_s
    cpu_s_per_change = max(0.0, extra_cpu_s / changes)
    bytes_per_change = max(0.0, extra_bytes / changes)
    return {
        "nodes": nodes,
        "links": round(sum(item[3].report["links"] for item in workers) / nodes, 1),
        "rest_bytes_per_s": {name: round(rate, 1) for name, rate in rates.items()},
        "bytes_per_change": round(bytes_per_change),
        "bytes_per_s": round(sum(rates.values()) + bytes_per_change * CHANGES_PER_S, 1),
        "rest_core_share": _round(core_share),
        "cpu_ms_per_change": _round(cpu_s_per_change * 1000),
        "core_share": _round(core_share + cpu_s_per_change * CHANGES_PER_S),
        "memory_mb": _round(_memory_mb(workers)),
    }


def _memory_mb(workers):
    """Return the resident memory of a process with one node, in MB."""
    process_mb = _mean([item[1].usage.resident_bytes for item in workers])
    grown = sum(
        item[4].usage.resident_bytes - item[1].usage.resident_bytes for item in workers
    )
    nodes = sum(len(worker.hosts) for worker, *_ in workers)
    return (process_mb + grown / nodes) / BYTES_PER_MB


def _cpu_s(workers, start, stop):
    return sum(item[stop].usage.cpu_s - item[start].usage.cpu_s for item in workers)


def _byte_rates(workers, start, stop, time_s, nodes):
    totals = {"peers": 0, "log": 0, "host_list": 0}
    for item in workers:
        for name in totals:
            totals[name] += item[stop].report["bytes"].get(name, 0)
            totals[name] -= item[start].report["bytes"].get(name, 0)
    return {name: total / time_s / nodes for name, total in totals.items()}


def _seconds(before, after):
    return after.usage.taken_at_s - before.usage.taken_at_s


def _estimate(measured):
    sizes = [item["size"] for item in measured]
    estimate = {"size": TARGET_SIZE}
    for name in ("in_force_p99_s", "in_force_max_s"):
        estimate[name] = _extrapolate(sizes, [item[name] for item in measured])
    for role, links in TARGET_LINKS.items():
        roles = [item["roles"][role] for item in measured]
        estimate[role] = _role_estimate(sizes, roles, links)
    estimate["fits"] = _fits(estimate)
    return estimate


def _role_estimate(sizes, roles, target_links):
    links = [role["links"] for role in roles]
    rates = [role["rest_bytes_per_s"] for role in roles]
    rest = {
        "peers": _extrapolate(links, [rate["peers"] for rate in rates], target_links),
        "host_list": _extrapolate(sizes, [rate["host_list"] for rate in rates]),
        # Not extrapolated: a smaller share of the nodes reads the log in larger fleets.
        "log": rates[-1]["log"],
    }
    bytes_per_change = max(role["bytes_per_change"] for role in roles)
    changes_core_share = _extrapolate(
        sizes, [role["cpu_ms_per_change"] for role in roles]
    )
    changes_core_share *= CHANGES_PER_S / MILLISECONDS_PER_SECOND
    rest_core_share = _estimate_rest_core_share(sizes, links, roles, target_links)
    return {
        "links": target_links,
        "rest_bytes_per_s": rest,
        "bytes_per_s": _round(sum(rest.values()) + bytes_per_change * CHANGES_PER_S),
        "rest_core_share": rest_core_share,
        "core_share": _round(rest_core_share + changes_core_share),
        "memory_mb": _extrapolate(sizes, [role["memory_mb"] for role in roles]),
    }


def _fits(estimate):
    fits = {"in_force_max_s": estimate["in_force_max_s"] <= LIMITS["in_force_max_s"]}
    for role in TARGET_LINKS:
        for name in ("bytes_per_s", "core_share", "memory_mb"):
            fits[f"{role}.{name}"] = estimate[role][name] <= LIMITS[name]
    return fits


def _extrapolate(positions, values, target=TARGET_SIZE):
    """Return the value at `target` of the linear fit to values at positions."""
    slope, base = np.polyfit(positions, values, 1)
    return _round(base + slope * target)


def _estimate_rest_core_share(sizes, links, roles, target_links):
    """Return the idle core share at the target, fitted to links and list length."""
    shares = [role["rest_core_share"] for role in roles]
    rows = np.column_stack([np.ones(len(sizes)), links, sizes])
    costs = np.linalg.lstsq(rows, shares, rcond=None)[0]
    if costs[2] < 0:
        # A longer host list can't reduce the cost: a negative coefficient is noise of a
        # busy machine, so the fit is to the number of links only.
        return _extrapolate(links, shares, target_links)
    return _round(costs @ (1.0, target_links, TARGET_SIZE))


def _mean(values):
    return sum(values) / len(values)


def _round(value):
    return round(float(value), 5)
