"""Figures of the path measurement, and the bounds that they are held against."""

from siskinthread.measurement._first_token import FirstTokenSamples
from siskinthread.measurement._slopes import fit_memory, fit_slopes

MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1000
ENTRY = "entry"
AGENT = "agent"
MEDIAN = 0.50
TAIL = 0.99

ENTRY_CORE_LIMIT = 0.35
ADDED_MEDIAN_LIMIT_MS = 3.0
ADDED_TAIL_LIMIT_MS = 15.0
CAPACITY_LIMIT = 3
RESIDENT_LIMIT_MB = 128.0

DELIVERED_FLOOR = 0.98
"""Part of the offered tokens that must arrive for the entry to keep up."""

FIRST_TOKEN_LIMIT_MS = 150.0
"""Bound on the 99th percentile of the first token for the entry to keep up: the step
of the engines (78 ms), which a request may have to wait for, and 72 ms."""


class RoleFigures:
    """What the processes of a role used over the window of a level.

    Attributes
    ----------
    count : int
        Number of processes.
    core_share : float
        Mean share of a core of one process.
    wait_share : float
        Mean share of the time that one was ready but got no core; on a busy machine
        it explains delays that are not the system's.
    resident_bytes, peak_resident_bytes : float
        Mean resident memory of one process at the end, and the highest of any.
    """

    __slots__ = (
        "core_share",
        "count",
        "peak_resident_bytes",
        "resident_bytes",
        "wait_share",
    )

    def __init__(
        self, count, core_share, wait_share, resident_bytes, peak_resident_bytes
    ):
        self.count = count
        self.wait_share = wait_share
        self.core_share = core_share
        self.resident_bytes = resident_bytes
        self.peak_resident_bytes = peak_resident_bytes

    def as_dict(self):
        """Return the figures, rounded, for JSON."""
        return {
            "count": self.count,
            "core_share": round(self.core_share, 4),
            "wait_share": round(self.wait_share, 4),
            "resident_mb": round(self.resident_bytes / BYTES_PER_MB, 1),
            "peak_resident_mb": round(self.peak_resident_bytes / BYTES_PER_MB, 1),
        }


class LevelFigures:
    """What one level of load came to.

    Attributes
    ----------
    level : LoadLevel
        The load.
    load : LoadFigures
        What the callers saw.
    made_tokens_per_s : float
        Tokens that the engines made.
    roles : dict of str to RoleFigures
        By role.
    load_average : float
        The machine's load average over a minute, at the end.
    """

    __slots__ = (
        "level",
        "load",
        "load_average",
        "made_tokens_per_s",
        "roles",
    )

    def __init__(self, level, load, made_tokens_per_s, roles, load_average):
        self.level = level
        self.load = load
        self.made_tokens_per_s = made_tokens_per_s
        self.roles = roles
        self.load_average = load_average

    @property
    def delivered_share(self):
        """Tokens that arrived over the tokens offered."""
        return self.load.tokens_per_s / self.level.tokens_per_s

    def keeps_up(self):
        """Return whether all tokens arrive, and the first of each in time."""
        return (
            self.load.fault_count == 0
            and self.load.waiting_count == 0
            and self.delivered_share >= DELIVERED_FLOOR
            and self.load.first_token_ms(TAIL) <= FIRST_TOKEN_LIMIT_MS
        )

    def as_dict(self):
        """Return the figures, rounded, for JSON."""
        return {
            "requests_per_s": self.level.requests_per_s,
            "offered_tokens_per_s": round(self.level.tokens_per_s),
            "made_tokens_per_s": round(self.made_tokens_per_s),
            "delivered_share": round(self.delivered_share, 4),
            "streams": self.level.stream_count,
            "keeps_up": self.keeps_up(),
            **self.load.as_dict(),
            **{role: figures.as_dict() for role, figures in self.roles.items()},
            "load_average": round(self.load_average, 2),
        }


class LoadFigures:
    """What all processes of callers saw together in one level.

    Parameters
    ----------
    results : list of LoadResult
        Their results.
    samples : FirstTokenSamples
        Their times to the first token.
    window_s : float
        Time that was measured, seconds.
    """

    __slots__ = ("_results", "_samples", "_window_s")

    def __init__(self, results, samples, window_s):
        self._results = results
        self._samples = samples
        self._window_s = window_s

    @classmethod
    def of(cls, level, results):
        """Return the figures of a level from the results of its processes."""
        times_s = [each for result in results for each in result.first_token_times_s]
        waits_s = [each for result in results for each in result.next_step_waits_s]
        samples = FirstTokenSamples(times_s, waits_s, level.step_s)
        return cls(results, samples, level.window_s)

    @property
    def tokens_per_s(self):
        """Tokens that arrived a second."""
        return self._sum("token_count") / self._window_s

    @property
    def fault_count(self):
        """Requests that failed or got a wrong byte."""
        return self._sum("wrong_count") + self._sum("failed_count")

    @property
    def waiting_count(self):
        """Requests that had no token at the end."""
        return self._sum("waiting_count")

    def first_token_ms(self, share):
        """Return a quantile of the time to the first token, milliseconds."""
        return self._samples.quantile_s(share) * MILLISECONDS_PER_SECOND

    def first_token_error_ms(self, share):
        """Return the standard error of the quantile, milliseconds."""
        return self._samples.quantile_error_s(share) * MILLISECONDS_PER_SECOND

    def as_dict(self):
        """Return the figures, rounded, for JSON."""
        return {
            "first_token_p50_ms": round(self.first_token_ms(MEDIAN), 2),
            "first_token_p50_error_ms": round(self.first_token_error_ms(MEDIAN), 2),
            "first_token_p99_ms": round(self.first_token_ms(TAIL), 2),
            "first_token_p99_error_ms": round(self.first_token_error_ms(TAIL), 2),
            "samples": len(self._samples),
            "whole_answers": self._sum("whole_count"),
            "cut_answers": self._sum("cut_count"),
            "wrong_answers": self._sum("wrong_count"),
            "failed_requests": self._sum("failed_count"),
            "waiting_requests": self.waiting_count,
            "callers_core_share": round(self._sum("core_share"), 3),
        }

    def _sum(self, name):
        return sum(getattr(result, name) for result in self._results)


class Check:
    """One figure against its bound.

    Attributes
    ----------
    name : str
        Name of the figure.
    value, bound : float
        Both in the unit that the name states.
    met : bool
        Whether the figure keeps the bound.
    """

    __slots__ = ("bound", "met", "name", "value")

    def __init__(self, name, value, bound, met):
        self.name = name
        self.value = value
        self.bound = bound
        self.met = met

    @classmethod
    def at_most(cls, name, value, bound):
        """Return the check of a figure that must not exceed its bound."""
        return cls(name, value, bound, value <= bound)

    def __str__(self):
        state = "kept" if self.met else "not kept"
        return f"{self.name}: {self.value:.3f}, bound {self.bound:g}, {state}"

    def as_dict(self):
        """Return the check, rounded, for JSON."""
        return {"value": round(self.value, 3), "bound": self.bound, "met": self.met}


class PathReport:
    """All figures of a path measurement.

    Parameters
    ----------
    idle : dict of str to RoleFigures
        By role, without requests.
    direct : LevelFigures
        Callers at the engines themselves, at the plan's share.
    short : LevelFigures
        Many short answers.
    multiples : list of LevelFigures
        The plan's share and its multiples, in rising order.
    """

    __slots__ = ("direct", "idle", "multiples", "short")

    def __init__(self, idle, direct, short, multiples):
        self.idle = idle
        self.direct = direct
        self.short = short
        self.multiples = multiples

    @property
    def share(self):
        """Figures at the plan's share of one entry host."""
        return self.multiples[0]

    def added_ms(self, quantile):
        """Return the time that the path adds to a quantile of the first token."""
        via_ms = self.share.load.first_token_ms(quantile)
        return via_ms - self.direct.load.first_token_ms(quantile)

    def added_error_ms(self, quantile):
        """Return the standard error of `added_ms`."""
        via_ms = self.share.load.first_token_error_ms(quantile)
        direct_ms = self.direct.load.first_token_error_ms(quantile)
        return (via_ms**2 + direct_ms**2) ** 0.5

    def capacity(self):
        """Return the highest multiple of the share up to which the entry keeps up."""
        capacity = 0
        for figures in self.multiples:
            if not figures.keeps_up():
                break
            capacity = round(figures.level.tokens_per_s / self.share.level.tokens_per_s)
        return capacity

    def checks(self):
        """Return the `Check` of every bound."""
        entry = self.share.roles[ENTRY]
        resident_mb = entry.peak_resident_bytes / BYTES_PER_MB
        capacity = self.capacity()
        added_median_ms = self.added_ms(MEDIAN)
        added_tail_ms = self.added_ms(TAIL)
        faults = sum(each.load.fault_count for each in self._levels().values())
        at_most = Check.at_most
        return [
            at_most("entry_core_share", entry.core_share, ENTRY_CORE_LIMIT),
            at_most("added_p50_ms", added_median_ms, ADDED_MEDIAN_LIMIT_MS),
            at_most("added_p99_ms", added_tail_ms, ADDED_TAIL_LIMIT_MS),
            at_most("entry_peak_resident_mb", resident_mb, RESIDENT_LIMIT_MB),
            at_most("faults", faults, 0),
            Check("capacity", capacity, CAPACITY_LIMIT, capacity >= CAPACITY_LIMIT),
        ]

    def holds(self):
        """Return whether every figure keeps its bound."""
        return all(check.met for check in self.checks())

    def slopes(self, role):
        """Return the `Slopes` of one process of a role.

        They are fitted to the levels that the entry kept up with.
        """
        points = [
            (
                each.level.requests_per_s / each.roles[role].count,
                each.load.tokens_per_s / each.roles[role].count,
                each.roles[role].core_share,
            )
            for each in self._fitted_levels()
        ]
        return fit_slopes(points, self.idle[role].core_share)

    def memory(self, role):
        """Return the bytes of one process of a role without and for each stream."""
        points = [
            (each.level.stream_count / each.roles[role].count, resident_bytes)
            for each in self._fitted_levels()
            for resident_bytes in [each.roles[role].resident_bytes]
        ]
        return fit_memory([(0, self.idle[role].resident_bytes), *points])

    def as_dict(self):
        """Return the report for JSON."""
        return {
            "checks": {check.name: check.as_dict() for check in self.checks()},
            "added_p50_error_ms": round(self.added_error_ms(MEDIAN), 2),
            "added_p99_error_ms": round(self.added_error_ms(TAIL), 2),
            "bounds": {
                "delivered_floor": DELIVERED_FLOOR,
                "first_token_p99_ms": FIRST_TOKEN_LIMIT_MS,
            },
            "slopes": {role: self._slopes_dict(role) for role in self.idle},
            "idle": {role: each.as_dict() for role, each in self.idle.items()},
            "levels": {name: each.as_dict() for name, each in self._levels().items()},
        }

    def _slopes_dict(self, role):
        without_bytes, stream_bytes = self.memory(role)
        return {
            **self.slopes(role).as_dict(),
            "resident_mb": round(without_bytes / BYTES_PER_MB, 1),
            "stream_kb": round(stream_bytes / BYTES_PER_KB, 2),
        }

    def _levels(self):
        levels = [self.direct, self.short, *self.multiples]
        return {each.level.name: each for each in levels}

    def _fitted_levels(self):
        return [self.short, *(each for each in self.multiples if each.keeps_up())]
