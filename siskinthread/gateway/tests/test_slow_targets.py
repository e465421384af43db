"""Targets that hold others back get no requests."""

from siskinthread.gateway._slow_targets import SlowTargets
from siskinthread.gateway.tests.parts import clock, entry, SETTINGS
from siskinthread.gateway.tests.test_target_choice import Parts


class TellingPeers:
    """Peers that tell of slow targets."""

    def slow_targets(self):
        """Return what they tell."""
        return {"i-7"}


def test_word_of_slow_targets_counts_for_a_while():
    """Symptom: a rank that is quick again gets no requests for ever.

    Events: the entry that controlled its group has been stopped.
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


def test_peers_tell_too():
    """Only the entry that controls a group asks its ranks."""
    slow = SlowTargets(SETTINGS, clock())
    slow.peers = TellingPeers()
    slow.note("g", ["i-2"])
    assert slow.ids() == {"i-2", "i-7"}
    assert slow.own_ids() == ["i-2"]


def test_slow_target_is_passed_over_though_it_is_idle():
    """Symptom: all streams of a group are late while one rank is slow.

    Events: a rank takes four times as long; it looks idle, and gets requests.
    """
    parts = Parts(entry("i-1"), entry("i-2"))
    parts.slow_targets.note("g", ["i-1"])
    for _ in range(3):
        parts.loads.started("i-2")
    assert {parts.choose() for _ in range(10)} == {"i-2"}


def test_slow_targets_are_better_than_none():
    """All targets of a service may be slow."""
    parts = Parts(entry("i-1"))
    parts.slow_targets.note("g", ["i-1"])
    assert parts.choose() == "i-1"
