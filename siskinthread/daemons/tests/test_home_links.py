"""Tests of the homes that an entry links to in addition to its subset."""

from siskinthread.daemons._home_links import HomeLinks


def test_home_wanted_longest_ago_gives_way():
    """The number of homes is bounded; a home that is requested again is kept."""
    homes = HomeLinks(2)
    assert homes.add("a")
    assert homes.add("b")
    assert not homes.add("a")
    assert homes.add("c")
    assert homes.homes_in({"a", "b", "c"}) == ["a", "c"]


def test_home_that_is_gone_is_not_dialled():
    """A host that is no longer on the host list gets no link."""
    homes = HomeLinks(2)
    homes.add("a")
    assert homes.homes_in({"b"}) == []
