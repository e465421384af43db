"""Tests of the links to homes outside of the subset."""

from siskinthread.daemons._home_links import HomeLinks


def test_home_wanted_longest_ago_gives_way():
    """The number of links stays bounded; a home wanted again is kept."""
    homes = HomeLinks(2)
    assert homes.want("a")
    assert homes.want("b")
    assert not homes.want("a")
    assert homes.want("c")
    assert homes.known_among({"a", "b", "c"}) == ["a", "c"]


def test_home_that_is_gone_is_not_dialled():
    """A host that left the host list gets no link."""
    homes = HomeLinks(2)
    homes.want("a")
    assert homes.known_among({"b"}) == []
