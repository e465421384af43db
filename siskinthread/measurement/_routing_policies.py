"""Baseline policies for the choice of a target."""

import itertools
import math

OVERLOAD_THRESHOLD = 0.2


class RoundRobin:
    """Round-robin order of the targets, shuffled separately for each entry host."""

    __slots__ = ("_cycle",)

    def __init__(self, hosts, own_failure_domain, random):
        names = sorted(hosts)
        random.shuffle(names)
        self._cycle = itertools.cycle(names)

    def choose(self, request):
        """Return the next target."""
        return next(self._cycle)

    def started(self, host, request):
        """Ignored."""

    def first_byte(self, host, request, first_byte_s):
        """Ignored."""

    def ended(self, host, request, outcome, first_byte_s):
        """Ignored."""


class LeastOutstanding(RoundRobin):
    """Target with the fewest requests of this entry host; ties are broken randomly."""

    __slots__ = ("_counts", "_random")

    def __init__(self, hosts, own_failure_domain, random):
        self._counts = dict.fromkeys(sorted(hosts), 0)
        self._random = random

    def choose(self, request):
        """Return a target with the fewest outstanding requests."""
        least_count = min(self._counts.values())
        least = [host for host, count in self._counts.items() if count == least_count]
        return self._random.choice(least)

    def started(self, host, request):
        """Count a started request."""
        self._counts[host] += 1

    def ended(self, host, request, outcome, first_byte_s):
        """Count an ended request."""
        self._counts[host] -= 1


class DomainShares(RoundRobin):
    """Targets allocated to each failure domain by its share of the capacity.

    Notes
    -----
    The allocation of the reference, with equal capacity of all targets: a failure
    domain gets at least ``ceil(share * targets / 1.2)`` targets.  If the sum of the
    minimums exceeds the number of targets, or there is only one failure domain, every
    target is offered to every domain.

    References
    ----------
    "Hints by CPU Share: How the Topology Cache Keeps a Zone From Overloading".
    """

    __slots__ = ()

    def __init__(self, hosts, own_failure_domain, random):
        offers = offer_by_shares(hosts, _capacity_shares(hosts))
        offered = [host for host in hosts if offers.get(host) == own_failure_domain]
        super().__init__(offered or list(hosts), own_failure_domain, random)


def _capacity_shares(hosts):
    domains = sorted(set(hosts.values()))
    return {
        domain: sum(1 for place in hosts.values() if place == domain) / len(hosts)
        for domain in domains
    }


def offer_by_shares(hosts, shares):
    """Return the failure domain that each host is offered to, as a dict.

    Parameters
    ----------
    hosts : dict of str to str
        Failure domain by host.
    shares : dict of str to float
        Share of the capacity by failure domain.

    Returns
    -------
    dict
        Failure domain by host; empty if every target is offered to every domain.
    """
    count = len(hosts)
    desired = {domain: share * count for domain, share in shares.items()}
    minimums = {
        domain: math.ceil(wanted / (1.0 + OVERLOAD_THRESHOLD))
        for domain, wanted in desired.items()
    }
    if len(shares) < 2 or len(shares) > count or sum(minimums.values()) > count:
        return {}
    desired = {domain: max(desired[domain], minimums[domain]) for domain in shares}
    offers = dict(sorted(hosts.items()))
    held = {domain: list(offers.values()).count(domain) for domain in shares}
    while True:
        donor = max(shares, key=lambda domain: held[domain] - desired[domain])
        recipient = min(shares, key=lambda domain: held[domain] - desired[domain])
        surplus = held[donor] - desired[donor]
        deficit = desired[recipient] - held[recipient]
        if surplus < 0.5 or deficit < 0.5 or max(surplus, deficit) < 1.0:
            return offers
        moved = next(host for host, domain in offers.items() if domain == donor)
        offers[moved] = recipient
        held[donor] -= 1
        held[recipient] += 1
