"""Homes of keys, and subsets of targets."""

import collections

import pytest

from siskinthread.routing import (
    home_of,
    hosts_to_link,
    RoutingSettings,
    subset_of,
)

PLAIN_HOSTS = ["varsel-a", "varsel-b", "varsel-c"]
ENGINE_HOSTS = [f"triage-{index:02}" for index in range(16)]


@pytest.mark.parametrize(
    ("hosts", "key", "home"),
    [
        (PLAIN_HOSTS, "crossing-4711/2024-05-01T06:00", "varsel-c"),
        (PLAIN_HOSTS, "alert-1", "varsel-c"),
        (PLAIN_HOSTS, "", "varsel-b"),
        (PLAIN_HOSTS, "nøkkel", "varsel-a"),
        (ENGINE_HOSTS, "alert-1", "triage-12"),
        (ENGINE_HOSTS, "round-sheet-2", "triage-04"),
        (ENGINE_HOSTS, "k" * 200, "triage-04"),
        (ENGINE_HOSTS, "húsvörður", "triage-12"),
    ],
)
def test_homes_never_change_between_versions(hosts, key, home):
    """A request with an idempotency key ran twice.

    Entry hosts of different versions sent the request and its retry to different homes.
    The homes of released versions are fixed here and must not be edited.
    """
    assert home_of(hosts, key) == home
    assert home_of(reversed(hosts), key) == home


def test_no_hosts_no_home():
    """Without hosts there is no home."""
    assert home_of([], "alert-1") is None


def test_homes_are_spread_evenly_and_stable():
    """Keys spread evenly over the hosts; removing a host moves its own keys only."""
    keys = [f"key-{index}" for index in range(4000)]
    homes = {key: home_of(ENGINE_HOSTS, key) for key in keys}
    counts = collections.Counter(homes.values())
    assert max(counts.values()) < 1.3 * 4000 / 16
    fewer = [host for host in ENGINE_HOSTS if host != "triage-07"]
    moved = {key for key in keys if home_of(fewer, key) != homes[key]}
    assert moved == {key for key in keys if homes[key] == "triage-07"}


def domain_of(host):
    """Return one of eight failure domains by the number of a host."""
    return f"domain-{int(host.rsplit('-', 1)[1]) % 8}"


def test_subset_is_bounded_and_covers_all_targets():
    """400 entry hosts have bounded subsets of 600 targets, which are used evenly."""
    hosts = [f"target-{index}" for index in range(600)]
    counts = collections.Counter()
    for index in range(400):
        entry = f"entry-{index}"
        subset = subset_of(entry, hosts, domain_of, domain_of(entry), 48)
        own = [host for host in subset if domain_of(host) == domain_of(entry)]
        assert len(set(subset)) == 48
        assert len(own) == 24
        counts.update(subset)
    assert set(counts) == set(hosts)
    assert max(counts.values()) < 3 * min(counts.values())


def test_subset_falls_back_on_other_domains():
    """Without targets in the own failure domain, the others fill the subset."""
    hosts = [f"target-{index}" for index in range(600)]
    assert len(subset_of("entry-1", hosts, domain_of, "elsewhere", 48)) == 48


def test_links_reach_every_service():
    """Some entry hosts answered ``no_target`` for a service with few hosts.

    There were more agents than links, and one subset of all agents contained none of
    the service's three hosts.
    """
    hosts = [f"target-{index}" for index in range(600)]
    services = {"large": hosts[3:], "small": hosts[:3]}
    settings = RoutingSettings()
    for index in range(20):
        linked = hosts_to_link(
            f"entry-{index}", hosts, services, domain_of, "domain-1", settings
        )
        assert linked >= set(hosts[:3])
        assert len(linked) <= settings.subset_size + settings.service_subset_size


def test_few_agents_are_all_linked():
    """Up to the subset's size every agent gets a link, with any configuration."""
    linked = hosts_to_link(
        "entry-1", ENGINE_HOSTS, {}, domain_of, "domain-1", RoutingSettings()
    )
    assert linked == set(ENGINE_HOSTS)
