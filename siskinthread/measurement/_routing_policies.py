"""Baselines for the choice of a target."""

import itertools
import math

OVERLOAD_THRESHOLD = 0.2


class RoundRobin:
    """Each target in turn, every entry host with a turn of its own."""

    __slots__ = ("_turns",)

    def __init__(self, hosts, own_failure_domain, random):
        names = sorted(hosts)
        random.shuffle(names)
        self._turns = itertools.cycle(names)

    def choose(self, request):
        """Return the next target."""
        return next(self._turns)

    def started(self, host, request):
        """Ignored."""

    def first_byte(self, host, request, first_byte_s):
        """Ignored."""

    def ended(self, host, request, outcome, first_byte_s):
        """Ignored."""


class LeastOutstanding(RoundRobin):
    """The target with the fewest requests of this entry host, ties at random."""

    __slots__ = ("_counts", "_random")

    def __init__(self, hosts, own_failure_domain, random):
        self._counts = dict.fromkeys(sorted(hosts), 0)
        self._random = random

    def choose(self, request):
        """Return a least used target."""
        least_count = min(self._counts.values())
        least = [host for host, count in self._counts.items() if count == least_count]
        return self._random.choice(least)

    def started(self, host, request):
        """Count a request."""
        self._counts[host] += 1

    def ended(self, host, request, outcome, first_byte_s):
        """Count a request as ended."""
        self._counts[host] -= 1


class DomainShares(RoundRobin):
    """Targets offered to each failure domain by its share of the capacity.

    Notes
    -----
    The allocation of the reference, each target counting the same capacity: a failure
    domain is offered at least ``ceil(share * targets / 1.2)`` targets; if the minimums
    don't fit, or there is one failure domain only, all targets are offered to all.

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
    """Return the dict of host to the failure domain that it is offered to.

    Parameters
    ----------
    hosts : dict of str to str
        Failure domain by host.
    shares : dict of str to float
        Share of the capacity by failure domain.

    Returns
    -------
    dict
        Empty if the rule offers all targets to all.
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
        giving = max(shares, key=lambda domain: held[domain] - desired[domain])
        receiving = min(shares, key=lambda domain: held[domain] - desired[domain])
        surplus = held[giving] - desired[giving]
        deficit = desired[receiving] - held[receiving]
        if surplus < 0.5 or deficit < 0.5 or max(surplus, deficit) < 1.0:
            return offers
        moved = next(host for host, domain in offers.items() if domain == giving)
        offers[moved] = receiving
        held[giving] -= 1
        held[receiving] += 1
