"""Selects the targets that are expected to answer a request first.

Some targets of a service are slower than others, or slow down when nearly full. With a
choice by load alone, a slow target gets as many concurrent requests as a fast one, and
its requests are late.
"""

import math

# Standard deviation of a reported request count, in slots: counts are assumed to be
# correct to the nearest integer.
COUNT_DEVIATION = 0.5
# Requests per target that peers start between reports, from which on reported loads are
# not used to compare targets.
UNREPORTED_LIMIT = 1.0
# Exponent of the speed in the draw of a target. With 2, two of three targets at 0.3 of
# their capacity answered 0.996 to 1.000 in time beside a four times slower one; with 1
# it was 0.994 to 0.997.
SPEED_EXPONENT = 2
# Cost of a failed request that may be retried, in request durations.
RETRY_COST = 1.0


class Candidate:
    """A target that a request may be sent to.

    Parameters
    ----------
    entry : TargetEntry
        The target.
    count : int
        Estimated number of its requests.
    own_count : int
        Number of these that this host has sent.
    speed : TargetSpeed or None
        Its deviating speed, or None if the speed is typical.
    is_repeatable : bool
        Whether the request may be retried if the target fails it.
    """

    __slots__ = ("count", "entry", "is_repeatable", "own_count", "speed")

    def __init__(self, entry, count, own_count, speed, is_repeatable=True):
        self.is_repeatable = is_repeatable
        self.entry = entry
        self.count = count
        self.own_count = own_count
        self.speed = speed


class Preference:
    """The preferred targets, among which load and chance decide.

    Parameters
    ----------
    entries : list of TargetEntry
        The targets, at least one.
    is_trial : bool
        Whether the request tests if a slow target has recovered.
    """

    __slots__ = ("entries", "is_trial")

    def __init__(self, entries, is_trial=False):
        self.entries = entries
        self.is_trial = is_trial


class SpeedPlacement:
    """Prefers the targets with the shortest expected time.

    Parameters
    ----------
    settings : SpeedSettings
        Similarity ratio, and rate of recovery trials.
    clock : siskinthread.timing.Clock
        Clock of the trials.
    random : random.Random
        Draws targets, and decides which host makes a trial.

    Notes
    -----
    Where peers start more than one request per target between their reports, the loads
    of single targets are unknown: hosts that all took the target with the shortest
    expected time would fill it, and then the next one. In that case a target is drawn
    with the square of its speed as weight, so that a 12 times slower one gets one
    request for every 144 of a typical target.

    A target is left out only if another one replaces it: a single admitting target is
    always used.
    """

    __slots__ = ("_clock", "_random", "_settings")

    def __init__(self, settings, clock, random):
        self._settings = settings
        self._clock = clock
        self._random = random

    def prefer(self, candidates, unseen_count, fleet_per_s, max_load=1.0):
        """Return the `Preference` among some targets.

        Parameters
        ----------
        candidates : list of Candidate
            The targets, at least one.
        unseen_count : float
            Requests that peers have started since their last reports.
        fleet_per_s : float
            Requests per second of all hosts, at least those of this host.
        max_load : float
            Requests per slot from which on a target takes no more.
        """
        trials = [c for c in candidates if self._is_trial_due(c, fleet_per_s)]
        if trials:
            return Preference([self._random.choice(trials).entry], is_trial=True)
        load_limit = max(1.0, max_load)
        free = [c for c in candidates if c.count < load_limit * c.entry.slot_count]
        candidates = free or candidates
        if unseen_count < UNREPORTED_LIMIT * len(candidates):
            times = [self.expected_time(c, c.count) for c in candidates]
            time = min(times)
        else:
            times = [self.time_at_unknown_load(c) for c in candidates]
            weights = [t**-SPEED_EXPONENT for t in times]
            time = self._random.choices(times, weights)[0]
        ratio = self._settings.alike_ratio
        return Preference(
            [
                candidate.entry
                for candidate, candidate_time in zip(candidates, times, strict=True)
                if time / ratio <= candidate_time <= time * ratio
            ]
        )

    def expected_time(self, candidate, count):
        """Return the expected time at a target, relative to that at a typical one.

        Parameters
        ----------
        candidate : Candidate
            The target.
        count : int
            Number of its requests.
        """
        slots = max(1, candidate.entry.slot_count)
        wait = expected_excess(count + 1 - slots) / slots
        is_nearly_full = (count + 1) / slots > self._settings.near_full_load
        return self._slowness(candidate, is_nearly_full) * (1.0 + wait)

    def time_at_unknown_load(self, candidate):
        """Return the expected time at a target of unknown load.

        The target may be nearly full, so the larger slowness is used. With one target
        that slows down when nearly full, at 0.3 of the capacity and 62 hosts, 0.994 of
        the requests were in time, and 0.972 with the slowness at low load.
        """
        return self._slowness(candidate, is_nearly_full=True)

    def _slowness(self, candidate, is_nearly_full):
        """Return the relative time without queueing, including the cost of failures."""
        speed = candidate.speed
        if speed is None:
            return 1.0
        slowness = max(speed.low, speed.high) if is_nearly_full else speed.low
        cost = RETRY_COST if candidate.is_repeatable else self._settings.failure_cost
        return slowness * (1.0 + cost * speed.failure_share)

    def _is_trial_due(self, candidate, fleet_per_s):
        """Return whether a request should test if a slow target has recovered."""
        speed = candidate.speed
        if speed is None or speed.low <= 1.0 or candidate.own_count:
            return False
        if candidate.count >= candidate.entry.slot_count:
            return False
        idle_s = self._clock.monotonic_s() - speed.newest_s
        if idle_s < self._settings.trial_wait_s:
            return False
        return self._random.random() * fleet_per_s < self._settings.trials_per_s


def expected_excess(mean):
    """Return the mean excess over 0 of a count known to half a slot."""
    distance = mean / COUNT_DEVIATION
    below = 0.5 * (1 + math.erf(distance / math.sqrt(2)))
    density = math.exp(-distance * distance / 2) / math.sqrt(2 * math.pi)
    return COUNT_DEVIATION * (distance * below + density)
