"""Seeded model of drifting expert popularity and of groups that run in lock-step.

Traffic is a mix of a few kinds of fault, each with its own log-normal popularity of
experts.  The mix changes over the day, the popularity of single experts drifts, and
bursts of one kind occur.  Reports are samples of the tokens, delayed and incomplete.
"""

import numpy as np

MINUTES_PER_DAY = 1440


class WorkloadSettings:
    """Size and variability of a workload.

    Parameters
    ----------
    rank_count, expert_count, slots_per_rank : int
        Numbers of ranks, of experts and of slots on each rank, for one layer.
    interval_count : int
        Number of intervals, spread evenly over a day.
    spread : float
        Standard deviation of log popularity.
    drift : float
        Standard deviation of the change of log popularity in an interval.
    burst_share : float
        Probability that a burst begins in an interval.
    sampled_tokens : int
        Number of tokens in the statistics of an interval.
    missing_share : float
        Share of reports that are lost.
    lag_intervals : int
        Delay of a report, in intervals.
    slow_rank : int or None
        Rank that is slow after the first third of the run.
    slow_factor : float
        Factor on the time of the slow rank.
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
    """True load and slowness in one interval.

    Parameters
    ----------
    minute : int
        Minute of the UTC day.
    expert_loads : numpy.ndarray
        True tokens of each expert, shape (experts,).
    slowness : numpy.ndarray
        True relative time of each rank for a token, shape (ranks,).
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
        Size and variability.
    random : numpy.random.Generator
        Seeded generator.
    """
    log_popularity = random.normal(
        0, settings.spread, (settings.kind_count, settings.expert_count)
    )
    phases = random.uniform(0, 2 * np.pi, settings.kind_count)
    burst_left, burst_kind = 0, 0
    intervals = []
    for index in range(settings.interval_count):
        log_popularity += random.normal(0, settings.drift, log_popularity.shape)
        angle = 2 * np.pi * index / settings.interval_count
        mix = 1.0 + 0.8 * np.cos(angle + phases)
        if burst_left == 0 and random.random() < settings.burst_share:
            burst_left = int(random.integers(3, 10))
            burst_kind = int(random.integers(settings.kind_count))
        if burst_left:
            burst_left -= 1
            mix[burst_kind] *= 3.0
        popularity = (mix / mix.sum()) @ np.exp(log_popularity)
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
    """Return the reports of the ranks on an interval: expert tokens and rank times.

    Returns
    -------
    tuple of numpy.ndarray
        Tokens of each expert and time of each rank, NaN where the report is lost.
    """
    share = interval.expert_loads / interval.expert_loads.sum()
    tokens = random.multinomial(settings.sampled_tokens, share).astype(float)
    times = expert_map.rank_loads(interval.expert_loads) * interval.slowness
    times *= random.normal(1.0, 0.02, len(times))
    tokens[random.random(len(tokens)) < settings.missing_share] = np.nan
    times[random.random(len(times)) < settings.missing_share] = np.nan
    return tokens, times
