"""Rendezvous hashing: the home of a key and the subset of targets of an entry host.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
Transactions on Networking 6(1), 1998.
"""

import xxhash


def home_of(hosts, idempotency_key):
    """Return the home of an idempotency key.

    Parameters
    ----------
    hosts : iterable of str
        The declared hosts of the service, in any order.
    idempotency_key : str
        The key.

    Returns
    -------
    str or None
        The host with the highest weight, None without hosts.

    Notes
    -----
    The weight of a host is XXH64 of its UTF-8 name, seeded with XXH64 of the key (seed
    0).  Entry hosts and agents of all versions must agree: if two of them differed, a
    key would have two homes and its request could run twice.  The tests fix the homes
    of some keys.
    """
    return max(hosts, key=_weight(idempotency_key), default=None)


def rank_hosts(hosts, key):
    """Return hosts by falling rendezvous weight for a key."""
    return sorted(hosts, key=_weight(key), reverse=True)


def subset_of(entry_host, hosts, failure_domain_of, own_failure_domain, size):
    """Return the targets to which one entry host keeps links.

    Parameters
    ----------
    entry_host : str
        Name of the entry host.
    hosts : iterable of str
        Names of all targets.
    failure_domain_of : callable
        Maps the name of a target to its failure domain.
    own_failure_domain : str
        Failure domain of the entry host.
    size : int
        Maximum number of targets.

    Returns
    -------
    list of str
        The chosen targets, ranked.

    Notes
    -----
    The own failure domain comes first, but fills at most half of the subset while there
    are other hosts: with links to one failure domain only, the loss of this domain
    would leave the entry host without any target.
    """
    ranked = rank_hosts(hosts, entry_host)
    own = [host for host in ranked if failure_domain_of(host) == own_failure_domain]
    other = [host for host in ranked if failure_domain_of(host) != own_failure_domain]
    other_room = max(size // 2, size - len(own))
    other = other[:other_room]
    return own[: size - len(other)] + other


def hosts_to_link(
    entry_host,
    agents,
    hosts_by_service,
    failure_domain_of,
    own_failure_domain,
    settings,
):
    """Return the names of the agents to which one entry host keeps links.

    Parameters
    ----------
    entry_host : str
        Name of the entry host.
    agents : collection of str
        Names of all agents.
    hosts_by_service : dict of str to list of str
        Declared hosts by service.
    failure_domain_of, own_failure_domain
        As for `subset_of`.
    settings : RoutingSettings
        Provides ``subset_size`` and ``service_subset_size``.

    Returns
    -------
    set of str
        All agents if there are at most ``subset_size``.

    Notes
    -----
    With more agents, each service gets a part of the links.  A single subset of all
    agents would often contain no host of a small service; the symptom is ``no_target``
    at some entry hosts only.
    """
    if len(agents) <= settings.subset_size or not hosts_by_service:
        return set(agents)
    even_size = settings.subset_size // len(hosts_by_service)
    size = max(settings.service_subset_size, even_size)
    linked = set()
    for hosts in hosts_by_service.values():
        present = [host for host in hosts if host in agents]
        linked.update(
            subset_of(entry_host, present, failure_domain_of, own_failure_domain, size)
        )
    return linked


def _weight(key):
    seed = xxhash.xxh64_intdigest(key.encode())

    def weight(host):
        name = host.encode()
        return xxhash.xxh64_intdigest(name, seed), name

    return weight
