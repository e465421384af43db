"""The rate limits of all targets, as known from answers and from peers."""

from siskinthread.observability import part_logger
from siskinthread.target_limits._demand import RequestRates, TopPriority
from siskinthread.target_limits._limit import Limit
from siskinthread.target_limits._statement import LimitStatement

_logger = part_logger("target_limits")
# Maximum length of a header text in a log line.
TEXT_LIMIT_CHARS = 80


class TargetLimits:
    """Which targets have stated a rate limit, and whether they may get a request now.

    Parameters
    ----------
    settings : TargetLimitSettings
        How much of a limit is used.
    clock : siskinthread.timing.Clock
        Clock of the ages.
    random : random.Random
        Decides for hosts that may send a fraction of a request.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Provides the request rates of other hosts and this host's turn to test.

    Notes
    -----
    A limit applies to all hosts together.  Each request of a caller, on whichever
    host, is sent with a probability of the limit divided by the total request rate.
    Fixed shares of the hosts would have to follow their callers; at 2 requests a
    second and 300 hosts each share would be far below one request.
    """

    __slots__ = (
        "_asked",
        "_clock",
        "_limits",
        "_next_retry_at_s",
        "_random",
        "_settings",
        "_unreadable",
        "_top_priority",
        "peers",
    )

    def __init__(self, settings, clock, random):
        self._settings = settings
        self._clock = clock
        self._random = random
        self._asked = RequestRates(settings.asked_memory_s, clock)
        self._top_priority = TopPriority(settings.urgent_memory_s, clock)
        self._limits = {}
        # Targets whose unreadable limit was logged.
        self._unreadable = set()
        # Last retry time given to a refused caller, monotonic seconds, by service.
        self._next_retry_at_s = {}
        self.peers = None

    def note_answer(self, entry, sent_at_s, stated):
        """Apply the limit that an answer of a target states.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        sent_at_s : float
            When its request was sent, monotonic seconds.
        stated : StatedLimit
            The limit.
        """
        if stated.unreadable is not None:
            self._log_unreadable(entry, stated.unreadable)
            return
        limit = self._limits.get(entry.instance_id)
        if limit is None and stated.rate_per_s is None:
            return
        if limit is not None and self._may_be_outdated(limit, sent_at_s, stated):
            return
        now_s = self._clock.monotonic_s()
        self._apply(
            LimitStatement(entry.instance_id, entry.service_name, stated.rate_per_s, 0),
            now_s,
            source="answer",
        )

    def hear(self, statements, source):
        """Apply each `LimitStatement` of a peer that is newer than the known one."""
        now_s = self._clock.monotonic_s()
        for statement in statements:
            known = self._limits.get(statement.instance_id)
            is_outdated = statement.age_s >= self._settings.memory_s
            if is_outdated or (known is None and statement.rate_per_s is None):
                continue
            if known is None or now_s - statement.age_s > known.stated_at_s:
                self._apply(statement, now_s, source)

    def statements(self):
        """Return a bounded number of `LimitStatement` for the peers, newest first."""
        now_s = self._clock.monotonic_s()
        self._drop_expired(now_s)
        reported = [
            limit
            for limit in self._limits.values()
            if limit.rate_per_s is not None
            or now_s - limit.stated_at_s <= self._settings.ended_told_s
        ]
        reported.sort(key=lambda limit: -limit.stated_at_s)
        return [
            LimitStatement(
                limit.instance_id,
                limit.service_name,
                limit.rate_per_s,
                now_s - limit.stated_at_s,
            )
            for limit in reported[: self._settings.told_limit]
        ]

    def asked_rates(self):
        """Return the request rates of this host's callers for services with a limit."""
        services = {limit.service_name for limit in self._limits.values()}
        rates = {name: self._asked.rate_per_s(name) for name in services}
        return {name: round(rate, 2) for name, rate in rates.items() if rate >= 0.01}

    def own_asked_per_s(self, service_name):
        """Return the request rate of this host's callers for a service."""
        return self._asked.rate_per_s(service_name)

    def note_asked(self, service_name, priority):
        """Count a request of a caller, and add what it entitles this host to."""
        self._asked.note(service_name)
        self._top_priority.note(service_name, priority)
        if not self._limits:
            return
        now_s = self._clock.monotonic_s()
        self._drop_expired(now_s)
        own_per_s = self._asked.rate_per_s(service_name)
        asked_per_s = self._asked_per_s(service_name)
        for limit in self._limits.values():
            if limit.service_name == service_name:
                limit.accrue(own_per_s, asked_per_s, now_s)

    def is_most_urgent(self, service_name, priority):
        """Return whether no recent request had a more urgent priority."""
        return self._top_priority.is_top(service_name, priority)

    def admitted(self, entries, service_name, priority):
        """Return the targets of a service that may get a request now.

        Parameters
        ----------
        entries : list of TargetEntry
            The targets to choose from.
        service_name : str
            Their service.
        priority : int
            Priority of the request, 0 first.
        """
        if not self._limits:
            return entries
        is_urgent = self._top_priority.is_top(service_name, priority)
        are_many = self._are_many_asked(service_name)
        return [
            one for one in entries if self._admits(one.instance_id, are_many, is_urgent)
        ]

    def note_sent(self, instance_id):
        """Count a request that is sent to a target."""
        limit = self._limits.get(instance_id)
        if limit is None:
            return
        if self._is_test_due(limit):
            limit.tested_at_s = self._clock.monotonic_s()
            _logger.event(
                "limited target is tested",
                target=instance_id,
                limited_service=limit.service_name,
                age_s=round(limit.tested_at_s - limit.stated_at_s, 3),
            )
        limit.spend()

    def limited_count(self):
        """Return the number of targets that have a limit."""
        return len(self._limits)

    def describe(self, instance_id):
        """Return the state of a target's limit as a text for messages."""
        limit = self._limits[instance_id]
        age_s = self._clock.monotonic_s() - limit.stated_at_s
        rate = "has ended its limit"
        if limit.rate_per_s is not None:
            rate = f"takes {limit.rate_per_s:g} requests a second"
        return (
            f"{instance_id} {rate} (stated {age_s:.2f} s ago), and callers ask all "
            f"entries for {self._asked_per_s(limit.service_name):.1f}"
        )

    def come_back_after_s(self, service_name, longest_s):
        """Return when a caller that was refused for limits should retry, seconds.

        Callers get consecutive slots, as far apart as this host can send requests, so
        that they don't all retry at the same time.
        """
        now_s = self._clock.monotonic_s()
        own_per_s = self._own_rate_per_s(service_name, now_s)
        if own_per_s <= 0:
            return longest_s
        retry_at_s = max(now_s, self._next_retry_at_s.get(service_name, 0.0))
        retry_at_s += 1 / own_per_s
        if retry_at_s - now_s > longest_s:
            # All slots until then are taken: choose a random time.
            return longest_s * (0.5 + 0.5 * self._random.random())
        self._next_retry_at_s[service_name] = retry_at_s
        return retry_at_s - now_s

    def forget(self, instance_id):
        """Drop the state of a target that gets no more requests."""
        self._limits.pop(instance_id, None)
        self._unreadable.discard(instance_id)

    def _may_be_outdated(self, limit, sent_at_s, stated):
        """Return whether an answer contradicts a statement that may be newer.

        Answers overtake each other; only the answer to a request that was sent after
        the known statement arrived is certainly newer.
        """
        is_unchanged = stated.rate_per_s == limit.rate_per_s
        return sent_at_s < limit.stated_at_s and not is_unchanged

    def _apply(self, statement, now_s, source):
        limit = self._limits.get(statement.instance_id)
        if limit is None:
            if len(self._limits) >= self._settings.targets_limit:
                return
            limit = Limit(statement.instance_id, statement.service_name, self._settings)
            self._limits[statement.instance_id] = limit
        before = limit.rate_per_s
        limit.update(statement.rate_per_s, now_s - statement.age_s)
        if statement.rate_per_s != before:
            self._log_change(limit, before, statement, source)

    def _log_change(self, limit, before, statement, source):
        name = "target names a limit" if before is None else "limit of target changed"
        if limit.rate_per_s is None:
            name = "limit of target ended"
        _logger.event(
            name,
            target=limit.instance_id,
            limited_service=limit.service_name,
            rate_per_s=limit.rate_per_s,
            before_per_s=before,
            age_s=round(statement.age_s, 3),
            told_by=source,
            asked_per_s=round(self._asked.rate_per_s(limit.service_name), 2),
            asked_of_all_per_s=round(self._asked_per_s(limit.service_name), 2),
        )

    def _log_unreadable(self, entry, text):
        if entry.instance_id in self._unreadable:
            return
        if len(self._unreadable) >= self._settings.targets_limit:
            self._unreadable.clear()
        self._unreadable.add(entry.instance_id)
        _logger.event(
            "limit of target is unreadable",
            target=entry.instance_id,
            limited_service=entry.service_name,
            text=text[:TEXT_LIMIT_CHARS],
        )

    def _asked_per_s(self, service_name):
        """Return the request rate of all hosts' callers for a service."""
        own_per_s = self._asked.rate_per_s(service_name)
        if self.peers is None:
            return own_per_s
        peers_per_s = self.peers.asked_per_s(service_name)
        return own_per_s + peers_per_s + self.peers.silent_asked_per_s(service_name)

    def _own_rate_per_s(self, service_name, now_s):
        """Return the requests a second that this host can send to limited targets."""
        asked_per_s = self._asked_per_s(service_name)
        if not asked_per_s:
            return 0.0
        used_per_s = sum(
            limit.used_rate_per_s(now_s)
            for limit in self._limits.values()
            if limit.service_name == service_name
        )
        return used_per_s * self._asked.rate_per_s(service_name) / asked_per_s

    def _admits(self, instance_id, are_many, is_urgent):
        """Return whether a target may get a request now.

        Parameters
        ----------
        instance_id : str
            The target.
        are_many : bool
            Whether the request rate of its service at this host is high enough to
            meter the allowance instead of deciding at random.
        is_urgent : bool
            Whether the request has the most urgent recent priority.
        """
        limit = self._limits.get(instance_id)
        if limit is None:
            return True
        if are_many:
            is_allowed = limit.has_allowance(is_urgent)
        else:
            is_allowed = self._random.random() < limit.credit
        return is_allowed or self._is_test_due(limit)

    def _are_many_asked(self, service_name):
        settings = self._settings
        many_per_s = settings.many_asked_count / settings.asked_memory_s
        return self._asked.rate_per_s(service_name) >= many_per_s

    def _is_test_due(self, limit):
        """Return whether it is this host's turn to test whether a limit has ended.

        Without tests, a target with a limit near 0 would never get a request again.
        """
        if limit.rate_per_s is None:
            return False
        now_s = self._clock.monotonic_s()
        silent_s = now_s - max(limit.stated_at_s, limit.tested_at_s)
        wait_s = self._settings.test_wait_s
        if silent_s < wait_s:
            return False
        turn = (
            0
            if self.peers is None
            else self.peers.rendezvous_position(limit.instance_id)
        )
        return silent_s >= wait_s * (1 + turn)

    def _drop_expired(self, now_s):
        expired = [name for name, one in self._limits.items() if one.is_expired(now_s)]
        for instance_id in expired:
            del self._limits[instance_id]
