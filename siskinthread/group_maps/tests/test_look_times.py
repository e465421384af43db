"""When demand is counted, by the passes that own streams show."""

from siskinthread.group_maps import GroupMapSettings, LookCause, LookTimes, PassClock
from siskinthread.timing import ManualClock

PASS_LIMIT_S = 0.12
QUICK_PASS_S = 0.05
SETTINGS = GroupMapSettings()


class Group:
    """A group whose passes show in the events of two streams."""

    def __init__(self):
        self.clock = ManualClock()
        self.passes = PassClock()
        self.look_times = LookTimes(self.passes, PASS_LIMIT_S, SETTINGS, self.clock)

    def run_pass(self, pass_s):
        """Let a pass end; its events arrive 2 ms apart."""
        self.clock.advance(pass_s - 0.002)
        self.passes.event_came(self.clock.monotonic_s())
        self.clock.advance(0.002)
        self.passes.event_came(self.clock.monotonic_s())

    def run_passes(self, pass_s, count):
        """Let passes of the same length end."""
        for _ in range(count):
            self.run_pass(pass_s)


def looked_at(pass_s=QUICK_PASS_S):
    """Return a group whose demand was counted just now, with passes of a length."""
    group = Group()
    group.run_passes(pass_s, 20)
    group.look_times.note_look()
    return group


def test_events_of_one_pass_count_once():
    """The spread of events within a pass is not taken for a pass."""
    group = Group()
    group.run_passes(QUICK_PASS_S, 20)
    assert group.passes.count == 19
    assert abs(group.passes.usual_s - QUICK_PASS_S) < 1e-6


def test_rest_without_streams_is_no_pass():
    """Symptom: an idle second looks like a shift of the demand."""
    group = looked_at()
    group.passes.stop()
    group.clock.advance(1.0)
    assert group.look_times.cause() is None
    group.run_passes(QUICK_PASS_S, 2)
    assert group.passes.latest_s < 2 * QUICK_PASS_S


def test_first_look_is_due_at_once():
    """A controller that knows nothing counts first."""
    assert Group().look_times.cause() is LookCause.ROUTINE


def test_shift_is_seen_before_its_first_pass_ends():
    """Symptom: streams of a whole group are late for seconds after demand has shifted.

    Events: passes of 0.05 s, then one that takes 0.15 s.  Cause: the demand was counted
    once a second, whatever passes showed.
    """
    group = looked_at()
    group.run_passes(QUICK_PASS_S, 6)
    assert group.look_times.cause() is None
    group.clock.advance(0.08)
    assert group.look_times.cause() is LookCause.JUMP


def test_longer_passes_that_are_in_time_are_left_alone():
    """A count is paid for; streams are in time with passes of 0.03 s and 0.06 s."""
    group = looked_at(0.03)
    group.run_passes(0.06, 6)
    assert group.look_times.cause() is None


def test_long_passes_are_looked_at_again_and_again():
    """Demand is not counted often for passes that stay long for another reason."""
    group = looked_at(0.1)
    group.run_passes(0.1, 9)
    assert group.look_times.cause() is None
    group.run_passes(0.1, 2)
    assert group.look_times.cause() is LookCause.LONG_PASSES
