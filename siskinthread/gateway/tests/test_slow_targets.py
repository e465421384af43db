"""Targets that delay the other ranks of their group get no requests."""

from siskinthread.gateway._slow_targets import SlowTargets
from siskinthread.gateway.tests.parts import clock, entry, SETTINGS
from siskinthread.gateway.tests.test_target_choice import Parts


class SlowPeers:
    """Peers that have learnt of a slow target."""

    def slow_targets(self):
        """Return the slow targets."""
        return {"i-7"}


def test_statement_about_slow_targets_expires():
    """Guards against a rank that gets no requests for ever, though it is fast again.

    The entry that controlled its group has been stopped.
    """
    time = clock()
    slow = SlowTargets(SETTINGS, time)
    slow.note("g", ["i-2"])
    slow.note("h", ["i-1"])
    assert slow.own_ids() == ["i-1", "i-2"]
    slow.note("g", [])
    assert slow.own_ids() == ["i-1"]
    time.advance(SETTINGS.slow_memory_s + 0.1)
    assert slow.own_ids() == []


def test_slow_targets_of_peers_are_included():
    """Only the entry that controls a group polls its ranks."""
    slow = SlowTargets(SETTINGS, clock())
    slow.peers = SlowPeers()
    slow.note("g", ["i-2"])
    assert slow.ids() == {"i-2", "i-7"}
    assert slow.own_ids() == ["i-2"]


def test_slow_target_gets_no_requests_though_it_is_idle():
    """Guards against late streams of a whole group while one rank is slow.

    A rank takes four times as long; it appears idle, and gets requests.
    """
    parts = Parts(entry("i-1"), entry("i-2"))
    parts.slow_targets.note("g", ["i-1"])
    for _ in range(3):
        parts.loads.started("i-2")
    assert {parts.choose() for _ in range(10)} == {"i-2"}


def test_slow_targets_are_used_if_there_are_no_others():
    """All targets of a service may be slow."""
    parts = Parts(entry("i-1"))
    parts.slow_targets.note("g", ["i-1"])
    assert parts.choose() == "i-1"
