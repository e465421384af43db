"""Schedule of a path measurement: start times and answer lengths of the requests.

The load is in its steady state at the end of the ramp: the number of running streams
is that which the arrivals sustain, and their numbers of remaining tokens are evenly
distributed over the length of an answer.
"""

import math

GOLDEN_SHARE = (math.sqrt(5) - 1) / 2
LAST_SAMPLE_S = 1.0
"""Minimum time from the start of a sampled request to the end, seconds."""


class LoadLevel:
    """One level of load.

    Parameters
    ----------
    name : str
        Name in the report.
    requests_per_s : float
        Rate of arrivals.
    tokens_per_request : int
        Length of each answer.
    step_s : float
        Step time of the engines, seconds.
    ramp_s : float
        Time over which the streams of the steady state are started, seconds.
    window_s : float
        Length of the measured window, seconds.
    """

    __slots__ = (
        "name",
        "ramp_s",
        "requests_per_s",
        "step_s",
        "tokens_per_request",
        "window_s",
    )

    def __init__(
        self, name, requests_per_s, tokens_per_request, step_s, ramp_s, window_s
    ):
        self.name = name
        self.requests_per_s = requests_per_s
        self.tokens_per_request = tokens_per_request
        self.step_s = step_s
        self.ramp_s = ramp_s
        self.window_s = window_s

    @property
    def tokens_per_s(self):
        """Rate of offered tokens."""
        return self.requests_per_s * self.tokens_per_request

    @property
    def stream_count(self):
        """Number of concurrent streams in the steady state."""
        return round(self.tokens_per_s * self.step_s)


class ScheduledRequest:
    """One request of the schedule.

    Attributes
    ----------
    number : int
        Number in the schedule.
    start_s : float
        Time of its begin after the start of the load, seconds.
    token_count : int
        Length of its answer.
    sampled : bool
        Whether its first token counts: it is an arrival of the steady state, and early
        enough for the token to come before the end.
    """

    __slots__ = ("number", "sampled", "start_s", "token_count")

    def __init__(self, number, start_s, token_count, sampled):
        self.number = number
        self.start_s = start_s
        self.token_count = token_count
        self.sampled = sampled


def schedule(level):
    """Return the `ScheduledRequest` objects of a level, sorted by start time."""
    requests = [*_initial_requests(level), *_arrivals(level)]
    return sorted(requests, key=lambda request: request.start_s)


def _initial_requests(level):
    """Return the streams that run at the end of the ramp.

    Their numbers of remaining tokens at that time are evenly distributed from one to
    the whole length; tokens generated during the ramp are added.
    """
    count = level.stream_count
    requests = []
    for number in range(count):
        left = 1 + int((number * GOLDEN_SHARE % 1.0) * level.tokens_per_request)
        start_s = level.ramp_s * number / count
        ramp_tokens = int((level.ramp_s - start_s) / level.step_s)
        requests.append(ScheduledRequest(number, start_s, left + ramp_tokens, False))
    return requests


def _arrivals(level):
    """Return the arrivals after the ramp.

    Their phases within the step of the engines are a low-discrepancy sequence
    (multiples of the golden ratio).  The wait for the next step is the largest part of
    the time to first token, so random phases would hide a difference of milliseconds.
    """
    first_number = level.stream_count
    last_sample_s = level.ramp_s + level.window_s - LAST_SAMPLE_S
    count = math.ceil(level.window_s * level.requests_per_s)
    requests = []
    for index in range(count):
        even_s = level.ramp_s + index / level.requests_per_s
        start_s = _at_phase(even_s, index * GOLDEN_SHARE % 1.0, level.step_s)
        requests.append(
            ScheduledRequest(
                first_number + index,
                start_s,
                level.tokens_per_request,
                start_s <= last_sample_s,
            )
        )
    return requests


def _at_phase(time_s, phase, step_s):
    """Return the time with the given phase that is nearest to `time_s`."""
    steps = round(time_s / step_s - phase)
    return (steps + phase) * step_s
