"""Report of the path measurement: figures and checks of their bounds."""

from siskinthread.measurement._path_figures import (
    BYTES_PER_MB,
    DELIVERED_FLOOR,
    FIRST_TOKEN_LIMIT_MS,
    MEDIAN,
    TAIL,
)
from siskinthread.measurement._slopes import fit_memory, fit_slopes

BYTES_PER_KB = 1000
ENTRY = "entry"
AGENT = "agent"

ENTRY_CORE_LIMIT = 0.35
ADDED_MEDIAN_LIMIT_MS = 3.0
ADDED_TAIL_LIMIT_MS = 15.0
CAPACITY_LIMIT = 3
RESIDENT_LIMIT_MB = 128.0


class Check:
    """Comparison of a figure with its bound.

    Attributes
    ----------
    name : str
        Name of the figure.
    value, bound : float
        Figure and bound, in the unit of the name.
    met : bool
        Whether the figure meets the bound.
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
        """Return the rounded check as a dict for JSON."""
        return {"value": round(self.value, 3), "bound": self.bound, "met": self.met}


class PathReport:
    """All figures of a path measurement.

    Parameters
    ----------
    idle : dict of str to RoleFigures
        Resource usage by role without requests.
    direct : LevelFigures
        Level at the share of the plan, with requests sent directly to the engines.
    short : LevelFigures
        Level with many short answers.
    multiples : list of LevelFigures
        Levels at the share of the plan and its multiples, in ascending order.
    """

    __slots__ = ("direct", "idle", "multiples", "short")

    def __init__(self, idle, direct, short, multiples):
        self.idle = idle
        self.direct = direct
        self.short = short
        self.multiples = multiples

    @property
    def share(self):
        """Figures at the share of one entry host in the plan."""
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
        """Return whether every figure meets its bound."""
        return all(check.met for check in self.checks())

    def slopes(self, role):
        """Return the `Slopes` of one process of a role.

        The fit uses the levels at which the entry keeps up.
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
        """Return the memory of a process of a role without streams, and per stream."""
        points = [
            (each.level.stream_count / each.roles[role].count, resident_bytes)
            for each in self._fitted_levels()
            for resident_bytes in [each.roles[role].resident_bytes]
        ]
        return fit_memory([(0, self.idle[role].resident_bytes), *points])

    def as_dict(self):
        """Return the report as a dict for JSON."""
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
