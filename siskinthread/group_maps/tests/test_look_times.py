"""Tests of when demand is sampled, by the passes that own streams show."""

from siskinthread.group_maps import (
    GroupMapSettings,
    PassClock,
    SampleCause,
    SampleSchedule,
)
from siskinthread.timing import ManualClock

PASS_LIMIT_S = 0.12
QUICK_PASS_S = 0.05
SETTINGS = GroupMapSettings()


class Group:
    """A group whose passes show in the events of two streams."""

    def __init__(self):
        self.clock = ManualClock()
        self.passes = PassClock()
        self.sample_schedule = SampleSchedule(
            self.passes, PASS_LIMIT_S, SETTINGS, self.clock
        )

    def run_pass(self, pass_s):
        """Run a pass; its events arrive 2 ms apart."""
        self.clock.advance(pass_s - 0.002)
        self.passes.event_came(self.clock.monotonic_s())
        self.clock.advance(0.002)
        self.passes.event_came(self.clock.monotonic_s())

    def run_passes(self, pass_s, count):
        """Run passes of the same length."""
        for _ in range(count):
            self.run_pass(pass_s)


def sampled_group(pass_s=QUICK_PASS_S):
    """Return a group with passes of one length whose demand was just sampled."""
    group = Group()
    group.run_passes(pass_s, 20)
    group.sample_schedule.note_sample()
    return group


def test_events_of_one_pass_count_once():
    """The spread of events within a pass does not count as a pass."""
    group = Group()
    group.run_passes(QUICK_PASS_S, 20)
    assert group.passes.count == 19
    assert abs(group.passes.usual_s - QUICK_PASS_S) < 1e-6


def test_rest_without_streams_is_no_pass():
    """Guards against an idle second that counts as a shift of the demand."""
    group = sampled_group()
    group.passes.stop()
    group.clock.advance(1.0)
    assert group.sample_schedule.cause() is None
    group.run_passes(QUICK_PASS_S, 2)
    assert group.passes.latest_s < 2 * QUICK_PASS_S


def test_first_look_is_due_at_once():
    """A new controller samples the demand first."""
    assert Group().sample_schedule.cause() is SampleCause.ROUTINE


def test_shift_is_seen_before_its_first_pass_ends():
    """Guards against late streams of a whole group for seconds after a shift.

    After passes of 0.05 s one pass takes 0.15 s.  Sampling once a second, regardless of
    pass times, detects this too late.
    """
    group = sampled_group()
    group.run_passes(QUICK_PASS_S, 6)
    assert group.sample_schedule.cause() is None
    group.clock.advance(0.08)
    assert group.sample_schedule.cause() is SampleCause.JUMP


def test_longer_passes_that_are_in_time_are_left_alone():
    """No sample is due: streams are in time with passes of 0.03 s and 0.06 s."""
    group = sampled_group(0.03)
    group.run_passes(0.06, 6)
    assert group.sample_schedule.cause() is None


def test_long_passes_are_looked_at_again_and_again():
    """Demand is sampled at intervals while passes stay long for another reason."""
    group = sampled_group(0.1)
    group.run_passes(0.1, 9)
    assert group.sample_schedule.cause() is None
    group.run_passes(0.1, 2)
    assert group.sample_schedule.cause() is SampleCause.LONG_PASSES
