"""Schedule of the samples of a group's demand.

A sample is charged for and makes the group pause, while the times of passes show
without cost whether a sample is needed.  While passes are short, streams are in time
with any map.  When demand shifts, all passes grow longer at once, and each pass is late
for every stream of the group until the map follows.
"""

import enum


class SampleCause(enum.Enum):
    """Reason for a sample of the demand."""

    # Passes have suddenly become longer.
    JUMP = "passes became longer"
    # Passes are close to the longest pass that is in time.
    LONG_PASSES = "passes are long"
    # The group has re-formed with the first map.
    REFORMED = "group has re-formed"
    # There is no sample yet, or the last one is old.
    ROUTINE = "routine"


class SampleSchedule:
    """Decides when to sample the demand.

    Parameters
    ----------
    pass_clock : PassClock or PassView
        Pass times from stream events.
    pass_limit_s : float
        Longest pass with which streams are in time, seconds.
    settings : GroupMapSettings
        Intervals and ratios.
    clock : siskinthread.timing.Clock
        Clock for the intervals.
    """

    __slots__ = ("_clock", "_last_s", "_pass_clock", "_pass_limit_s", "_settings")

    def __init__(self, pass_clock, pass_limit_s, settings, clock):
        self._pass_clock = pass_clock
        self._pass_limit_s = pass_limit_s
        self._settings = settings
        self._clock = clock
        self._last_s = None

    def note_sample(self):
        """Record that the demand is sampled now."""
        self._last_s = self._clock.monotonic_s()

    def forget(self):
        """Make the next sample due immediately."""
        self._last_s = None

    def cause(self):
        """Return the `SampleCause` if a sample is due, or None."""
        if self._last_s is None:
            return SampleCause.ROUTINE
        settings = self._settings
        now_s = self._clock.monotonic_s()
        since_s = now_s - self._last_s
        if since_s < settings.least_look_interval_s:
            return None
        if self._has_jumped(now_s):
            return SampleCause.JUMP
        if since_s >= settings.look_limit_s:
            return SampleCause.ROUTINE
        if since_s >= settings.busy_look_interval_s and self._are_passes_long():
            return SampleCause.LONG_PASSES
        return None

    def _has_jumped(self, now_s):
        current_s = self._pass_clock.current_s(now_s)
        if current_s is None:
            return False
        settings = self._settings
        return (
            current_s > self._pass_limit_s * settings.short_pass_share
            and current_s > self._pass_clock.usual_s * settings.jump_ratio
        )

    def _are_passes_long(self):
        usual_s = self._pass_clock.usual_s
        if usual_s is None:
            return False
        return usual_s > self._pass_limit_s * self._settings.short_pass_share
