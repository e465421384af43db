"""Seeded model of drifting expert popularity and of lock-step groups.

Popularity follows a few kinds of fault, each with its own log-normal taste of experts.
The mix of kinds turns over the day, single experts drift, now and then one kind bursts,
and what is reported is a sample of the tokens, late and with gaps.
"""

import numpy as np

MINUTES_PER_DAY = 1440


class WorkloadSettings:
    """Size and unrest of a run.

    Parameters
    ----------
    rank_count, expert_count, slots_per_rank : int
        Size of a layer.
    interval_count : int
        Intervals, spread evenly over a day.
    spread : float
        Standard deviation of log popularity.
    drift : float
        Standard deviation of its change in an interval.
    burst_share : float
        Chance that a burst begins in an interval.
    sampled_tokens : int
        Tokens that the statistics of an interval rest on.
    missing_share : float
        Share of reports that get lost.
    lag_intervals : int
        Intervals until a report is seen.
    slow_rank : int or None
        A rank that becomes slow a third into the run.
    slow_factor : float
        Its time relative to the usual.
    """

    __slots__ = (
        "burst_share",
        "drift",
        "expert_count",
        "interval_count",
        "kind_count",
        "lag_intervals",
        "missing_share",
        "rank_count",
        "sampled_tokens",
        "slots_per_rank",
        "slow_factor",
        "slow_rank",
        "spread",
    )

    def __init__(self, rank_count=256, expert_count=256, slots_per_rank=2):
        self.rank_count = rank_count
        self.expert_count = expert_count
        self.slots_per_rank = slots_per_rank
        self.interval_count = 288
        self.spread = 1.0
        self.drift = 0.03
        self.kind_count = 4
        self.burst_share = 0.02
        self.sampled_tokens = 2_000_000
        self.missing_share = 0.02
        self.lag_intervals = 1
        self.slow_rank = 7
        self.slow_factor = 1.4


class Interval:
    """What happens in one interval.

    Parameters
    ----------
    minute : int
        Minute of the UTC day.
    expert_loads : numpy.ndarray
        True tokens of each expert.
    slowness : numpy.ndarray
        True relative time of each rank for a token.
    """

    __slots__ = ("expert_loads", "minute", "slowness")

    def __init__(self, minute, expert_loads, slowness):
        self.minute = minute
        self.expert_loads = expert_loads
        self.slowness = slowness


def make_intervals(settings, random):
    """Return the list of `Interval` of a day.

    Parameters
    ----------
    settings : WorkloadSettings
        Size and unrest.
    random : numpy.random.Generator
        Seeded.
    """
    tastes = random.normal(
        0, settings.spread, (settings.kind_count, settings.expert_count)
    )
    phases = random.uniform(0, 2 * np.pi, settings.kind_count)
    burst_left, burst_kind = 0, 0
    intervals = []
    for index in range(settings.interval_count):
        tastes += random.normal(0, settings.drift, tastes.shape)
        angle = 2 * np.pi * index / settings.interval_count
        mix = 1.0 + 0.8 * np.cos(angle + phases)
        if burst_left == 0 and random.random() < settings.burst_share:
            burst_left = int(random.integers(3, 10))
            burst_kind = int(random.integers(settings.kind_count))
        if burst_left:
            burst_left -= 1
            mix[burst_kind] *= 3.0
        popularity = (mix / mix.sum()) @ np.exp(tastes)
        loads = popularity / popularity.sum() * settings.sampled_tokens
        minute = index * MINUTES_PER_DAY // settings.interval_count
        intervals.append(Interval(minute, loads, _slowness(settings, index)))
    return intervals


def _slowness(settings, index):
    slowness = np.ones(settings.rank_count)
    if settings.slow_rank is not None and index >= settings.interval_count // 3:
        slowness[settings.slow_rank] = settings.slow_factor
    return slowness


def report(settings, interval, expert_map, random):
    """Return what ranks report of an interval: expert tokens and rank times.

    Returns
    -------
    tuple of numpy.ndarray
        Tokens of each expert and time of each rank, NaN where the report got lost.
    """
    share = interval.expert_loads / interval.expert_loads.sum()
    tokens = random.multinomial(settings.sampled_tokens, share).astype(float)
    times = expert_map.rank_loads(interval.expert_loads) * interval.slowness
    times *= random.normal(1.0, 0.02, len(times))
    tokens[random.random(len(tokens)) < settings.missing_share] = np.nan
    times[random.random(len(times)) < settings.missing_share] = np.nan
    return tokens, times
