"""Detects targets of deviating speed from the measurements of all hosts."""

import math

from siskinthread.load_control._speed_statement import slowest
from siskinthread.observability import part_logger

_logger = part_logger("load_control")

# Time for which the view of a service is cached, seconds: a fifth of the interval
# between load reports, and of the time after which a request of 22 ms that became 12
# times slower can be late.
VIEW_CACHE_S = 0.02
# Minimum weight of a statement that counts as new evidence.
FRESH_WEIGHT = 0.5
# Number of measured targets from which on their median is the reference.
MEDIAN_COUNT = 3
# Minimum number and fraction of failed requests of a failing target.
MIN_FAILURES = 1.5
MIN_FAILURE_SHARE = 0.04


class TargetSpeed:
    """Speed of one target.

    Attributes
    ----------
    low, high : float
        Slowness relative to the median target, where slots are free and where the
        target is nearly full.
    failure_share : float
        Fraction of its requests that fail.
    newest_s, high_newest_s : float
        End of the newest request that the estimate depends on, and time of the newest
        estimate of `high`, monotonic seconds.
    """

    __slots__ = ("failure_share", "high", "high_newest_s", "low", "newest_s")

    def __init__(self):
        self.low = 1.0
        self.high = 1.0
        self.failure_share = 0.0
        self.newest_s = -math.inf
        self.high_newest_s = -math.inf

    @property
    def is_usual(self):
        """Whether the speed is that of the other targets."""
        return self.low == self.high == 1.0 and not self.failure_share


class SpeedView:
    """Speeds of the targets of each service that measurably deviate.

    Parameters
    ----------
    settings : SpeedSettings
        Thresholds of a deviation.
    clock : siskinthread.timing.Clock
        Clock of the times.
    own : TargetSpeeds
        Measurements of this host.
    loads : TargetLoads
        Requests at each target.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Provides the measurements of other hosts.

    Notes
    -----
    An estimate is valid until newer requests contradict it or it expires. If it were
    dropped as its weight decays, all hosts would send to a slow target at once.
    """

    __slots__ = (
        "_clock",
        "_deviating",
        "_loads",
        "_own",
        "_reported_ids",
        "_settings",
        "_views",
        "peers",
    )

    def __init__(self, settings, clock, own, loads):
        self._loads = loads
        self._settings = settings
        self._clock = clock
        self._own = own
        # Deviating targets by service.
        self._deviating = {}
        # Targets that peers reported at the last update, by service.
        self._reported_ids = {}
        # Expiry of the cached view of each service, monotonic seconds.
        self._views = {}
        self.peers = None

    def speeds(self, service_name, entries):
        """Return the `TargetSpeed` of each deviating target.

        Parameters
        ----------
        service_name : str
            The service.
        entries : list of TargetEntry
            All of its targets.

        Returns
        -------
        dict of str to TargetSpeed
            Empty if no target deviates.
        """
        if not self._settings.is_enabled:
            return {}
        now_s = self._clock.monotonic_s()
        if now_s >= self._views.get(service_name, -math.inf):
            self._views[service_name] = now_s + VIEW_CACHE_S
            self._refresh(service_name, entries, now_s)
        return self._deviating.get(service_name, {})

    def slowness(self, service_name, instance_id):
        """Return the slowness of a target relative to the median one."""
        speed = self._deviating.get(service_name, {}).get(instance_id)
        return 1.0 if speed is None else speed.low

    def statements(self):
        """Return the `SpeedStatement` by target that is reported to peers.

        Contains the targets that deviate, or seem to deviate to this host, up to the
        limit of a report.
        """
        if not self._settings.is_enabled:
            return {}
        reported = {}
        for service_name in self._deviating.keys() | self._own.services():
            suspects = self._own.suspects(service_name)
            for instance_id in suspects.union(self._deviating.get(service_name, ())):
                statement = self._own.statement(service_name, instance_id)
                if statement is not None and _is_informative(statement):
                    reported[instance_id] = statement
        return slowest(reported, self._settings.told_limit)

    def forget(self, instance_id):
        """Drop the state of a target that is gone."""
        for deviating in self._deviating.values():
            deviating.pop(instance_id, None)

    def deviating_count(self):
        """Return the number of targets that measurably deviate."""
        return sum(len(deviating) for deviating in self._deviating.values())

    def _refresh(self, service_name, entries, now_s):
        """Update the speeds of the targets of a service."""
        reported = {} if self.peers is None else self.peers.speeds()
        deviating = self._deviating.get(service_name)
        if not reported and not deviating and not self._own.suspects(service_name):
            self._reported_ids.pop(service_name, None)
            return
        if deviating is None:
            deviating = self._deviating.setdefault(service_name, {})
        statements = self._combined(service_name, entries, reported)
        reference = _reference(statements.values(), len(entries))
        settings = self._settings
        least = settings.least_ratio_full
        if self._mean_load(entries) <= settings.near_full_load:
            least = settings.least_ratio
        for instance_id, statement in statements.items():
            self._classify(
                service_name, instance_id, statement, reference, least, now_s
            )
        for instance_id, speed in list(deviating.items()):
            if now_s - speed.newest_s > self._settings.expire_s:
                self._drop(deviating, instance_id, "its estimate has expired")
        if not deviating:
            del self._deviating[service_name]

    def _combined(self, service_name, entries, reported):
        """Return the sum of this host's and its peers' measurements, by target."""
        reported_ids = self._reported_ids.get(service_name, ())
        new_reported_ids = set()
        combined = {}
        for entry in entries:
            instance_id = entry.instance_id
            peer_statement = reported.get(instance_id)
            if peer_statement is not None:
                new_reported_ids.add(instance_id)
                if (
                    instance_id not in reported_ids
                    and peer_statement.weight >= FRESH_WEIGHT
                ):
                    self._own.outdate(instance_id)
            own = self._own.statement(service_name, instance_id)
            if own is not None and peer_statement is not None:
                combined[instance_id] = own.plus(peer_statement)
            elif own is not None or peer_statement is not None:
                combined[instance_id] = own or peer_statement
        self._reported_ids[service_name] = new_reported_ids
        return combined

    def _mean_load(self, entries):
        count = sum(self._loads.total(entry.instance_id) for entry in entries)
        return count / max(1, sum(entry.slot_count for entry in entries))

    def _classify(self, service_name, instance_id, statement, reference, least, now_s):
        """Decide by its `SpeedStatement` whether a target deviates."""
        deviating = self._deviating[service_name]
        speed = deviating.get(instance_id)
        is_new = speed is None
        if is_new:
            speed = TargetSpeed()
        spread = self._own.spread(service_name)
        if statement.weight >= FRESH_WEIGHT:
            mean = statement.low() - reference
            error_margin = self._error_margin(statement.weight, spread)
            speed.low = _ratio(mean, least, error_margin, speed.low)
        if statement.high_weight >= FRESH_WEIGHT:
            mean = statement.high_total / statement.high_weight - reference
            error_margin = self._error_margin(statement.high_weight, spread)
            least = self._settings.least_ratio_full
            speed.high = _ratio(mean, least, error_margin, speed.high)
            speed.high_newest_s = now_s
        elif now_s - speed.high_newest_s > self._settings.expire_s:
            speed.high = speed.low
        speed.failure_share = _failure_share(statement)
        if math.isfinite(statement.age_s):
            speed.newest_s = max(speed.newest_s, now_s - statement.age_s)
        if speed.is_usual:
            if not is_new:
                self._drop(deviating, instance_id, "its requests take the usual time")
        elif is_new and now_s - speed.newest_s <= self._settings.expire_s:
            deviating[instance_id] = speed
            _logger.event(
                "target differs in speed",
                target=instance_id,
                slowness=round(speed.low, 2),
                nearly_full=round(speed.high, 2),
                failure_share=round(speed.failure_share, 3),
                weight=round(statement.weight, 2),
                age_s=round(statement.age_s, 3),
            )

    def _error_margin(self, weight, spread):
        """Return the distance of a mean logarithm that random variation explains."""
        return self._settings.least_deviations * spread / math.sqrt(weight)

    def _drop(self, deviating, instance_id, reason):
        del deviating[instance_id]
        _logger.event(
            "target counts as usually fast", target=instance_id, reason=reason
        )


def _ratio(mean, least, error_margin, present):
    """Return the slowness for a mean logarithm; 1 if it counts as typical.

    A target that counts as slow or fast keeps its state as its weight decays.
    """
    if abs(mean) <= math.log(least):
        return 1.0
    if abs(mean) > error_margin or (present - 1.0) * mean > 0:
        return math.exp(mean)
    return 1.0


def _reference(statements, target_count):
    """Return the median of the mean log durations.

    The median makes no target slow if all of them are. Where few targets are measured,
    unmeasured ones count as typical, or as fast as the slowest measured one: if all
    measured targets are fast, the typical duration is overestimated, as after a delay
    of this process. Otherwise the first target measured after such a delay would count
    as fast, get all requests, and stay fast since no other target would be measured.
    """
    means = [s.low() for s in statements if s.weight >= FRESH_WEIGHT]
    unmeasured = min(0.0, max(means, default=0.0))
    means += [unmeasured] * (min(MEDIAN_COUNT, target_count) - len(means))
    means.sort()
    return means[(len(means) - 1) // 2] if means else 0.0


def _failure_share(statement):
    """Return the fraction of failed requests; 0 if it may be due to chance."""
    if statement.failures < MIN_FAILURES:
        return 0.0
    share = statement.failures / statement.tries
    return share if share >= MIN_FAILURE_SHARE else 0.0


def _is_informative(statement):
    """Return whether a `SpeedStatement` is worth reporting to peers."""
    return statement.weight >= FRESH_WEIGHT / 2 or statement.failures > 0
