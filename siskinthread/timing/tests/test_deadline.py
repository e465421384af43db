"""Tests of deadlines."""

from siskinthread.timing import Deadline, ManualClock


def test_deadline_passes_with_the_clock():
    """A deadline passes when its clock reaches it, not before."""
    clock = ManualClock()
    deadline = Deadline.after(clock, 2.0)
    clock.advance(1.5)
    assert deadline.left_ms() == 500
    assert not deadline.passed()
    clock.advance(0.5)
    assert deadline.passed()
    assert deadline.left_s() == 0.0
