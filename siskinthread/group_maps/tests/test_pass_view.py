"""Tests of pass times from this entry's streams or from peers."""

import pytest

from siskinthread.group_maps import PassClock, PassView, ReportedPass


def build(*reported):
    """Return a view, the list of reports of peers, and the view's own clock."""
    received = list(reported)
    clock = PassClock()
    return PassView(clock, lambda: received[-1] if received else None), received, clock


def test_peers_count_only_without_own_streams():
    """Events of own streams are newer than any report of a peer."""
    view, _, clock = build(ReportedPass(0.2, 0.0))
    assert view.current_s(0.0) == 0.2
    for number in range(4):
        clock.event_came(number * 0.05)
    assert view.current_s(0.15) == pytest.approx(0.05)
    clock.stop()
    assert view.current_s(0.2) == 0.2


def test_told_passes_are_smoothed_once_each():
    """Guards against a missed jump because the smoothed time already followed it.

    The same report of a peer is read many times.
    """
    view, received, _ = build(ReportedPass(0.05, 0.0))
    for number in range(20):
        view.current_s(number * 0.02)
    received.append(ReportedPass(0.15, 0.4))
    for number in range(20):
        view.current_s(0.4 + number * 0.02)
    assert view.usual_s == pytest.approx(0.07)


def test_nothing_is_known_without_streams_and_news():
    """A view without streams and reports shows neither a jump nor long passes."""
    view, _, _ = build()
    assert view.current_s(1.0) is None
    assert view.usual_s is None
