"""Estimates the current pass of a group, and the time of its passes."""

import math

# Assumed time of a pass while none has been timed, in an idle or re-formed group;
# between 0.03 s of the fastest engines and 0.1 s of a fully loaded group.
DEFAULT_PASS_S = 0.06
MIN_PASS_S = 0.02
MAX_PASS_S = 1.0
# Shortest span over which passes are timed. Two reports closer together may lie on
# either side of the end of a pass, which makes passes seem several times shorter than
# they are. Then a hold names a pass that is far off, and the change waits for it.
MIN_SPAN_S = 0.15
# Limit of attempts to hold a pass. The named pass may already have started, and then
# the next one is tried. An attempt takes a few milliseconds, and a pass about ten times
# as long.
HOLD_ATTEMPTS = 8
# Factor by which passes may have slowed down since the last report.
SLOWDOWN = 4


class PassEstimate:
    """Number of the current pass, extrapolated from the last reported pass.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock for the times of passes.

    Attributes
    ----------
    pass_s : float
        Estimated time of a pass, seconds.
    """

    __slots__ = (
        "_clock",
        "_number",
        "_span_began_s",
        "_span_number",
        "_reported_s",
        "pass_s",
    )

    def __init__(self, clock):
        self._clock = clock
        self.restart()

    def restart(self):
        """Reset the estimate, as for a group that has re-formed."""
        self._number = None
        self._reported_s = None
        # Start of the span over which passes are timed.
        self._span_number = None
        self._span_began_s = None
        self.pass_s = DEFAULT_PASS_S

    def expect_at_least(self, pass_s):
        """Raise the estimated time of a pass to a predicted time, if it is lower."""
        self.pass_s = min(MAX_PASS_S, max(self.pass_s, pass_s))

    def note(self, number, age_s):
        """Add a reported pass number that is `age_s` seconds old."""
        reported_s = self._clock.monotonic_s() - age_s
        if self._number is not None and reported_s < self._reported_s:
            return
        if self._number is not None and number < self._number:
            # Pass numbers restart when the group re-forms.
            self.restart()
        self._update_pass_time(number, reported_s)
        self._number = number
        self._reported_s = reported_s

    def _update_pass_time(self, number, reported_s):
        """Update the pass time from the passes of the span, if it is long enough."""
        if self._span_number is None:
            self._span_number, self._span_began_s = number, reported_s
            return
        span_s = reported_s - self._span_began_s
        if number > self._span_number and span_s >= MIN_SPAN_S:
            pass_s = span_s / (number - self._span_number)
            self.pass_s = min(MAX_PASS_S, max(MIN_PASS_S, pass_s))
            self._span_number, self._span_began_s = number, reported_s
        elif number == self._span_number and span_s > MAX_PASS_S:
            # An idle group starts no passes.
            self._span_began_s = reported_s

    def number_now(self, slowdown=1):
        """Return the estimated number of the pass that was started last.

        Parameters
        ----------
        slowdown : float
            Factor by which passes are assumed to be longer since the last report.
        """
        if self._number is None:
            return 0
        since_s = self._clock.monotonic_s() - self._reported_s
        return self._number + math.floor(since_s / (self.pass_s * slowdown))


def passes_to_hold(passes, find_retry_allowance_s):
    """Yield the numbers of passes to hold, in the order to try them.

    The first number fits if passes have just become longer: if the group is believed to
    be further ahead than it is, it runs several long passes before the change.
    Otherwise that pass has already started, and the order to hold it is refused.  It
    isn't tried if it may not have started, since the group would reach it before all
    ranks are armed.

    Parameters
    ----------
    passes : PassEstimate
        Estimate of the current pass; read again for each attempt.
    find_retry_allowance_s : callable
        Returns the time to allow for retries of orders, seconds.
    """
    retry_allowance_s = find_retry_allowance_s()
    slow_ahead = 1 + math.ceil(retry_allowance_s / (passes.pass_s * SLOWDOWN))
    slow_number = passes.number_now(SLOWDOWN) + slow_ahead
    # Numbers are estimates, and the group may be one pass behind.
    if slow_number + (retry_allowance_s > 0.0) <= passes.number_now():
        yield slow_number
    extra_ahead = 0
    for step in range(HOLD_ATTEMPTS):
        retry_allowance_s = find_retry_allowance_s()
        # The group may be one pass further than estimated; a single order still fits.
        ahead = (
            1 + (retry_allowance_s > 0.0) + math.ceil(retry_allowance_s / passes.pass_s)
        )
        yield passes.number_now() + extra_ahead + ahead
        # The distance grows with each attempt, or a group with short passes would
        # always be ahead.
        extra_ahead += 1 + step
