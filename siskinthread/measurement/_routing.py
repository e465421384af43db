"""Comparison of the router with baselines on seeded runs of a queue model."""

import json
import statistics

from siskinthread.measurement._routing_policies import (
    DomainShares,
    LeastOutstanding,
    RoundRobin,
)
from siskinthread.measurement._routing_run import make_baseline, make_router, Run
from siskinthread.measurement._routing_scenario import Scenario

MILLISECONDS_PER_SECOND = 1000.0
ROUTER = "router"
SEEDS = (1, 2, 3, 4, 5)

POLICIES = {
    ROUTER: make_router,
    "round_robin": make_baseline(RoundRobin),
    "least_outstanding": make_baseline(LeastOutstanding),
    "domain_shares": make_baseline(DomainShares),
}

UNEVEN_DEMAND = {"trondheim-a": 0.7, "trondheim-b": 0.2, "steinkjer": 0.1}
SCENARIOS = {
    "slow_target": {},
    "slow_target_busy": {"use": 0.8},
    "slow_target_uneven_demand": {"demand_shares": UNEVEN_DEMAND},
    "no_fault": {"slow_hosts": ()},
    "no_fault_uneven_demand": {"slow_hosts": (), "demand_shares": UNEVEN_DEMAND},
}


class PolicyFigures:
    """Figures of one policy in one scenario, over all seeds.

    Attributes
    ----------
    p50_ms, p99_ms : float
        Quantiles of the time to first token over all requests, milliseconds.
    p99_ms_by_seed : list of float
        99th percentile for each seed, milliseconds.
    domain_excess : float
        Highest load of a failure domain in excess of its capacity, relative to the
        capacity, while another domain had free capacity.
    slow_share : float
        Mean share of the requests that were sent to slow targets.
    unanswered_count : int
        Number of requests without a first token at the end; their time to first token
        is the time until the end.
    """

    __slots__ = (
        "domain_excess",
        "p50_ms",
        "p99_ms",
        "p99_ms_by_seed",
        "slow_share",
        "unanswered_count",
    )

    def __init__(self, results, slow_hosts):
        times_s = [time_s for result in results for time_s in result.first_token_s]
        self.p50_ms = quantile_ms(times_s, 0.50)
        self.p99_ms = quantile_ms(times_s, 0.99)
        self.p99_ms_by_seed = [
            quantile_ms(result.first_token_s, 0.99) for result in results
        ]
        self.domain_excess = max(result.domain_excess for result in results)
        self.slow_share = statistics.mean(
            sum(result.target_shares[host] for host in slow_hosts) for result in results
        )
        self.unanswered_count = sum(result.unanswered_count for result in results)

    def as_dict(self):
        """Return the rounded figures as a dict for JSON."""
        return {
            "p50_ms": round(self.p50_ms, 1),
            "p99_ms": round(self.p99_ms, 1),
            "p99_ms_by_seed": [round(value, 1) for value in self.p99_ms_by_seed],
            "domain_excess": round(self.domain_excess, 3),
            "slow_share": round(self.slow_share, 4),
            "unanswered_count": self.unanswered_count,
        }


class RoutingComparison:
    """Comparison of all policies in one scenario.

    Attributes
    ----------
    figures : dict of str to PolicyFigures
        Figures by policy.
    """

    __slots__ = ("figures",)

    def __init__(self, figures):
        self.figures = figures

    @property
    def p99_ratio(self):
        """Ratio of the 99th percentiles of the router and of the best baseline."""
        best_ms = min(
            figures.p99_ms for name, figures in self.figures.items() if name != ROUTER
        )
        return self.figures[ROUTER].p99_ms / best_ms

    def as_dict(self):
        """Return the figures as a dict for JSON."""
        policies = {name: figures.as_dict() for name, figures in self.figures.items()}
        return {"p99_ratio": round(self.p99_ratio, 3), "policies": policies}


def quantile_ms(times_s, share):
    """Return a quantile of times in seconds as milliseconds."""
    ordered = sorted(times_s)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index] * MILLISECONDS_PER_SECOND


def compare_policies(scenario, seeds):
    """Return the `RoutingComparison` of all policies in a scenario."""
    figures = {}
    for name, make_policy in POLICIES.items():
        results = [Run(scenario, make_policy, seed).measure() for seed in seeds]
        figures[name] = PolicyFigures(results, scenario.slow_hosts)
    return RoutingComparison(figures)


def measure_routing(seeds=SEEDS):
    """Measure all scenarios.

    Parameters
    ----------
    seeds : sequence of int
        Seeds of the runs.

    Returns
    -------
    dict of str to RoutingComparison
        Comparison by scenario.
    """
    return {
        name: compare_policies(Scenario(**changes), seeds)
        for name, changes in SCENARIOS.items()
    }


def main():
    """Print a line for each scenario and policy, and all figures as JSON last."""
    comparisons = measure_routing()
    for scenario, comparison in comparisons.items():
        for policy, figures in comparison.figures.items():
            print(
                f"{scenario:26} {policy:18} p99 {figures.p99_ms:8.1f} ms, "
                f"excess {figures.domain_excess:.2f}"
            )
    line = {name: comparison.as_dict() for name, comparison in comparisons.items()}
    print(json.dumps(line))


if __name__ == "__main__":
    main()
