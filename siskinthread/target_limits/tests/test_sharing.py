"""Hosts that share the limit of one target, in a model with lost and late reports."""

import pytest

from siskinthread.target_limits.tests.model import allowed_count, ByDemand, Run

# The last seed covers a rare excess: with a mean 4.5 instead of 5 standard deviations
# below the maximum, 300 hosts sent 18 requests in 4 s where 17 were allowed, in one of
# 1,000 runs.
SEEDS = [*range(20), 404]


@pytest.mark.parametrize("is_even", [True, False], ids=["even", "one host"])
@pytest.mark.parametrize("limit_per_s", [2.0, 20.0])
@pytest.mark.parametrize("host_count", [2, 38, 300])
def test_hosts_keep_a_limit_together_and_use_it(host_count, limit_per_s, is_even):
    """A limit of 2 a second is far below one request for each of 300 hosts.

    Callers send twice the limit, to all hosts equally or to one.  With equal shares and
    all callers at one of 38 hosts, 0.03 of a limit of 2 would be used.
    """
    rates = []
    for seed in SEEDS:
        run = Run(ByDemand, host_count, limit_per_s, 2 * limit_per_s, seed, is_even)
        most, rate_per_s = run.play()
        assert most <= allowed_count(limit_per_s), seed
        rates.append(rate_per_s)
    # Random arrivals leave more of a small limit unused, see `deviation_count`.
    least_share = 0.8 if limit_per_s >= 20 else 0.6
    assert sum(rates) / len(rates) >= least_share * limit_per_s


@pytest.mark.parametrize("host_count", [2, 38, 300])
def test_hosts_that_join_keep_the_limit_of_the_others(host_count):
    """A new host without state took its own callers' requests for the total."""
    for seed in range(5):
        run = Run(ByDemand, host_count, 20.0, 40.0, seed, joining_share=0.3)
        most, _ = run.play()
        assert most <= allowed_count(20.0), seed
