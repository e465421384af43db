"""Which groups are seen to stand still."""

from siskinthread.gateway._group_progress import GroupProgress
from siskinthread.gateway.tests.parts import clock, SETTINGS

LONG_S = SETTINGS.stall_limit_s + 0.01


class FakePeers:
    """Peers that see groups stand still."""

    def __init__(self, *groups):
        self._groups = set(groups)

    def stalled_groups(self):
        """Return the groups."""
        return self._groups


def build(*targets):
    """Return the progress with a stream at each of some targets of one group."""
    now = clock()
    progress = GroupProgress(SETTINGS, now)
    for target in targets:
        progress.stream_began("g", target)
    return progress, now


def test_group_whose_streams_are_all_silent_stands_still():
    """Symptom: requests go to a group that nothing comes from."""
    progress, now = build("i-1", "i-2")
    assert not progress.is_stalled("g")
    now.advance(LONG_S)
    assert progress.is_stalled("g")
    assert progress.stalled_groups() == ["g"]
    progress.event_came("g")
    assert not progress.is_stalled("g")


def test_one_silent_target_says_nothing_of_its_group():
    """It may be cut off from this entry alone."""
    progress, now = build("i-1", "i-1")
    now.advance(LONG_S)
    assert not progress.is_stalled("g")


def test_group_counts_for_a_while_after_its_callers_have_left():
    """Symptom: requests go there again as soon as the last caller has given up."""
    progress, now = build("i-1", "i-2")
    now.advance(LONG_S)
    assert progress.is_stalled("g")
    for target in ("i-1", "i-2"):
        progress.stream_ended("g", target)
    assert progress.is_stalled("g")
    now.advance(SETTINGS.stall_memory_s + 0.01)
    assert not progress.is_stalled("g")


def test_word_of_peers_counts_without_own_events():
    """An entry without streams there learns from others; own events go first."""
    progress, now = build("i-1")
    progress.peers = FakePeers("g", "other")
    assert progress.is_stalled("other")
    assert not progress.is_stalled("g")
    now.advance(LONG_S)
    assert progress.is_stalled("g")
    assert not progress.is_stalled(None)
