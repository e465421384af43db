"""Figures of one level of load of the path measurement."""

from siskinthread.measurement._first_token import FirstTokenSamples

MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MB = 1_000_000
MEDIAN = 0.50
TAIL = 0.99

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
    machine : MachineState
        What the machine was like meanwhile.
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
            "machine": self.machine.as_dict(),
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
