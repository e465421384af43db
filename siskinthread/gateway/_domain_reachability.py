"""Which failure domains this entry can't reach."""

from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class _Domain:
    """What exchanges with the targets of one failure domain show."""

    __slots__ = ("check", "cut_off_at_s", "unreachable")

    def __init__(self):
        # When targets could not be connected to, monotonic seconds, by instance id.
        self.unreachable = {}
        self.cut_off_at_s = None
        # When targets should be connected to as a check; None if nothing is suspected.
        self.check = None


class DomainReachability:
    """Circuit breaker for each failure domain.

    Parameters
    ----------
    settings : GatewaySettings
        Counts and times.
    clock : siskinthread.timing.Clock
        Clock of the times.

    Notes
    -----
    Targets behind a network partition have no requests, so that they look idle, and
    each of them takes a time-out of every entry before it is passed over.  With 48
    targets behind a partition a third of all requests waited 0.4 s or 0.8 s for that.
    """

    __slots__ = ("_clock", "_domains", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._domains = {}

    def note_unreachable(self, entry, target_count):
        """Note that a connection to a target failed.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        target_count : int
            Targets that its failure domain has.
        """
        name = entry.failure_domain
        domain = self._domains.setdefault(name, _Domain())
        now_s = self._clock.monotonic_s()
        oldest_s = now_s - self._settings.reachability_window_s
        domain.unreachable = {
            instance_id: at_s
            for instance_id, at_s in domain.unreachable.items()
            if at_s >= oldest_s
        }
        domain.unreachable[entry.instance_id] = now_s
        if domain.cut_off_at_s is not None:
            return
        if len(domain.unreachable) >= self._threshold(target_count):
            self._note_cut_off(name, domain, now_s)
        elif domain.check is None:
            domain.check = Deadline.after(self._clock, 0.0)

    def note_reached(self, failure_domain):
        """Note that a target of a failure domain answered or took a connection.

        Returns
        -------
        bool
            Whether the domain could not be reached before.
        """
        domain = self._domains.pop(failure_domain, None)
        if domain is None or domain.cut_off_at_s is None:
            return False
        _logger.event(
            "failure domain is reached again",
            failure_domain=failure_domain,
            cut_off_s=round(self._clock.monotonic_s() - domain.cut_off_at_s, 3),
        )
        return True

    def is_cut_off(self, failure_domain):
        """Return whether no target of a failure domain can be reached."""
        domain = self._domains.get(failure_domain)
        return domain is not None and domain.cut_off_at_s is not None

    def within_reach(self, entries):
        """Return those of some targets whose failure domains can be reached."""
        if not self._domains:
            return entries
        return [one for one in entries if not self.is_cut_off(one.failure_domain)]

    def cut_off_count(self):
        """Return the number of failure domains that can't be reached."""
        return sum(self.is_cut_off(name) for name in self._domains)

    def due_checks(self):
        """Return how many targets to connect to now, by failure domain.

        The next check of each of these domains is put off by ``reachability_check_s``.
        """
        due = {}
        for name, domain in self._domains.items():
            if domain.check is None or not domain.check.passed():
                continue
            wait_s = self._settings.reachability_check_s
            domain.check = Deadline.after(self._clock, wait_s)
            is_cut_off = domain.cut_off_at_s is not None
            due[name] = 1 if is_cut_off else self._settings.reachability_count - 1
        return due

    def next_check_s(self):
        """Return the time until a check is due, seconds; None if none will be."""
        waits_s = [
            domain.check.left_s()
            for domain in self._domains.values()
            if domain.check is not None
        ]
        return min(waits_s, default=None)

    def _threshold(self, target_count):
        return max(1, min(self._settings.reachability_count, target_count))

    def _note_cut_off(self, name, domain, now_s):
        domain.cut_off_at_s = now_s
        wait_s = self._settings.reachability_check_s
        domain.check = Deadline.after(self._clock, wait_s)
        _logger.event(
            "failure domain can't be reached",
            failure_domain=name,
            unreachable=sorted(domain.unreachable),
        )
