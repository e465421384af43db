"""When the requests of a path measurement begin and how long their answers are.

The load is in its steady state as soon as the ramp is over: as many streams run as
arrivals keep up, with tokens left spread evenly over the length of an answer.
"""

import math

GOLDEN_SHARE = (math.sqrt(5) - 1) / 2
LAST_SAMPLE_S = 1.0
"""Time before the end at which the last sampled request begins."""


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
        Time over which the streams of the steady state are begun, seconds.
    window_s : float
        Time that is measured, seconds.
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
        """Tokens offered a second."""
        return self.requests_per_s * self.tokens_per_request

    @property
    def stream_count(self):
        """Streams that run at once in the steady state."""
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
    """Return the `ScheduledRequest` objects of a level in the order of their begin."""
    requests = [*_initial_requests(level), *_arrivals(level)]
    return sorted(requests, key=lambda request: request.start_s)


def _initial_requests(level):
    """Return the streams that run at the end of the ramp.

    Their tokens left at that time are spread evenly from one to the whole length; what
    they make before comes on top.
    """
    count = level.stream_count
    requests = []
    for number in range(count):
        left = 1 + int((number * GOLDEN_SHARE % 1.0) * level.tokens_per_request)
        start_s = level.ramp_s * number / count
        made_before = int((level.ramp_s - start_s) / level.step_s)
        requests.append(ScheduledRequest(number, start_s, left + made_before, False))
    return requests


def _arrivals(level):
    """Return the arrivals after the ramp.

    Their phases within the engines' step are a low-discrepancy sequence (multiples of
    the golden section), since the wait for the next step is the greatest part of the
    time to the first token: random phases would hide a difference of milliseconds.
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
    """Return the time nearest to another one that lies at a phase of the step."""
    steps = round(time_s / step_s - phase)
    return (steps + phase) * step_s
