"""Which pass a group is at, and how long its passes take."""

import math

# A pass of an idle or just formed group has not been timed; between the fastest
# engines' 0.03 s and a fully loaded group's 0.1 s.
USUAL_PASS_S = 0.06
LEAST_PASS_S = 0.02
LONGEST_PASS_S = 1.0


class PassEstimate:
    """Number of the current pass, reckoned from the last one that was told.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock of the passes.

    Attributes
    ----------
    pass_s : float
        Time of a pass, seconds.
    """

    __slots__ = ("_clock", "_number", "_told_s", "pass_s")

    def __init__(self, clock):
        self._clock = clock
        self._number = None
        self._told_s = None
        self.pass_s = USUAL_PASS_S

    def note(self, number, age_s):
        """Take the number of a pass as it was `age_s` seconds ago."""
        told_s = self._clock.monotonic_s() - age_s
        if self._number is not None and told_s < self._told_s:
            return
        if self._number is not None and number > self._number:
            pass_s = (told_s - self._told_s) / (number - self._number)
            self.pass_s = min(LONGEST_PASS_S, max(LEAST_PASS_S, pass_s))
        if self._number is not None and number < self._number:
            # Reports count from anew once the group has formed anew.
            self.pass_s = USUAL_PASS_S
        self._number = number
        self._told_s = told_s

    def number_now(self, slowdown=1):
        """Return the pass that the group has probably begun last.

        Parameters
        ----------
        slowdown : float
            How many times longer passes are taken to be since the last one was told.
        """
        if self._number is None:
            return 0
        since_s = self._clock.monotonic_s() - self._told_s
        return self._number + math.floor(since_s / (self.pass_s * slowdown))
