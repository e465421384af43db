"""Detection of stalled groups."""

from siskinthread.gateway._group_progress import GroupProgress
from siskinthread.gateway.tests.parts import clock, SETTINGS

LONG_S = SETTINGS.stall_limit_s + 0.01


class FakePeers:
    """Peers that have detected stalled groups."""

    def __init__(self, *groups):
        self._groups = set(groups)

    def stalled_groups(self):
        """Return the groups."""
        return self._groups


def build(*targets):
    """Return a `GroupProgress` with a stream at each target of one group."""
    now = clock()
    progress = GroupProgress(SETTINGS, now)
    for target in targets:
        progress.stream_began("g", target)
    return progress, now


def test_group_whose_streams_are_all_silent_is_stalled():
    """Guards against requests to a group that produces no events."""
    progress, now = build("i-1", "i-2")
    assert not progress.is_stalled("g")
    now.advance(LONG_S)
    assert progress.is_stalled("g")
    assert progress.stalled_groups() == ["g"]
    progress.event_came("g")
    assert not progress.is_stalled("g")


def test_one_silent_target_does_not_make_its_group_stalled():
    """A single target may be partitioned from this entry alone."""
    progress, now = build("i-1", "i-1")
    now.advance(LONG_S)
    assert not progress.is_stalled("g")


def test_group_stays_stalled_for_some_time_after_its_callers_have_left():
    """Guards against requests to the group as soon as its last stream is abandoned."""
    progress, now = build("i-1", "i-2")
    now.advance(LONG_S)
    assert progress.is_stalled("g")
    for target in ("i-1", "i-2"):
        progress.stream_ended("g", target)
    assert progress.is_stalled("g")
    now.advance(SETTINGS.stall_memory_s + 0.01)
    assert not progress.is_stalled("g")


def test_statements_of_peers_count_without_own_events():
    """Own events of a group take precedence over statements of peers."""
    progress, now = build("i-1")
    progress.peers = FakePeers("g", "other")
    assert progress.is_stalled("other")
    assert not progress.is_stalled("g")
    now.advance(LONG_S)
    assert progress.is_stalled("g")
    assert not progress.is_stalled(None)
