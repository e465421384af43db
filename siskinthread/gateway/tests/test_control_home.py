"""Failure domain from which a group is controlled."""

from siskinthread.gateway._control_home import ControlHome
from siskinthread.gateway.tests.parts import SETTINGS


class FakePeers:
    """Peers in given failure domains."""

    def __init__(self, *domains):
        self._domains = set(domains)

    def reachable_domains(self):
        """Return the failure domains."""
        return self._domains


def build(domain, *heard):
    """Return the `ControlHome` of an entry with peers in given failure domains."""
    home = ControlHome(SETTINGS, domain, None, None, None, None)
    home.peers = FakePeers(*heard)
    return home


def test_one_domain_is_the_home_of_a_group():
    """The home is the domain with most ranks; all entries break ties alike."""
    domains = ("a", "b", "c")
    for ranks, home in (("aab", "a"), ("abcc", "c"), ("abcabc", None)):
        homes = [one for one in domains if build(one, *domains).is_home("g", ranks)]
        assert len(homes) == 1
        assert home in (None, homes[0])


def test_homes_of_evenly_spread_groups_differ():
    """Guards against one failure domain that controls all groups."""
    domains = ("a", "b", "c")
    homes = {
        one
        for one in domains
        for number in range(20)
        if build(one, *domains).is_home(f"g{number}", "abc")
    }
    assert homes == set(domains)


def test_domain_without_entries_is_no_home():
    """Guards against a group without a controller.

    All entries in the domain with most of its ranks are gone, or partitioned.
    """
    assert build("b", "b", "c").is_home("g", "aaab")
    assert not build("c", "b", "c").is_home("g", "aaab")
    assert build("b", "b", "c").is_home("g", "aaa")
