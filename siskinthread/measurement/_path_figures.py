"""Figures of one level of load of the path measurement."""

from siskinthread.measurement._first_token import FirstTokenSamples

MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MB = 1_000_000
MEDIAN = 0.50
TAIL = 0.99

DELIVERED_FLOOR = 0.98
"""Minimum share of the offered tokens that arrives if the entry keeps up."""

FIRST_TOKEN_LIMIT_MS = 150.0
"""Limit on the 99th percentile of the time to first token if the entry keeps up: 72 ms
in addition to the step of the engines (78 ms), which a request may wait for."""


class RoleFigures:
    """Resource usage of the processes of a role over the window of a level.

    Attributes
    ----------
    count : int
        Number of processes.
    core_share : float
        Mean share of a core that a process uses.
    wait_share : float
        Mean share of the time that a process is runnable but has no core; it explains
        delays on a busy machine that the measured system does not cause.
    resident_bytes, peak_resident_bytes : float
        Mean resident memory of a process at the end, and highest peak of any process.
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
    """Figures of one level of load.

    Attributes
    ----------
    level : LoadLevel
        Offered load.
    load : LoadFigures
        Figures of the callers.
    made_tokens_per_s : float
        Rate of tokens that the engines generated.
    roles : dict of str to RoleFigures
        Resource usage by role.
    machine : MachineState
        State of the machine during the level.
    """

    __slots__ = (
        "level",
        "load",
        "machine",
        "made_tokens_per_s",
        "roles",
    )

    def __init__(self, level, load, made_tokens_per_s, roles, machine):
        self.level = level
        self.load = load
        self.made_tokens_per_s = made_tokens_per_s
        self.roles = roles
        self.machine = machine

    @property
    def delivered_share(self):
        """Ratio of arrived to offered tokens."""
        return self.load.tokens_per_s / self.level.tokens_per_s

    def keeps_up(self):
        """Return whether the tokens arrive, and first tokens within the limit."""
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
            "machine": self.machine.as_dict(),
        }


class LoadFigures:
    """Figures of all caller processes together in one level.

    Parameters
    ----------
    results : list of LoadResult
        Results of the processes.
    samples : FirstTokenSamples
        Times to first token of all processes.
    window_s : float
        Length of the measured window, seconds.
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
        """Rate of arrived tokens."""
        return self._sum("token_count") / self._window_s

    @property
    def fault_count(self):
        """Number of requests that failed or whose answer had wrong bytes."""
        return self._sum("wrong_count") + self._sum("failed_count")

    @property
    def waiting_count(self):
        """Number of requests without a token at the end."""
        return self._sum("waiting_count")

    def first_token_ms(self, share):
        """Return a quantile of the time to first token, milliseconds."""
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
