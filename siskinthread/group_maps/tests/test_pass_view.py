"""Passes as own streams show them, or as peers tell."""

import pytest

from siskinthread.group_maps import PassClock, PassView, ToldPass


def build(*told):
    """Return a view with a list of what peers tell, and its own clock."""
    heard = list(told)
    clock = PassClock()
    return PassView(clock, lambda: heard[-1] if heard else None), heard, clock


def test_peers_count_only_without_own_streams():
    """Own events are newer than any news."""
    view, _, clock = build(ToldPass(0.2, 0.0))
    assert view.current_s(0.0) == 0.2
    for number in range(4):
        clock.event_came(number * 0.05)
    assert view.current_s(0.15) == pytest.approx(0.05)
    clock.stop()
    assert view.current_s(0.2) == 0.2


def test_told_passes_are_smoothed_once_each():
    """Symptom: a jump is not seen, as the usual time has already followed it.

    Events: one and the same word of a peer is looked at many times.
    """
    view, heard, _ = build(ToldPass(0.05, 0.0))
    for number in range(20):
        view.current_s(number * 0.02)
    heard.append(ToldPass(0.15, 0.4))
    for number in range(20):
        view.current_s(0.4 + number * 0.02)
    assert view.usual_s == pytest.approx(0.07)


def test_nothing_is_known_without_streams_and_news():
    """A view without either tells neither a jump nor long passes."""
    view, _, _ = build()
    assert view.current_s(1.0) is None
    assert view.usual_s is None
