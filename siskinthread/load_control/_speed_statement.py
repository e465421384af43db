"""Speed of a target as hosts report it to one another."""

import math

# Bounds of reported values, so that a wrong report can't outweigh all others.
MAX_WEIGHT = 1000.0
MAX_LOG_RATIO = 6.0
MILLISECONDS_PER_SECOND = 1000
DIGITS = 2
# Decay time of reported weights, seconds, equal to that of measured ones.
MEMORY_S = 0.5


class SpeedStatement:
    """Durations and failures of requests at a target, from one or several hosts.

    Durations are logarithms, relative to the typical duration of each request. All
    values but the age are sums, so that statements of several hosts can be added.

    Parameters
    ----------
    low_weight, low_total : float
        Weight of the requests that found the target with free slots, and sum of their
        weighted log durations.
    high_weight, high_total : float
        The same for requests that found the target nearly full.
    tries, failures : float
        Weight of all requests, and of those that failed.
    age_s : float
        Time since the newest request, seconds.
    """

    __slots__ = (
        "age_s",
        "failures",
        "high_total",
        "high_weight",
        "low_total",
        "low_weight",
        "tries",
    )

    def __init__(
        self,
        low_weight=0.0,
        low_total=0.0,
        high_weight=0.0,
        high_total=0.0,
        tries=0.0,
        failures=0.0,
        age_s=math.inf,
    ):
        self.low_weight = low_weight
        self.low_total = low_total
        self.high_weight = high_weight
        self.high_total = high_total
        self.tries = tries
        self.failures = failures
        self.age_s = age_s

    @property
    def weight(self):
        """Total weight of the durations."""
        return self.low_weight + self.high_weight

    def low(self):
        """Return the mean log duration at free slots, or None without any request.

        The mean of all requests is returned instead if more weight is on requests that
        found the target nearly full.
        """
        if self.low_weight >= self.high_weight and self.low_weight:
            return self.low_total / self.low_weight
        return (self.low_total + self.high_total) / self.weight if self.weight else None

    def plus(self, other):
        """Return the sum of this and another statement."""
        return SpeedStatement(
            self.low_weight + other.low_weight,
            self.low_total + other.low_total,
            self.high_weight + other.high_weight,
            self.high_total + other.high_total,
            self.tries + other.tries,
            self.failures + other.failures,
            min(self.age_s, other.age_s),
        )

    def aged(self, by_s):
        """Return the statement with its weights decayed by some seconds."""
        factor = math.exp(-by_s / MEMORY_S)
        return SpeedStatement(
            self.low_weight * factor,
            self.low_total * factor,
            self.high_weight * factor,
            self.high_total * factor,
            self.tries,
            self.failures,
            self.age_s + by_s,
        )

    def as_row(self):
        """Return the values as a row of a datagram."""
        sums = (
            self.low_weight,
            self.low_total,
            self.high_weight,
            self.high_total,
            self.tries,
            self.failures,
        )
        age_ms = round(min(self.age_s, MAX_WEIGHT) * MILLISECONDS_PER_SECOND)
        return [*(round(value, DIGITS) for value in sums), age_ms]

    @classmethod
    def from_row(cls, row):
        """Return the statement encoded in a row.

        Raises
        ------
        ValueError, TypeError
            If the row is invalid.
        """
        *sums, age_ms = row
        low_weight, low_total, high_weight, high_total, tries, failures = map(
            _finite, sums
        )
        low_weight, high_weight = _weight(low_weight), _weight(high_weight)
        tries = _weight(tries)
        return cls(
            low_weight,
            _total(low_total, low_weight),
            high_weight,
            _total(high_total, high_weight),
            tries,
            min(_weight(failures), tries),
            max(0, int(age_ms)) / MILLISECONDS_PER_SECOND,
        )


def add_speeds(sums, statements):
    """Add the `SpeedStatement` of each target to the sums by target, in place."""
    for instance_id, statement in statements.items():
        known = sums.get(instance_id)
        sums[instance_id] = statement if known is None else known.plus(statement)


def slowest(statements, count):
    """Return the statements of at most `count` targets, the slowest ones."""
    if len(statements) <= count:
        return statements
    ids = sorted(statements, key=lambda name: -(statements[name].low() or 0.0))
    return {name: statements[name] for name in ids[:count]}


def _finite(value):
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value} is not a finite number")
    return number


def _weight(value):
    return min(max(0.0, value), MAX_WEIGHT)


def _total(value, weight):
    most = weight * MAX_LOG_RATIO
    return min(max(-most, value), most)
