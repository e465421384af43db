"""Circuit breakers for failure domains that this entry can't reach."""

from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class _Domain:
    """Connect failures of the targets of one failure domain, and its breaker state."""

    __slots__ = ("check", "cut_off_at_s", "unreachable")

    def __init__(self):
        # Times of connect failures, monotonic seconds, by instance id.
        self.unreachable = {}
        # When the breaker opened, monotonic seconds; None while it is closed.
        self.cut_off_at_s = None
        # Deadline of the next check by connecting; None if no check is scheduled.
        self.check = None


class DomainReachability:
    """Circuit breaker for each failure domain.

    Parameters
    ----------
    settings : GatewaySettings
        Thresholds and intervals.
    clock : siskinthread.timing.Clock
        Clock for the window and the checks.

    Notes
    -----
    Targets behind a network partition have no requests, so that they appear idle, and
    each of them costs every entry a connect time-out before it is ejected.  With 48
    targets behind a partition, a third of all requests waited 0.4 s or 0.8 s for such
    time-outs.
    """

    __slots__ = ("_clock", "_domains", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._domains = {}

    def note_unreachable(self, entry, target_count):
        """Note a failure to connect to a target.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        target_count : int
            Number of targets in its failure domain.
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
        """Note that a target of a failure domain answered or accepted a connection.

        Returns
        -------
        bool
            Whether the failure domain was unreachable before.
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
        """Return whether a failure domain is considered unreachable."""
        domain = self._domains.get(failure_domain)
        return domain is not None and domain.cut_off_at_s is not None

    def reachable(self, entries):
        """Return the targets in `entries` whose failure domains are reachable."""
        if not self._domains:
            return entries
        return [one for one in entries if not self.is_cut_off(one.failure_domain)]

    def cut_off_count(self):
        """Return the number of unreachable failure domains."""
        return sum(self.is_cut_off(name) for name in self._domains)

    def due_checks(self):
        """Return the number of targets to connect to now, by failure domain.

        Schedules the next check of these domains after ``reachability_check_s``.
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
        """Return the time until the next check, seconds; None if none is scheduled."""
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
